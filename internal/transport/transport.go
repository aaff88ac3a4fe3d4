// Package transport builds the listeners and clients between our own
// processes: HTTP/2 over plain TCP, or over mutual TLS when set.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/httpcheck"
	"github.com/marbleroad/marbleroad/internal/resource"
	"github.com/marbleroad/marbleroad/internal/settings"
)

// MaxMessageBytes bounds a message between our processes, in bytes. A complete table
// at the planned size is a few megabytes.
const MaxMessageBytes = 32 << 20

// MaxResponseHeadBytes bounds the head of a response, in bytes, with its interim responses. Heads have about a
// kilobyte, and servers commonly accept 8 to 16 KiB. A server in trouble may send a head without end, of which
// net/http would read 10 MiB by default: 25 of them at a time take the memory of a node.
const MaxResponseHeadBytes = 32 << 10

const (
	maxHeaderBytes    = 64 << 10
	dialTimeout       = time.Second
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long clients and servers keep an idle connection open.
	idleTimeout = 90 * time.Second
	// bodyTimeout is the maximum time for a peer to send a request's body.
	bodyTimeout = 30 * time.Second
	// receiveWindow bounds what a connection receives of bodies before they are read, in bytes.
	receiveWindow = 256 << 10
	// pingInterval is the time without traffic after which a client pings the peer,
	// to detect peers that became unreachable without closing the connection. If
	// there is no response within pingTimeout, the connection is closed.
	pingInterval = 5 * time.Second
	pingTimeout  = 2 * time.Second
)

// Dialer returns a dialer whose connections come from the IP address of
// localAddr, so that a VM with several addresses is seen under the one in its
// settings. If localAddr is empty or unspecified, the system chooses.
func Dialer(localAddr string) *net.Dialer {
	dialer := &net.Dialer{Timeout: dialTimeout}
	parsed, err := netip.ParseAddrPort(localAddr)
	if err == nil && !parsed.Addr().IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: parsed.Addr().AsSlice()}
	}
	return dialer
}

// Peers creates listeners and clients for the traffic between our processes.
type Peers struct {
	// Traffic counts the bytes of these clients and listeners.
	Traffic Traffic
	// Budget bounds what the connections of the listeners hold; nil for no limit. It must be set before Serve.
	Budget *resource.Budget

	tls    *tls.Config
	dialer *net.Dialer

	clientOnce sync.Once
	client     *http.Client
}

// NewPeers reads the TLS files; without them traffic is plain TCP. Connections
// come from the IP address of localAddr.
func NewPeers(s settings.TLS, localAddr string) (*Peers, error) {
	if s.PeerCert == "" {
		return &Peers{dialer: Dialer(localAddr)}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.PeerCert, s.PeerKey)
	if err != nil {
		return nil, errors.Wrap(err, "read peer certificate")
	}
	pem, err := os.ReadFile(s.PeerCA)
	if err != nil {
		return nil, errors.Wrap(err, "read peer CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("%s holds no certificate", s.PeerCA)
	}
	return &Peers{dialer: Dialer(localAddr), tls: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}}, nil
}

// TLS returns the TLS settings for our own processes; nil for plain TCP.
func (p *Peers) TLS() *tls.Config { return p.tls.Clone() }

// URL returns the base URL of a peer at an IP address and port.
func (p *Peers) URL(address string) string {
	if p.tls == nil {
		return "http://" + address
	}
	return "https://" + address
}

// Client returns the HTTP/2 client for peers. All callers share it, and with it
// one connection to each peer.
func (p *Peers) Client() *http.Client {
	p.clientOnce.Do(func() { p.client = p.newClient() })
	return p.client
}

// newClient returns a client that counts traffic and records progress.
func (p *Peers) newClient() *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(p.tls == nil)
	return &http.Client{Transport: progressTransport{httpcheck.NewTransport(&http.Transport{
		DialContext:     Metered(p.dialer.DialContext, &p.Traffic.Peers),
		TLSClientConfig: p.tls.Clone(),
		Protocols:       &protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},

		MaxResponseHeaderBytes: MaxResponseHeadBytes,
	})}}
}

// ClientOptions returns the options of calls between nodes whose responses have up to
// maxBytes bytes. Compression is disabled: a compressor takes 0.8 MB, and compressors
// took 26 MB of the 54 MB heap of a node that many others called at once, while 100
// nodes started.
func ClientOptions(maxBytes int) []connect.ClientOption {
	return []connect.ClientOption{connect.WithReadMaxBytes(maxBytes), connect.WithAcceptCompression(gzip, nil, nil)}
}

// HandlerOptions returns the options of a service that nodes call with requests of up
// to maxBytes bytes. Compression is disabled, as in ClientOptions.
func HandlerOptions(maxBytes int) []connect.HandlerOption {
	return []connect.HandlerOption{connect.WithReadMaxBytes(maxBytes), connect.WithCompression(gzip, nil, nil)}
}

// gzip is the name of connect's only built-in compression.
const gzip = "gzip"

// Serve listens on the address and serves the handler until the server is closed.
func (p *Peers) Serve(address string, handler http.Handler) (*callers.Server, error) {
	tcp, err := callers.Listen(address, callers.PeerBuffer)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	listener := meteredListener{Listener: tcp, traffic: &p.Traffic}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(p.tls == nil)
	server := callers.NewServer(&http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         p.tls.Clone(),
		HTTP2:             &http.HTTP2Config{MaxReceiveBufferPerConnection: receiveWindow, MaxReceiveBufferPerStream: receiveWindow},
	}, listener, callers.Options{Share: p.Budget.Peers(), BodyTimeout: bodyTimeout})
	go func() {
		if p.tls == nil {
			_ = server.Serve()
			return
		}
		_ = server.ServeTLS()
	}()
	return server, nil
}
