package integration

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// authority is a certificate authority that signs the certificates of one test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T, dir string) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{cert: cert, key: key, dir: dir}
	a.write(t, "ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// issue writes NAME.pem and NAME.key, a certificate for the nodes' addresses of the deployment's network.
func (a *authority) issue(t *testing.T, name, network string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for host := 200; host < 210; host++ {
		template.IPAddresses = append(template.IPAddresses, net.ParseIP(fmt.Sprintf("%s.%d", network, host)))
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	a.write(t, name+".pem", "CERTIFICATE", der)
	a.write(t, name+".key", "PRIVATE KEY", keyDER)
}

// TestMutualTLS sends requests, a spill included, with TLS for callers and mutual TLS between the daemons, and checks
// that the control and peer ports reject clients without a certificate of the authority, and plain HTTP.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	a := newAuthority(t, dir)
	topo := smallTopology()
	topo.domains = []string{"obuda", "csepel"}
	topo.nodes = 1
	topo.plains = 1
	file := func(name string) string { return filepath.Join(dir, name) }
	topo.overrides = strings.Join([]string{
		"tls:caller_cert = " + file("node.pem"), "tls:caller_key = " + file("node.key"),
		"tls:peer_cert = " + file("node.pem"), "tls:peer_key = " + file("node.key"), "tls:peer_ca = " + file("ca.pem"),
	}, "\n")
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	topo.beforeStart = func(s *deployment) {
		a.issue(t, "node", s.network)
		s.callerTLS = &tls.Config{RootCAs: pool}
		s.ctlTLSFlags = []string{"--cert", file("node.pem"), "--key", file("node.key"), "--ca", file("ca.pem")}
	}
	s := newDeployment(t, topo)
	s.loadTables(topo.domains, 4, 1)
	for _, nd := range s.nodes {
		if got := s.call(nd, request{stream: true}); got.outcome != "done" {
			t.Errorf("%s: ended %q: %v", nd.id, got.outcome, got.err)
		}
	}
	s.killVM(s.vms["obuda-tiles-1"])
	s.eventually("obuda spills to csepel over mutual TLS", func() bool {
		return s.call(s.nodes[0], request{path: "/services/tiles/x", method: "GET"}).status == http.StatusOK
	})
	s.history.check()

	otherAuthority := newAuthority(t, t.TempDir())
	otherAuthority.issue(t, "node", s.network)
	cert, err := tls.LoadX509KeyPair(filepath.Join(otherAuthority.dir, "node.pem"), filepath.Join(otherAuthority.dir, "node.key"))
	if err != nil {
		t.Fatal(err)
	}
	for name, certs := range map[string][]tls.Certificate{"no certificate": nil, "another authority's": {cert}} {
		client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, Certificates: certs}}}
		for _, port := range []int{controlPort, peerPort} {
			resp, err := client.Get(fmt.Sprintf("https://%s:%d/v1/models", s.nodes[0].ip, port))
			if err == nil {
				_ = resp.Body.Close()
				t.Errorf("%s: port %d responded %d", name, port, resp.StatusCode)
			}
		}
	}
	if resp, err := http.Get(fmt.Sprintf("http://%s:%d/marbleroad.v1.PeerService/Exchange", s.nodes[0].ip, controlPort)); err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Error("plain HTTP was served")
		}
	}
}
