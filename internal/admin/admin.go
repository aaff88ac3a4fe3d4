// Package admin serves the health, the metrics and the profiles of a daemon over HTTP.
package admin

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/callers"
	"github.com/marbleroad/marbleroad/internal/kernel"
	"github.com/marbleroad/marbleroad/internal/resource"
)

// ServiceName is the name of the admin service in the kernel.
const ServiceName = "admin"

const (
	// readHeaderTimeout and bodyTimeout are the maximum times for a client to send a request's header and its body, and
	// writeTimeout that to receive a part of a response.
	readHeaderTimeout = 5 * time.Second
	bodyTimeout       = 5 * time.Second
	writeTimeout      = 10 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 16 << 10
)

// ReadinessReporter reports whether the daemon is ready for requests, and if not, the reason.
type ReadinessReporter interface {
	Ready() (ready bool, reason string)
}

// Server is the HTTP server of the admin listener.
type Server struct {
	address          string
	mux              *http.ServeMux
	share            resource.Share
	server           *callers.Server
	readinessService string
	reporter         ReadinessReporter
}

// New returns an admin server for the address. readinessService names the kernel service
// whose readiness it reports. Profiles are served only if profiles is true. share is what its connections may hold.
func New(address string, share resource.Share, metrics http.Handler, readinessService string, profiles bool) *Server {
	mux := http.NewServeMux()
	s := &Server{
		address:          address,
		mux:              mux,
		share:            share,
		readinessService: readinessService,
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

// HandleGet adds a handler for GET requests to the path. It must be called before Start.
func (s *Server) HandleGet(path string, h http.Handler) { s.mux.Handle("GET "+path, h) }

// HandlePost adds a handler for POST requests to the path. It must be called before Start.
func (s *Server) HandlePost(path string, h http.Handler) { s.mux.Handle("POST "+path, h) }

// Name implements kernel.Service.
func (s *Server) Name() string { return ServiceName }

// Provision implements kernel.Provisioner.
func (s *Server) Provision(k *kernel.Kernel) (err error) {
	s.reporter, err = kernel.Lookup[ReadinessReporter](k, s.readinessService)
	return err
}

// Start implements kernel.Service.
func (s *Server) Start(context.Context) error {
	listener, err := callers.Listen(s.address, callers.CallerBuffer)
	if err != nil {
		return errors.Wrap(err, "listen on the admin address")
	}
	s.server = callers.NewServer(&http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}, listener, callers.Options{Share: s.share, BodyTimeout: bodyTimeout, WriteTimeout: writeTimeout})
	go func() { _ = s.server.Serve() }()
	return nil
}

// Stop implements kernel.Service.
func (s *Server) Stop(context.Context) error {
	return errors.Wrap(s.server.Close(), "close the admin listener")
}
