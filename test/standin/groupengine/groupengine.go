// Package groupengine is a stand-in for the upstream VMs of the users'
// platform: model engines that form groups by orders and respond with streams,
// and plain services. Each VM is an HTTP handler that writes its own entry to
// the store.
package groupengine

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/endless"
	"github.com/marbleroad/marbleroad/test/standin/malformed"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

// Group is a VM's membership in a group, as it is sent.
type Group struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

// model is a loaded model, as it is sent.
type model struct {
	Name string `json:"name"`
}

// Config configures a VM.
type Config struct {
	ID, Service, Address, FailureDomain, FabricDomain string
	// LoadTime is the time that a join takes until the VM is ready, and the staging of a model.
	LoadTime time.Duration
	// Events is the number of events of a stream. 0 makes the VM a plain service.
	Events int
	// EventInterval is the time between two events.
	EventInterval time.Duration
	// PrefillTime is the time from the receipt of a streaming request to its execution.
	PrefillTime time.Duration
	// ServiceTime is how long a request to a plain service takes.
	ServiceTime time.Duration
	// Observe is called for each observation; nil for none. Observations of an order precede its response. For
	// BecameReady and WorkEnded it is called with the VM locked.
	Observe func(Observation)
	// FindVM returns another VM by its ID, nil for one that was removed. If it is set, a head stalls its streams
	// while a member is lost and breaks after StallBound.
	FindVM     func(id string) *VM
	StallBound time.Duration
	// WriteDelay returns how long the store takes to write an entry that the VM sends now; nil for no time. Later
	// entries may be written first. It is called with the VM locked.
	WriteDelay func() time.Duration
}

// Kind is the kind of an Observation.
type Kind uint8

// The kinds. Every request is observed as RequestReceived first and as RequestFinished last, with RequestExecuted
// between them if it was executed.
const (
	RequestReceived Kind = iota
	RequestExecuted
	RequestFinished
	// Joined means that the VM accepted a join order and started to load the model.
	Joined
	// BecameReady means that a joined VM finished loading the model.
	BecameReady
	// Opened means that the VM accepted an open order.
	Opened
	// WorkEnded means that an order ended requests that the VM ran.
	WorkEnded
)

// Observation is an event at a VM.
type Observation struct {
	Kind Kind
	At   time.Time
	VM   string
	// Service is the VM's service.
	Service string
	// Request is the request's ID, Target its path and query, From the sender's IP address.
	Request, Target, From string
	// PromptParts lists the parts of the request's prompt as ID:TOKENS, separated by commas.
	PromptParts string
	// Group, Epoch and Members are the VM's group; the one after the order for Joined and Opened.
	Group   string
	Epoch   uint64
	Members []string
	// OldGroup is the VM's group before a join or open order, and OldMembers its VMs.
	OldGroup   Group
	OldMembers []string
	// Order is the operation that ended work, and Ended the number of requests that it ended.
	Order string
	Ended int
}

// VM is one upstream VM.
type VM struct {
	config Config
	store  *objectstore.Store
	// halted is true once the VM executes no further request; halting guards it.
	halting sync.RWMutex
	halted  bool
	// Executed counts the requests that were executed.
	Executed atomic.Int64
	// Received counts all requests that were received.
	Received atomic.Int64
	// Refuse makes the VM reject every request as not run.
	Refuse atomic.Bool
	// TruncateAfter is the number of complete events after which each stream breaks, in the middle of the next event; 0
	// for never, -1 for before the first event.
	TruncateAfter atomic.Int64
	// TruncateBetween makes streams break between two events instead.
	TruncateBetween atomic.Bool
	// Unframed makes responses have neither a length nor chunks; they end with their connection.
	Unframed atomic.Bool
	// StallAfter is the number of events after which each stream stalls; 0 for never.
	StallAfter atomic.Int64
	// StallFor is how long a stream stalls before it continues, in nanoseconds; 0 for good.
	StallFor atomic.Int64
	// WrongAttemptID makes responses carry the ID of another request.
	WrongAttemptID atomic.Bool
	// Endless makes the VM answer some or all requests without end after it executed them; nil for none.
	Endless atomic.Pointer[endless.Mode]
	// Malformed is how the VM answers all requests after it executed them; nil for usual answers.
	Malformed atomic.Pointer[malformed.Answer]
	// Condition holds headers with the VM's condition that are added to all responses to requests; nil for none.
	Condition atomic.Pointer[http.Header]

	mu sync.Mutex
	// born is the start time of the incarnation, in Unix milliseconds.
	born int64
	// entriesWritten and ordersAccepted count since the start of the incarnation.
	entriesWritten uint64
	ordersAccepted uint64
	group          *Group
	members        []string
	model          string
	staged         []string
	draining       bool
	// entryDeleted is true once the VM's entry was deleted for good.
	entryDeleted bool
	// warmUntil is when the VM has warmed up; zero if it never had to.
	warmUntil time.Time
	// memberLostAt is when the head of an open group detected that a member is lost; zero if the group is complete.
	memberLostAt time.Time
	// work is that of the head since it last opened; nil if it has none and accepts none.
	work *work
	// silentUntil is when the VM, which is sound, goes on with its work; zero if it never fell silent.
	silentUntil time.Time
	// deaf is true once the VM has stopped listening.
	deaf bool
	// headers and targets are those of the requests that were received.
	headers []http.Header
	targets []string
}

// New returns a VM and writes its entry.
func New(c Config, store *objectstore.Store) *VM {
	v := &VM{config: c, store: store, born: time.Now().UnixMilli()}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.publish()
	return v
}

// Restart restarts the VM: a new incarnation under the same ID loses all state but the models staged on the host.
// It writes an entry only if publish is set.
func (v *VM) Restart(publish bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.born = max(time.Now().UnixMilli(), v.born+1)
	v.endWork()
	v.entriesWritten, v.ordersAccepted, v.group, v.members, v.model, v.draining = 0, 0, nil, nil, "", false
	if publish {
		v.publish()
	}
}

// Warm makes the VM report that it is warming up for the given time, in its entry and in the responses to status
// requests and orders. It enforces nothing.
func (v *VM) Warm(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.warmUntil = time.Now().Add(d)
	v.publish()
}

// warmupLeft returns how many milliseconds longer the VM is warming up. The caller must hold v.mu.
func (v *VM) warmupLeft() int64 { return max(time.Until(v.warmUntil), 0).Milliseconds() }

// Drain makes the VM report that it is draining.
func (v *VM) Drain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining = true
	v.publish()
}

// InGroup reports whether the VM is in the group and has finished joining it.
func (v *VM) InGroup(group string, epoch uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.group != nil && v.group.Name == group && v.group.Epoch == epoch && v.group.State != "joining"
}

// CheckMembers checks, if the VM is the head of an open or closing group, whether the group's members are still in it,
// and breaks the group once a member has been lost for StallBound. The test must call it several times a second.
func (v *VM) CheckMembers(now time.Time) {
	v.mu.Lock()
	name, epoch, serving, members := v.serving()
	v.mu.Unlock()
	if v.config.FindVM == nil || !serving {
		return
	}
	complete := true
	for _, id := range members {
		member := v.config.FindVM(id)
		complete = complete && member != nil && member.InGroup(name, epoch)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	nameNow, epochNow, serving, _ := v.serving()
	switch {
	case !serving || nameNow != name || epochNow != epoch:
	case complete:
		v.memberLostAt = time.Time{}
	case v.memberLostAt.IsZero():
		v.memberLostAt = now
	case now.Sub(v.memberLostAt) > v.config.StallBound:
		v.memberLostAt = time.Time{}
		v.endWork()
		v.setState("broken")
		v.publish()
	}
}

// serving returns the VM's group and whether the VM is its head and open or closing. The caller must hold v.mu.
func (v *VM) serving() (name string, epoch uint64, serving bool, members []string) {
	if v.group == nil {
		return "", 0, false, nil
	}
	serving = v.group.Rank == 0 && (v.group.State == "open" || v.group.State == "closing")
	return v.group.Name, v.group.Epoch, serving, v.members
}

// setState changes the state in the VM's group. The caller must hold v.mu.
func (v *VM) setState(state string) {
	changed := *v.group
	changed.State = state
	v.group = &changed
}

// stalled reports whether the head stalls its streams, because a member is lost.
func (v *VM) stalled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.memberLostAt.IsZero()
}

// observe passes an observation to Config.Observe.
func (v *VM) observe(o Observation) {
	if v.config.Observe == nil {
		return
	}
	o.At, o.VM, o.Service = time.Now(), v.config.ID, v.config.Service
	v.config.Observe(o)
}

// groupObservation returns an observation with the VM's current group.
func (v *VM) groupObservation(k Kind) Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := Observation{Kind: k, Members: v.members}
	if v.group != nil {
		o.Group, o.Epoch = v.group.Name, v.group.Epoch
	}
	return o
}

// State returns the VM's state in its group: joining, ready, open, closing or broken. It is empty if the VM is in no group.
func (v *VM) State() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.group == nil {
		return ""
	}
	return v.group.State
}

// Rank returns the VM's rank in its group, or -1 if it is in no group.
func (v *VM) Rank() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.group == nil {
		return -1
	}
	return v.group.Rank
}

// Requests returns the headers and targets of the requests that were received.
func (v *VM) Requests() ([]http.Header, []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]http.Header(nil), v.headers...), append([]string(nil), v.targets...)
}

// ServeHTTP implements http.Handler.
func (v *VM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != v.config.ID {
		w.Header().Set("Instance-Id", v.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		v.report(w)
	case "/-/order":
		v.order(w, r)
	case HealthPath:
		v.health(w)
	default:
		v.request(w, r)
	}
}

// addConditionHeaders adds the headers with the VM's condition.
func (v *VM) addConditionHeaders(h http.Header) {
	if condition := v.Condition.Load(); condition != nil {
		maps.Copy(h, *condition)
	}
}

// HealthPath is the path of the health check.
const HealthPath = "/health"

// health answers a health check: a VM that drains, or leaves without a notice, is not healthy. One whose entry lapsed is.
func (v *VM) health(w http.ResponseWriter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	w.Header().Set("Instance-Id", v.config.ID)
	if v.draining || v.entryDeleted {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (v *VM) report(w http.ResponseWriter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if left := v.warmupLeft(); left > 0 {
		w.Header().Set("Cold-Ms", fmt.Sprint(left))
	}
	models := []model{}
	if v.model != "" {
		models = append(models, model{v.model})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"seq": v.ordersAccepted, "born": v.born, "queued": 0, "active": v.work.count(), "pace": 1,
		"staged": v.staged, "models": models, "group": v.group})
}

// Halt makes the VM execute no further request, as a process that has died. It returns once none is about to be.
func (v *VM) Halt() {
	v.halting.Lock()
	defer v.halting.Unlock()
	v.halted = true
}
