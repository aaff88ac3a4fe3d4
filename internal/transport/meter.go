package transport

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the payload bytes of connections, without TCP and IP headers. It
// is safe for concurrent use.
type Meter struct {
	in  atomic.Int64
	out atomic.Int64
}

// Bytes returns the bytes received and sent so far.
func (m *Meter) Bytes() (in, out int64) { return m.in.Load(), m.out.Load() }

// Traffic counts a daemon's bytes by their purpose.
type Traffic struct {
	// Peers counts all traffic of the shared client, and connections accepted from
	// other VMs: those of other nodes and of operators.
	Peers Meter
	// Local counts connections accepted from this VM itself: the entry's reads of
	// the view.
	Local Meter
	// Platform counts calls to the platform.
	Platform Meter
	// Upstreams counts probes of upstreams and orders to them.
	Upstreams Meter
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	return n, err
}

// DialFunc opens a connection. It has the type of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Metered wraps dial to count the bytes of the connections that it opens.
func Metered(dial DialFunc, m *Meter) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return meteredConn{Conn: conn, meter: m}, nil
	}
}

// meteredListener counts the bytes of accepted connections, separately for those
// from this VM's own address.
type meteredListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	meter := &l.traffic.Peers
	if hostOf(conn.RemoteAddr()) == hostOf(conn.LocalAddr()) {
		meter = &l.traffic.Local
	}
	return meteredConn{Conn: conn, meter: meter}, nil
}

// hostOf returns the host of an address; empty if it has none.
func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return ""
	}
	return host
}
