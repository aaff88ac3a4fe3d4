// Package objectstore is a stand-in for the store of the users' platform. It
// has kinds of objects, one revision counter, conditional writes, watches over
// a history that can be dropped, outages, and restores from an older copy.
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

// Path is the path prefix of the object API.
const Path = "/-/objects/"

// Object is an object as it is sent.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Metadata holds an object's name and revision.
type Metadata struct {
	Name string `json:"name"`
	Rev  uint64 `json:"rev"`
}

// event is one change of an object. The exported fields are sent.
type event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind string
	rev  uint64
	at   time.Time
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu    sync.Mutex
	rev   uint64
	kinds map[string]map[string]Object
	// era starts at 1 and rises with each restore.
	era     uint64
	history []event
	// log holds all changes that the current contents consist of, whether or not the history was dropped.
	log []event
	// compactedRev is the revision up to which the history was dropped.
	compactedRev uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	down    bool
	// responsesToLose is the number of writes whose response is still to be lost.
	responsesToLose int
	// calls counts the requests by path.
	calls map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{rev: 1, era: 1, kinds: make(map[string]map[string]Object), changed: make(chan struct{}), calls: make(map[string]int)}
}

// Put writes an object unconditionally, as the operator and the VMs do.
func (s *Store) Put(kind, name string, spec any) {
	value, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, value)
}

// Delete removes an object if it exists.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.kinds[kind][name]; !ok {
		return
	}
	s.rev++
	s.record(event{kind: kind, rev: s.rev, Deleted: true, Object: Object{Metadata: Metadata{Name: name, Rev: s.rev}}})
}

// DropHistory drops the history, so that watches from an older revision get 410 Gone, also those that are waiting.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRev = nil, s.rev
	s.notifyWatchers()
}

// Restore replaces the contents by those of an older copy, from just before the given time. Later changes are
// lost, their revisions are given out again, and watches from such a revision get 410 Gone.
func (s *Store) Restore(to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := sort.Search(len(s.log), func(i int) bool { return !s.log[i].at.Before(to) })
	s.log = s.log[:kept:kept]
	s.era++
	s.rev = 1
	s.kinds = make(map[string]map[string]Object)
	for _, e := range s.log {
		s.rev = e.rev
		s.apply(e)
	}
	s.history = nil
	for _, e := range s.log {
		if e.rev > s.compactedRev {
			s.history = append(s.history, e)
		}
	}
	s.notifyWatchers()
}

// apply applies a change to the contents. The caller must hold s.mu.
func (s *Store) apply(e event) {
	if s.kinds[e.kind] == nil {
		s.kinds[e.kind] = make(map[string]Object)
	}
	if e.Deleted {
		delete(s.kinds[e.kind], e.Object.Metadata.Name)
		return
	}
	s.kinds[e.kind][e.Object.Metadata.Name] = e.Object
}

// SetDown sets whether every new request is rejected with 503. Watches that are already waiting continue.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// LoseResponses breaks the connections of the next n writes after they took effect.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// Calls returns the number of requests to a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

// Revision returns the newest revision.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// put stores an object under the next revision. The caller must hold s.mu.
func (s *Store) put(kind, name string, value json.RawMessage) Object {
	s.rev++
	o := Object{Metadata: Metadata{Name: name, Rev: s.rev}, Spec: value}
	s.record(event{kind: kind, rev: s.rev, Object: o})
	return o
}

// record applies a change, appends it to the history and wakes the watchers. The caller must hold s.mu.
func (s *Store) record(e event) {
	e.at = time.Now()
	s.apply(e)
	s.log = append(s.log, e)
	s.history = append(s.history, e)
	s.notifyWatchers()
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// EraHeader is the header of all responses that holds the store's era.
const EraHeader = "Store-Era"

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, Path), "/")
	s.mu.Lock()
	s.calls[r.URL.Path]++
	down, era := s.down, s.era
	s.mu.Unlock()
	switch {
	case down:
		respond(w, era, http.StatusServiceUnavailable, map[string]string{"error": "the store is down"})
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

func respond(w http.ResponseWriter, era uint64, status int, body any) {
	w.Header().Set(EraHeader, strconv.FormatUint(era, 10))
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
	respond(w, s.era, http.StatusOK, map[string]any{"items": items, "has-more": false, "as-of": s.rev})
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.kinds[kind][name]
	if !ok {
		respond(w, s.era, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	respond(w, s.era, http.StatusOK, o)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	err := json.NewDecoder(r.Body).Decode(&o)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		respond(w, s.era, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	old, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, r.Method == http.MethodPut && o.Metadata.Rev != 0 && o.Metadata.Rev != old.Metadata.Rev:
		respond(w, s.era, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !exists:
		respond(w, s.era, http.StatusNotFound, map[string]string{"error": "no such object"})
		return
	}
	written := s.put(kind, name, o.Spec)
	if s.responsesToLose > 0 {
		s.responsesToLose--
		panic(http.ErrAbortHandler)
	}
	respond(w, s.era, http.StatusOK, written)
}

// watch responds with the kind's events after the revision in the query, as soon as there are any. It responds with
// an empty list after the query's wait-ms, and with 410 Gone if the history after the revision was dropped.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	for {
		found := s.since(kind, after)
		if found.compacted {
			respond(w, found.era, http.StatusGone, map[string]string{"error": "history is gone"})
			return
		}
		if len(found.events) > 0 {
			respond(w, found.era, http.StatusOK, map[string]any{"events": found.events, "as-of": found.rev})
			return
		}
		select {
		case <-found.changed:
		case <-deadline.C:
			respond(w, found.era, http.StatusOK, map[string]any{"events": []event{}, "as-of": found.rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince is what a watch finds.
type changesSince struct {
	events []event
	rev    uint64
	era    uint64
	// compacted is true if the history after the watch's revision is incomplete, or if there is no such revision.
	compacted bool
	// changed is closed at the next change.
	changed chan struct{}
}

// since returns the kind's events after a revision.
func (s *Store) since(kind string, after uint64) changesSince {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := changesSince{rev: s.rev, era: s.era, compacted: after < s.compactedRev || after > s.rev, changed: s.changed}
	for _, e := range s.history {
		if e.kind == kind && e.rev > after {
			found.events = append(found.events, e)
		}
	}
	return found
}
