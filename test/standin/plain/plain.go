// Package plain is a stand-in for a plain application service. It counts its
// executions by request and by idempotency key.
package plain

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine/httpapi"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/test/standin/endless"
)

// Service is the stand-in for one VM.
type Service struct {
	VM string
	// Slots is the number of slots that the VM reports. The stand-in doesn't enforce it.
	Slots int

	mu sync.Mutex
	// executions counts the executions by request ID, byKey by idempotency key.
	executions map[string]int
	byKey      map[string]int
	total      int
	delay      time.Duration
	// breakNext is the number of requests whose connection is still to be closed after they ran.
	breakNext int
	leaving   bool
	// unframed makes responses have neither a length nor chunks, pause is the time between their halves.
	unframed bool
	pause    time.Duration
	endless  *endless.Mode
	inFlight int
}

// New returns the stand-in for a VM that reports the given number of slots.
func New(vm string, slots int) *Service {
	return &Service{VM: vm, Slots: slots, executions: make(map[string]int), byKey: make(map[string]int)}
}

// SetDelay sets how long each request takes.
func (s *Service) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// BreakNext closes the connection of the next n requests after they ran.
func (s *Service) BreakNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakNext = n
}

// SetUnframed makes responses have neither a length nor chunks; they end with their connection. pause is the time between
// the two halves of each.
func (s *Service) SetUnframed(pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unframed, s.pause = true, pause
}

// SetEndless makes the VM answer some or all requests without end after they ran; nil for none.
func (s *Service) SetEndless(m *endless.Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endless = m
}

// SetLeaving sets whether the VM reports that it is leaving.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Executions returns how often the request with the ID ran.
func (s *Service) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// ByKey returns how often requests with the idempotency key ran.
func (s *Service) ByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// Total returns the number of requests that ran.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// ServeHTTP implements http.Handler. Any path but that of the status counts as an execution, and the response repeats
// the request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == httpapi.StatusPath {
		s.mu.Lock()
		status := httpapi.Status{Ready: true, Leaving: s.leaving, InFlight: s.inFlight, Slots: s.Slots}
		s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(status)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(relay.RequestIDHeader)
	s.mu.Lock()
	s.executions[id]++
	s.total++
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		s.byKey[key]++
	}
	delay, unframed, pause, mode := s.delay, s.unframed, s.pause, s.endless
	broken := s.breakNext > 0
	if broken {
		s.breakNext--
	}
	s.inFlight++
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
	if broken {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(relay.RequestIDHeader, id)
	w.Header().Set("Content-Type", "text/plain")
	if mode.Answer(w, id) {
		return
	}
	answer := fmt.Sprintf("%s %s by %s for %s: %s", r.Method, r.URL.RequestURI(), s.VM, id, body)
	if unframed {
		// net/http then sends no chunks and closes the connection.
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		time.Sleep(pause)
		answer = answer[len(answer)/2:]
	}
	_, _ = io.WriteString(w, answer)
}
