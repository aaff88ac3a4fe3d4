package integration

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	api "github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/test/standin/engine"
)

// response is a response as the caller received it, with the properties of its request that the checks need.
type response struct {
	id      string
	status  int
	verdict verdict.Verdict
	header  http.Header
	body    string
	// events are the data fields of a stream; lastID is the last event's ID.
	events []string
	lastID string
	// outcome is how a stream ended: done, error, or cut for a broken connection. Empty means that it ended without
	// a final event.
	outcome string
	err     error
	sent    time.Time
	elapsed time.Duration
	// nonIdempotent and idempotencyKey are those of the request.
	nonIdempotent  bool
	idempotencyKey string
}

// livenessChange is the start or the stop of a VM.
type livenessChange struct {
	alive bool
	at    time.Time
}

// history records the responses to callers, the executions at upstreams and the liveness and orders of VMs. Its
// check method verifies the invariants over them and over the platform's accepted writes.
type history struct {
	s *deployment

	mu         sync.Mutex
	responses  []response
	executions []engine.Execution
	liveness   map[string][]livenessChange
	// orders holds the current order of each VM and when it took effect.
	orders map[string]orderChange
	// violations are the broken invariants that were found during the run.
	violations []string
}

type orderChange struct {
	order api.Order
	at    time.Time
}

func newHistory(s *deployment) *history {
	return &history{s: s, liveness: make(map[string][]livenessChange), orders: make(map[string]orderChange)}
}

// setAlive records that a VM was started or stopped.
func (h *history) setAlive(vm string, alive bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.liveness[vm] = append(h.liveness[vm], livenessChange{alive: alive, at: time.Now()})
}

// recordOrder records an order that took effect at a VM.
func (h *history) recordOrder(vm string, o api.Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.orders[vm].order
	if old.Group != o.Group || old.Generation != o.Generation {
		h.orders[vm] = orderChange{order: o, at: time.Now()}
	}
}

func (h *history) add(a response) response {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.responses = append(h.responses, a)
	return a
}

// maxDispatchDelay is the longest time allowed between the entry's decision and the start of the execution. It is
// generous, because the test machine may be busy.
const maxDispatchDelay = 500 * time.Millisecond

// recordExecution records the start of an execution at a VM, and a violation if a member of the VM's group is dead
// or in another group, and has been so for longer than the presence window.
func (h *history) recordExecution(vm string, x engine.Execution) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, x)
	for _, member := range x.Members {
		name := h.vmAt(member)
		if dead, since := h.deadSince(name, now); dead && now.Sub(since) > presenceWindow+maxDispatchDelay {
			h.violations = append(h.violations, fmt.Sprintf("request %s started at %s in %s generation %d though %s has been dead for %s", x.RequestID, vm, x.Group, x.Generation, name, now.Sub(since)))
		}
		o := h.orders[name]
		if (o.order.Group != x.Group || o.order.Generation != x.Generation) && now.Sub(o.at) > presenceWindow+maxDispatchDelay {
			h.violations = append(h.violations, fmt.Sprintf("request %s started at %s in %s generation %d though %s has been in %s generation %d for %s", x.RequestID, vm, x.Group, x.Generation, name, o.order.Group, o.order.Generation, now.Sub(o.at)))
		}
	}
}

// vmAt returns the name of the VM at the address, or an empty string.
func (h *history) vmAt(address string) string {
	for name, v := range h.s.vms {
		if v.member.Address == address {
			return name
		}
	}
	return ""
}

// deadSince reports whether the VM is dead and when its liveness last changed.
func (h *history) deadSince(vm string, now time.Time) (bool, time.Time) {
	changes := h.liveness[vm]
	if len(changes) == 0 {
		return true, time.Time{}
	}
	last := changes[len(changes)-1]
	return !last.alive, last.at
}

// check verifies all invariants over the recorded history. Tests call it at their end.
func (h *history) check() {
	t := h.s.t
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.violations {
		t.Error(f)
	}
	runs := h.runsByRequest()
	byKey := make(map[string]int)
	for _, a := range h.responses {
		h.checkResponse(t, a, runs[a.id])
		if a.nonIdempotent && a.idempotencyKey != "" {
			byKey[a.idempotencyKey] = 0
		}
	}
	for key := range byKey {
		if n := h.runsByKey(key); n > 1 {
			t.Errorf("requests with key %s ran %d times", key, n)
		}
	}
	h.checkStore(t)
}

// runsByRequest counts the executions of each request, by request ID. Plain services are queried once for each
// response, so an ID that several responses share is counted too often.
func (h *history) runsByRequest() map[string]int {
	runs := make(map[string]int)
	for _, x := range h.executions {
		runs[x.RequestID]++
	}
	for _, a := range h.responses {
		for _, v := range h.s.vms {
			if v.plain != nil {
				runs[a.id] += v.plain.Executions(a.id)
			}
		}
	}
	return runs
}

// runsByKey counts the executions with an idempotency key.
func (h *history) runsByKey(key string) int {
	n := 0
	for _, v := range h.s.vms {
		if v.plain != nil {
			n += v.plain.ByKey(key)
		}
	}
	for _, x := range h.executions {
		if x.Key == key {
			n++
		}
	}
	return n
}

// checkResponse verifies one response: a request that was rejected as not run has no execution, a non-idempotent
// one has at most one, and a stream is complete or ends explicitly.
func (h *history) checkResponse(t testing.TB, a response, runs int) {
	t.Helper()
	if a.err != nil && a.outcome != "cut" {
		t.Errorf("request %s got no response: %v", a.id, a.err)
	}
	if a.id == "" {
		return
	}
	if a.verdict == verdict.NotRun && a.status != http.StatusOK && runs > 0 {
		t.Errorf("request %s was rejected as not run but ran %d times", a.id, runs)
	}
	if a.nonIdempotent && runs > 1 {
		t.Errorf("request %s must run at most once but ran %d times", a.id, runs)
	}
	if a.events != nil {
		checkEvents(t, a)
	}
}

// checkEvents checks that a stream holds its own request's tokens in order, from the first and without a gap, and
// all of them if it ended as done.
func checkEvents(t testing.TB, a response) {
	t.Helper()
	n := 0
	for _, data := range a.events {
		if data == "[DONE]" {
			continue
		}
		n++
		if a.status == http.StatusOK && !strings.Contains(data, engine.Token(a.id, n)) {
			t.Errorf("request %s: event %d holds %s", a.id, n, data)
			return
		}
	}
	if a.outcome == "done" && n != engine.DefaultConfig().Tokens {
		t.Errorf("request %s: the complete stream has %d tokens", a.id, n)
	}
	if a.outcome == "" {
		t.Errorf("request %s: the stream ended without a final event after %d tokens", a.id, n)
	}
}

// checkStore checks the accepted writes of plans: each can be decoded, and the versions are consecutive.
func (h *history) checkStore(t testing.TB) {
	t.Helper()
	last := make(map[string]uint64)
	for _, o := range h.s.platform.History() {
		if !strings.HasPrefix(o.Key, item.PlanPrefix) {
			continue
		}
		p, err := groups.Decode(o.Value)
		if err != nil {
			t.Errorf("%s: %v", o.Key, err)
			continue
		}
		if p.Version != last[o.Key]+1 {
			t.Errorf("%s: version %d after %d", o.Key, p.Version, last[o.Key])
		}
		last[o.Key] = p.Version
	}
}

// request is one request of a caller. Empty fields stand for a model request to the nowcast service by the
// forecasters team.
type request struct {
	key            string
	stream         bool
	service        string
	path           string
	method         string
	body           string
	header         map[string]string
	nonIdempotent  bool
	idempotencyKey string
	timeout        time.Duration
	// client sends the request; nil sends it on a new connection.
	client *http.Client
}

const callTimeout = 30 * time.Second

// call sends one request to a node, and returns and records the response.
func (s *deployment) call(nd *node, q request) response {
	a := response{sent: time.Now(), nonIdempotent: q.nonIdempotent, idempotencyKey: q.idempotencyKey}
	req, err := http.NewRequest(q.methodOrDefault(), s.url(nd, q.pathOrDefault()), strings.NewReader(q.bodyOrDefault()))
	if err != nil {
		a.err = err
		return s.history.add(a)
	}
	key := q.key
	if key == "" {
		key = teamKey
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if q.nonIdempotent {
		req.Header.Set("Marbleroad-Non-Idempotent", "yes")
	}
	if q.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", q.idempotencyKey)
	}
	if q.timeout > 0 {
		req.Header.Set("Marbleroad-Timeout", q.timeout.String())
	}
	for name, value := range q.header {
		req.Header.Set(name, value)
	}
	client := q.client
	if client == nil {
		client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: s.callerTLS}}
	}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		a.outcome = "cut"
		a.elapsed = time.Since(a.sent)
		return s.history.add(a)
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	a.header = resp.Header
	a.id = resp.Header.Get(relay.RequestIDHeader)
	a.verdict = verdict.Parse(resp.Header.Get(verdict.Header))
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		a.readStream(resp.Body)
	} else {
		data, err := io.ReadAll(resp.Body)
		a.body, a.err = string(data), err
	}
	a.elapsed = time.Since(a.sent)
	return s.history.add(a)
}

func (q request) methodOrDefault() string {
	if q.method != "" {
		return q.method
	}
	return http.MethodPost
}

func (q request) pathOrDefault() string {
	if q.path != "" {
		return q.path
	}
	return "/v1/chat/completions"
}

func (q request) bodyOrDefault() string {
	if q.body != "" || q.path != "" {
		return q.body
	}
	service := q.service
	if service == "" {
		service = "nowcast"
	}
	return fmt.Sprintf(`{"model":%q,"stream":%t,"messages":[{"role":"user","content":"hail?"}]}`, service, q.stream)
}

// readStream reads the events of a stream until it ends.
func (a *response) readStream(body io.Reader) {
	a.events = []string{}
	failed := false
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case line == "event: error":
			failed = true
			a.outcome = "error"
		case strings.HasPrefix(line, "id: "):
			a.lastID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "data: "):
			data := strings.TrimPrefix(line, "data: ")
			if failed {
				a.body = data
				continue
			}
			a.events = append(a.events, data)
			if data == "[DONE]" {
				a.outcome = "done"
			}
		}
	}
	if err := scanner.Err(); err != nil && a.outcome == "" {
		a.err = err
		a.outcome = "cut"
	}
}
