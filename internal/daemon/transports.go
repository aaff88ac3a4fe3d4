package daemon

import (
	"crypto/tls"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/httpcheck"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/transport"
)

// localAddress returns the address from which outgoing connections are made.
func localAddress(s *settings.Settings, program settings.Program) string {
	switch program {
	case settings.EntryProgram:
		return s.Entry.Peer
	case settings.NodeProgram:
		return s.Cluster.Listen
	}
	return s.Control.Listen
}

// newTransport returns an HTTP transport whose connections come from localAddr and are counted by meter.
func newTransport(localAddr string, maxIdlePerHost int, meter *transport.Meter) *httpcheck.Transport {
	return httpcheck.NewTransport(newBaseTransport(localAddr, maxIdlePerHost, meter))
}

// newProbeTransport returns a transport that opens a new connection for each request.
func newProbeTransport(localAddr string, meter *transport.Meter) *httpcheck.Transport {
	base := newBaseTransport(localAddr, 0, meter)
	base.DisableKeepAlives = true
	return httpcheck.NewTransport(base)
}

// newBaseTransport returns what the transports have in common, without a check of the responses.
func newBaseTransport(localAddr string, maxIdlePerHost int, meter *transport.Meter) *http.Transport {
	return &http.Transport{
		DialContext:         transport.Metered(transport.Dialer(localAddr).DialContext, meter),
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: transport.MaxResponseHeadBytes,
	}
}

// loadCallerTLS reads the certificate for callers; it returns nil if none is set.
func loadCallerTLS(s settings.TLS) (*tls.Config, error) {
	if s.CallerCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CallerCert, s.CallerKey)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read caller certificate"), settings.ErrInvalid)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}}, nil
}
