// Package callers serves HTTP on tracked connections: it records the phase of each, limits the
// phase's duration, and decides when a stopping server may close the connection.
//
// The Shutdown of net/http drops a request that a connection has just read, and closes connections
// that look idle while a request is arriving: of the attempts without a response on two days of
// planned work, 12 of 14 and 13 of 18 were complete requests that a stopping node had read.
//
// Concurrency: each connection is used by one of net/http's goroutines. A listener's set of
// connections and a connection's phase each have a lock. A connection's lock may be held while the
// listener's is acquired, never the other way round.
package callers

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/resource"
)

// Server is an HTTP server that answers every request it has read before it stops.
type Server struct {
	http     *http.Server
	listener *Listener
}

// NewServer returns a server for the connections of a listener, with the settings of h. It
// replaces the hooks ConnContext and ConnState of h and wraps its handler.
func NewServer(h *http.Server, inner net.Listener, o Options) *Server {
	s := &Server{http: h, listener: NewListener(inner, o)}
	s.listener.unencryptedHTTP2 = h.Protocols != nil && h.Protocols.UnencryptedHTTP2()
	h.ConnContext = withConn
	h.ConnState = connState
	h.Handler = markHandling(s.listener.options.Share, BoundBodies(s.listener.options.Share, o.BodyTimeout, h.Handler))
	return s
}

// markHandling ends the header phase of a request before its handler runs.
func markHandling(share resource.Share, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !HeaderRead(r) {
			panic(http.ErrAbortHandler)
		}
		if r.ProtoMajor == 2 {
			handleMultiplexed(share, next, w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handleMultiplexed handles a request of a connection that carries several at once. Its header is reserved once it is parsed;
// there is no connection of its own to close.
func handleMultiplexed(share resource.Share, next http.Handler, w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil {
		c.startRequest()
		defer c.endRequest()
	}
	reserved := resource.NewReservation(share.Pool)
	defer reserved.Release()
	if cost := requestHeaderSize(r).cost(false); cost > freeHeaderCost && !reserved.Grow(cost) {
		share.Stats.Heads.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	next.ServeHTTP(w, r)
}

// Serve serves until the server is drained or closed, and returns nil then.
func (s *Server) Serve() error {
	defer s.listener.endAccepting()
	return ignoreClosed(s.http.Serve(s.listener))
}

// ServeTLS does the same for TLS connections, with the HTTP server's TLS settings.
func (s *Server) ServeTLS() error {
	defer s.listener.endAccepting()
	s.listener.encrypted = true
	return ignoreClosed(s.http.ServeTLS(s.listener, "", ""))
}

// ignoreClosed drops the errors that a server returns after it was drained or closed.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// OpenConnections returns the number of open connections without those of HTTP/2.
func (s *Server) OpenConnections() int {
	count, _ := s.listener.undrained()
	return count
}

// Drain stops accepting connections, waits until every request that was read is answered, and closes
// the connections. One without a request stays open for linger first: its caller may not be aware
// that the server stops, and requests that it sends meanwhile are answered too. Drain returns an
// error when the context ends first.
func (s *Server) Drain(ctx context.Context, linger time.Duration) error {
	if err := s.listener.drain(ctx, linger); err != nil {
		return err
	}
	// Only HTTP/2 connections remain, and Shutdown announces the stop to their callers before it closes them.
	return errors.Wrap(s.http.Shutdown(ctx), "shut down")
}

// stopLinger is how long Stop keeps connections without a request open. Stop is used for servers
// whose callers are other daemons and operators, which reconnect.
const stopLinger = 50 * time.Millisecond

// Stop drains the server, and closes it when the context ends first. A nil server counts as stopped.
func (s *Server) Stop(ctx context.Context) error {
	if s == nil {
		return nil
	}
	if err := s.Drain(ctx, stopLinger); err != nil {
		return errors.CombineErrors(err, s.Close())
	}
	return nil
}

// Close closes the server and all of its connections at once.
func (s *Server) Close() error { return errors.Wrap(s.http.Close(), "close") }
