package gateway

import (
	"net"

	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/portcheck"
)

// ServeCallers serves callers on the given listener until it is closed.
func ServeCallers(s *Server, l net.Listener) *callers.Server {
	server := s.newCallerServer(l, nil)
	go func() { _ = server.Serve() }()
	return server
}

// catalogOf returns a catalog with the services in the table.
func catalogOf(tt *targetTable) *catalog.Catalog {
	var content catalog.Content
	for _, p := range tt.pools {
		content.Services = append(content.Services, *p.service)
	}
	c, err := catalog.New(content)
	if err != nil {
		panic(err)
	}
	return c
}

// CutOff reports whether the node takes itself for cut off from all upstreams.
func CutOff(s *Server) bool { return s.reach.CutOff() }

// PassedEvents returns how many events were passed on to the callers of the requests in flight.
func PassedEvents(s *Server) (n int64) {
	for _, f := range s.inFlight.all() {
		n += f.events.Load()
	}
	return n
}

// InFlight returns the number of requests that were read and are not finished.
func InFlight(s *Server) int { return len(s.inFlight.all()) }

// CheckPortsWith makes the server check the ports of upstreams with the dialer. It must be called before the first request.
func CheckPortsWith(s *Server, d *net.Dialer) { s.ports = portcheck.New(d) }

// ReportUnanswered reports a connection that was closed with a request that was read but not handled.
func ReportUnanswered(s *Server, caller net.Addr, header []byte) { s.reportUnanswered(caller, header) }

// BufferedBytes returns the number of bytes that are reserved for bodies and streams.
func BufferedBytes(s *Server) int64 { return s.buffers.Used() }
