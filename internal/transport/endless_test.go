package transport

import (
	"encoding/binary"
	"net"
	"testing"

	"github.com/marbleroad/marbleroad/internal/settings"
)

// frame returns an HTTP/2 frame of stream 1, or of the connection for settings.
func frame(kind byte, payload string) []byte {
	const headBytes = 9
	head := make([]byte, headBytes)
	binary.BigEndian.PutUint32(head, uint32(len(payload))<<8|uint32(kind))
	if kind != settingsFrame {
		head[headBytes-1] = 1
	}
	return append(head, payload...)
}

// serveEndlessHead answers connections with response fields without end, and returns its address.
func serveEndlessHead(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerEndlessHead(c)
		}
	}()
	return l.Addr().String()
}

func answerEndlessHead(c net.Conn) {
	const continuationFrame = 9
	// :status 200 by its index, and a field x: y without indexing.
	const status, field = "\x88", "\x00\x01x\x01y"
	defer func() { _ = c.Close() }()
	// The preface, the settings and the request have arrived once the client has sent this many bytes.
	const minRequest = 100
	for n := 0; n < minRequest; {
		read, err := c.Read(make([]byte, 1<<10))
		if err != nil {
			return
		}
		n += read
	}
	if _, err := c.Write(append(frame(settingsFrame, ""), frame(headersFrame, status)...)); err != nil {
		return
	}
	var fields string
	for range 100 {
		fields += field
	}
	for {
		if _, err := c.Write(frame(continuationFrame, fields)); err != nil {
			return
		}
	}
}

// TestPeerHeadWithoutEndIsBounded guards against reading a head of another process that has no end.
func TestPeerHeadWithoutEndIsBounded(t *testing.T) {
	peers, err := NewPeers(settings.TLS{}, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := peers.Client().Get("http://" + serveEndlessHead(t))
	if err == nil {
		_ = resp.Body.Close()
		t.Fatalf("status %d", resp.StatusCode)
	}
	// A frame may be in the read buffer beyond the bound.
	const frames = 32 << 10
	if in, _ := peers.Traffic.Peers.Bytes(); in > MaxResponseHeadBytes+frames {
		t.Errorf("%d bytes were read", in)
	}
}
