// Package admin serves health, metrics and profiles of a daemon.
package admin

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/kernel"
)

// ServiceName is the admin service's name in the kernel.
const ServiceName = "admin"

const readHeaderTimeout = 5 * time.Second

// Reporter is the service that knows whether the daemon may get work, and if
// not, why.
type Reporter interface {
	Ready() (ready bool, reason string)
}

// Server is the admin listener.
type Server struct {
	address  string
	mux      *http.ServeMux
	http     *http.Server
	subject  string
	reporter Reporter
}

// New returns an admin server for the address. subject names the service
// whose readiness it reports.
func New(address string, metrics http.Handler, subject string, profiles bool) *Server {
	mux := http.NewServeMux()
	s := &Server{
		address: address,
		mux:     mux,
		subject: subject,
		http:    &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout},
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := s.reporter.Ready()
		if !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /metrics", metrics)
	if profiles {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return s
}

// Serve adds what only some daemons show. It must be called before Start.
func (s *Server) Serve(path string, h http.Handler) { s.mux.Handle("GET "+path, h) }

// Take adds what operators may have only some daemons do. It must be called before Start.
func (s *Server) Take(path string, h http.Handler) { s.mux.Handle("POST "+path, h) }

// Name implements kernel.Service.
func (s *Server) Name() string { return ServiceName }

// Provision implements kernel.Provisioner.
func (s *Server) Provision(k *kernel.Kernel) (err error) {
	s.reporter, err = kernel.Lookup[Reporter](k, s.subject)
	return err
}

// Start implements kernel.Service.
func (s *Server) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrap(err, "listen for admin")
	}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// Stop implements kernel.Service.
func (s *Server) Stop(context.Context) error {
	return errors.Wrap(s.http.Close(), "close admin")
}
