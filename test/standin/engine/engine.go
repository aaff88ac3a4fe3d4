// Package engine is a stand-in for a model engine on one VM. It has a limited
// number of slots, streams with sequence numbers that can be resumed and
// canceled, a prefix cache, a load report that lags, and orders whose fencing
// token is checked or ignored. It records its executions for checkers.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/engine/httpapi"
	"github.com/marbleroad/marbleroad/internal/relay"
)

// Config configures a stand-in.
type Config struct {
	// Fenced makes the engine reject orders with an old fencing token.
	Fenced bool
	// Slots is the number of requests that run at once.
	Slots int
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// Prefill is the delay before the first token of an uncached prompt.
	Prefill time.Duration
	// Tokens is the number of tokens of a response.
	Tokens int
	// LoadTime is the time from a new assignment until the VM is ready.
	LoadTime time.Duration
	// ReportLag is the delay after which the load report shows that a run has finished.
	ReportLag time.Duration
	// Linger is how long a finished run can still be resumed.
	Linger time.Duration
}

// DefaultConfig returns the configuration of a fast engine.
func DefaultConfig() Config {
	return Config{Fenced: true, Slots: 8, TokenTime: 2 * time.Millisecond, Tokens: 8, Linger: 5 * time.Second}
}

// Execution is a run that the engine started.
type Execution struct {
	RequestID string
	Key       string
	Group     string
	// Generation is the group's generation at the start of the run.
	Generation uint64
	// Members are the addresses of the group's VMs, as the order lists them.
	Members []string
	// Prompt is the request's body.
	Prompt string
}

// run is a response that is being generated. The engine's mutex guards it.
type run struct {
	id     string
	events [][]byte
	done   bool
	broken bool
	// updated is closed and replaced at each change.
	updated chan struct{}
}

// Engine is the stand-in of one VM.
type Engine struct {
	VM     string
	config Config

	mu      sync.Mutex
	order   engine.Order
	readyAt time.Time
	leaving bool
	// frozen is closed by Thaw; nil while the VM is not frozen.
	frozen           chan struct{}
	breakAfter       int
	inFlight         int
	reportedInFlight int
	queued           int
	slots            chan struct{}
	runs             map[string]*run
	prefixes         map[uint64]bool
	executions       []Execution
	hits             int
	orders           []engine.Order
	onExecution      func(vm string, x Execution)
	onOrder          func(vm string, o engine.Order)
}

// New returns the stand-in of a VM that is not in a group.
func New(vm string, c Config) *Engine {
	return &Engine{
		VM:       vm,
		config:   c,
		slots:    make(chan struct{}, max(c.Slots, 1)),
		runs:     make(map[string]*run),
		prefixes: make(map[uint64]bool),
	}
}

// Executions returns all runs that were started so far.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution(nil), e.executions...)
}

// OnExecution sets a function to call at the start of each run. It is called with the engine locked.
func (e *Engine) OnExecution(f func(vm string, x Execution)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onExecution = f
}

// OnOrder sets a function to call when an order takes effect. It is called with the engine locked.
func (e *Engine) OnOrder(f func(vm string, o engine.Order)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onOrder = f
}

// PrefixHits returns the number of requests whose prefix, the first prefixBytes of the body, was cached.
func (e *Engine) PrefixHits() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hits
}

// Order returns the order in force.
func (e *Engine) Order() engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.order
}

// SetLeaving sets whether the VM reports that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetSpeed changes Config.Prefill and Config.TokenTime.
func (e *Engine) SetSpeed(prefill, token time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.config.Prefill = prefill
	e.config.TokenTime = token
}

// Freeze makes every request to the VM hang until Thaw.
func (e *Engine) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == nil {
		e.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (e *Engine) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// BreakAfter makes the connection of the next stream break after n events. The run itself continues.
func (e *Engine) BreakAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breakAfter = n
}

// Reset simulates a restart of the engine: it stops all runs and drops the order.
func (e *Engine) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.order = engine.Order{}
	e.stopRuns()
}

// stopRuns removes all runs and breaks the unfinished ones. The caller must hold e.mu.
func (e *Engine) stopRuns() {
	for id, r := range e.runs {
		if !r.done {
			r.broken = true
		}
		r.notify()
		delete(e.runs, id)
	}
}

// notify wakes all that wait for the run's next change. The caller must hold the engine's mutex.
func (r *run) notify() {
	close(r.updated)
	r.updated = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-r.Context().Done():
			return
		}
	}
	switch {
	case r.URL.Path == httpapi.StatusPath:
		e.status(w)
	case r.URL.Path == httpapi.AssignPath && r.Method == http.MethodPost:
		e.assign(w, r)
	case strings.HasPrefix(r.URL.Path, relay.ResumePath) && r.Method == http.MethodGet:
		e.resume(w, r)
	case strings.HasPrefix(r.URL.Path, relay.ResumePath) && r.Method == http.MethodDelete:
		e.cancel(strings.TrimPrefix(r.URL.Path, relay.ResumePath))
	case r.Method == http.MethodPost:
		e.infer(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) status(w http.ResponseWriter) {
	e.mu.Lock()
	s := httpapi.Status{
		Group:      e.order.Group,
		Generation: e.order.Generation,
		Rank:       e.order.Rank,
		Size:       e.order.Size,
		Fence:      e.order.Fence,
		Ready:      e.order.Group != "" && !time.Now().Before(e.readyAt),
		Leaving:    e.leaving,
		InFlight:   e.reportedInFlight,
		Queued:     e.queued,
		Slots:      e.config.Slots,
	}
	if e.config.ReportLag == 0 {
		s.InFlight = e.inFlight
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s)
}

func (e *Engine) assign(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fenced && o.Fence < e.order.Fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders = append(e.orders, o)
	if o.Group != e.order.Group || o.Generation != e.order.Generation {
		e.readyAt = time.Now().Add(e.config.LoadTime)
		e.stopRuns()
	}
	e.order = o
	if e.onOrder != nil {
		e.onOrder(e.VM, o)
	}
}

// infer runs one request. It rejects the request as not run if the VM isn't the ready head of the group and
// generation that the request names.
func (e *Engine) infer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request struct {
		Stream bool `json:"stream"`
	}
	_ = json.Unmarshal(body, &request)
	id := r.Header.Get(relay.RequestIDHeader)
	w.Header().Set(relay.RequestIDHeader, id)
	active, refused := e.startRun(r, id, body)
	if refused {
		w.Header().Set(relay.RefusedHeader, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(relay.RunIDHeader, active.id)
	go e.produce(active, id, body)
	if request.Stream {
		e.mu.Lock()
		breakAfter := e.breakAfter
		e.breakAfter = 0
		e.mu.Unlock()
		e.stream(w, r, active, 0, breakAfter)
		return
	}
	e.respondComplete(w, r, active, id)
}

// startRun records the execution and returns its run, or reports that the request must be rejected.
func (e *Engine) startRun(r *http.Request, id string, body []byte) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	group := r.Header.Get(relay.GroupHeader)
	generation := r.Header.Get(relay.GenerationHeader)
	mismatch := group != e.order.Group || generation != strconv.FormatUint(e.order.Generation, 10)
	if mismatch || e.order.Rank != 0 || time.Now().Before(e.readyAt) {
		return nil, true
	}
	x := Execution{
		RequestID:  id,
		Key:        r.Header.Get("Idempotency-Key"),
		Group:      group,
		Generation: e.order.Generation,
		Members:    e.order.Members,
		Prompt:     string(body),
	}
	e.executions = append(e.executions, x)
	if e.onExecution != nil {
		e.onExecution(e.VM, x)
	}
	active := &run{id: strings.ToLower(ulid.Make().String()), updated: make(chan struct{})}
	e.runs[active.id] = active
	e.inFlight++
	return active, false
}

// Token returns the text of the nth token of a response. It contains the request's ID, so that a checker detects
// a response that belongs to another request.
func Token(requestID string, n int) string {
	return fmt.Sprintf("%s.%d ", requestID, n)
}

// prefixBytes is the part of a request's body that the prefix cache compares, in bytes.
const prefixBytes = 256

// produce generates the run's response once a slot is free, also if the caller disconnects. The run can be resumed
// for Config.Linger after it has finished.
func (e *Engine) produce(active *run, id string, body []byte) {
	e.mu.Lock()
	e.queued++
	e.mu.Unlock()
	e.slots <- struct{}{}
	e.mu.Lock()
	e.queued--
	c := e.config
	prefix := xxhash.Sum64(body[:min(len(body), prefixBytes)])
	cached := e.prefixes[prefix]
	if cached {
		e.hits++
	}
	e.prefixes[prefix] = true
	e.mu.Unlock()
	if !cached {
		time.Sleep(c.Prefill)
	}
	for n := 1; n <= c.Tokens; n++ {
		time.Sleep(c.TokenTime)
		chunk := fmt.Sprintf(`{"id":%q,"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":%q}}]}`, id, Token(id, n))
		if !e.emit(active, chunk, false) {
			break
		}
	}
	e.emit(active, "[DONE]", true)
	<-e.slots
	e.mu.Lock()
	e.inFlight--
	inFlight := e.inFlight
	e.mu.Unlock()
	time.AfterFunc(c.ReportLag, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.reportedInFlight = inFlight
	})
	time.AfterFunc(c.Linger, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.runs, active.id)
	})
}

// emit appends an event to the run. It returns false, and appends nothing, if the run was stopped.
func (e *Engine) emit(active *run, data string, last bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if active.broken {
		return false
	}
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", len(active.events)+1, data)
	active.events = append(active.events, []byte(event))
	active.done = last
	active.notify()
	return true
}

// awaitEvents waits for events after the given number and returns them. A canceled request counts as broken.
func (e *Engine) awaitEvents(r *http.Request, active *run, after int) (events [][]byte, done, broken bool) {
	for {
		e.mu.Lock()
		events, done, broken = active.events[min(after, len(active.events)):], active.done, active.broken
		updated := active.updated
		e.mu.Unlock()
		if len(events) > 0 || done || broken {
			return events, done, broken
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return nil, false, true
		}
	}
}

// stream sends the events after the given number. If breakAfter is positive it breaks the connection after that many
// events.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, active *run, after, breakAfter int) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for {
		events, done, broken := e.awaitEvents(r, active, after)
		for _, ev := range events {
			_, _ = w.Write(ev)
			after++
			if breakAfter > 0 && after >= breakAfter {
				_ = control.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		_ = control.Flush()
		if broken {
			panic(http.ErrAbortHandler)
		}
		if done {
			return
		}
	}
}

// respondComplete waits until the run is done and sends all its tokens in one JSON response.
func (e *Engine) respondComplete(w http.ResponseWriter, r *http.Request, active *run, id string) {
	after := 0
	for {
		events, done, broken := e.awaitEvents(r, active, after)
		after += len(events)
		if broken {
			panic(http.ErrAbortHandler)
		}
		if done {
			break
		}
	}
	var text strings.Builder
	for n := 1; n < after; n++ {
		text.WriteString(Token(id, n))
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":%q,"object":"chat.completion","choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`, id, text.String())
}

// resume streams the events of a run after the one with the given number. It responds 404 if the run was stopped,
// or finished more than Config.Linger ago.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	id := strings.TrimPrefix(r.URL.Path, relay.ResumePath)
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	active := e.runs[id]
	e.mu.Unlock()
	if active == nil || err != nil || after < 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set(relay.RunIDHeader, id)
	e.stream(w, r, active, after, 0)
}

// cancel stops a run and removes it. Responses that still read from the run break.
func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if active := e.runs[id]; active != nil {
		active.broken = true
		active.notify()
		delete(e.runs, id)
	}
}
