// Package objectstore is a small stand-in for the users' platform's store, as
// far as the tests need it: kinds of objects, one revision counter, conditional
// writes, watches over a bounded history, and outages.
package objectstore

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Path is where objects are.
const Path = "/-/objects/"

// Object is one object on the wire.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Metadata names an object.
type Metadata struct {
	Name string `json:"name"`
	Rev  uint64 `json:"rev"`
}

type event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
	rev  uint64
}

// Store is the stand-in. It is safe for use by several goroutines.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]Object
	history []event
	// dropped is the revision up to which history is gone.
	dropped uint64
	changed chan struct{}
	down    bool
	lose    int
	calls   map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{rev: 1, kinds: make(map[string]map[string]Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// Put writes an object from outside, as the operator and the VMs do.
func (s *Store) Put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, value)
}

// Delete removes an object from outside.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.kinds[kind][name]; !ok {
		return
	}
	delete(s.kinds[kind], name)
	s.rev++
	s.note(event{kind: kind, rev: s.rev, Deleted: true, Object: Object{Metadata: Metadata{Name: name, Rev: s.rev}}})
}

// Forget drops the history, so that older watches are answered 410.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.rev
	s.wake()
}

// SetDown has every call refused with 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// LoseAnswers has the answers of the next writes lost after they took effect.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// Calls is how often a path was asked for.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Revision is the newest revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

func (s *Store) put(kind, name string, value json.RawMessage) Object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]Object)
	}
	s.rev++
	o := Object{Metadata: Metadata{Name: name, Rev: s.rev}, Spec: value}
	s.kinds[kind][name] = o
	s.note(event{kind: kind, rev: s.rev, Object: o})
	return o
}

func (s *Store) note(e event) {
	s.history = append(s.history, e)
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, Path), "/")
	s.mu.Lock()
	s.calls[r.URL.Path]++
	down := s.down
	s.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []Object{}
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "as-of": s.rev})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		answer(w, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method == http.MethodPut && o.Metadata.Rev != 0 && o.Metadata.Rev != old.Metadata.Rev:
		answer(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !exists:
		answer(w, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	written := s.put(kind, name, o.Spec)
	if s.lose > 0 {
		s.lose--
		panic(http.ErrAbortHandler)
	}
	answer(w, http.StatusOK, written)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for {
		events, rev, gone, changed := s.since(kind, after)
		if gone {
			answer(w, http.StatusGone, map[string]string{"error": "history is gone"})
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as-of": rev})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			answer(w, http.StatusOK, map[string]any{"events": []event{}, "as-of": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(kind string, after uint64) (out []event, rev uint64, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.history {
		if e.kind == kind && e.rev > after {
			out = append(out, e)
		}
	}
	return out, s.rev, after < s.dropped, s.changed
}
