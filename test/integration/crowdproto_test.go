package integration

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// crowdStreams is the number of requests that a member of a crowd sends at once on an HTTP/2 connection.
	crowdStreams = 100
	// streamFields is the number of fields of each: below the size that the servers accept, of which HTTP/2 counts 32 bytes
	// a field besides its text.
	streamFields = 1500
)

// TestCrowdOfMultiplexedHeads sends many requests at once on each HTTP/2 connection, with heads of many fields that take one
// byte each on the wire, and bodies that do not come.
func TestCrowdOfMultiplexedHeads(t *testing.T) {
	crowdTest(t, crowdSize, func(to target, c net.Conn) {
		path := strings.Fields(to.post)[1]
		if !send(c, http2.ClientPreface) {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
		framer := http2.NewFramer(c, nil)
		if framer.WriteSettings() != nil {
			return
		}
		var head bytes.Buffer
		encoder := hpack.NewEncoder(&head)
		for stream := range crowdStreams {
			head.Reset()
			for _, f := range [][2]string{{":method", "POST"}, {":scheme", "http"}, {":authority", "h"}, {":path", path}, {"content-type", "application/proto"}} {
				_ = encoder.WriteField(hpack.HeaderField{Name: f[0], Value: f[1]})
			}
			for range streamFields {
				_ = encoder.WriteField(hpack.HeaderField{Name: "a", Value: ""})
			}
			_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
			if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: uint32(2*stream + 1), BlockFragment: head.Bytes(), EndHeaders: true}) != nil {
				return
			}
		}
	}, "node cluster", "entry peer", "control listener")
}

// TestCrowdOfPrefaces sends the start of HTTP/2 to servers without it, where it ended all limits of the connection.
func TestCrowdOfPrefaces(t *testing.T) {
	crowdTest(t, crowdSize, func(_ target, c net.Conn) {
		if send(c, http2.ClientPreface) {
			isOpen(c)
			send(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n"+denseFields(denseBytes))
		}
	}, "node callers", "node readiness", "entry callers", "entry admin")
}

// TestCrowdOfEncryptedHeads sends unended heads of many short fields over TLS, where a server can't count them.
func TestCrowdOfEncryptedHeads(t *testing.T) {
	dir := t.TempDir()
	a := newAuthority(t, dir)
	topo := topology{domains: []string{"obuda"}, nodes: 1, engines: 2, plains: 1, engineConfig: smallTopology().engineConfig}
	topo.overrides = fmt.Sprintf("node:memory = %d\ntls:caller_cert = %s\ntls:caller_key = %s", crowdMemory, filepath.Join(dir, "node.pem"), filepath.Join(dir, "node.key"))
	insecure := &tls.Config{InsecureSkipVerify: true}
	topo.beforeStart = func(s *deployment) {
		a.issue(t, "node", s.network)
		s.callerTLS = insecure
	}
	s := newDeployment(t, topo)
	s.loadTables(topo.domains, 2, 1)
	nd := s.nodes[0]
	to := target{process: nd.entry, address: fmt.Sprintf("%s:%d", nd.ip, callerPort), ordinary: func() bool {
		return s.call(nd, request{path: "/services/tiles/manifest?x=1", method: "GET"}).status == 200
	}}
	watch := watchProcess(to.process, to.address)
	head := "GET /healthz HTTP/1.1\r\nHost: h\r\n" + denseFields(denseBytes)
	crowd := gather(to, crowdSize, func(_ target, c net.Conn) {
		encrypted := tls.Client(c, insecure)
		_ = c.SetDeadline(time.Now().Add(crowdWriteTimeout))
		_, _ = io.WriteString(encrypted, head)
		_ = c.SetDeadline(time.Time{})
	})
	requireOrdinary(t, to)
	crowd.disperse()
	requireOrdinary(t, to)
	watch.stop()
	watch.check(t)
}
