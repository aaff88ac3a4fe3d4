package gateway

import (
	"net"
	"net/http"
)

// ServeCallers serves callers on a listener of the test's until it is closed.
func ServeCallers(s *Server, l net.Listener) *http.Server {
	server := s.newCallerServer(nil)
	go func() { _ = server.Serve(limitedListener{Listener: l, limits: s.limits}) }()
	return server
}
