// Package groupengine is a small stand-in for the users' platform's upstream
// VMs: model engines that form groups by orders and answer with streams, and
// plain services. Each VM is an HTTP handler that writes its own entry.
package groupengine

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

// Group is a VM's place on the wire.
type Group struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

type model struct {
	Name string `json:"name"`
}

type entry struct {
	Service string   `json:"service"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	Slots   int      `json:"slots"`
	State   string   `json:"state"`
	Domain  string   `json:"domain,omitempty"`
	Staged  []string `json:"staged"`
	Models  []model  `json:"models"`
	Group   *Group   `json:"group,omitempty"`
	Version string   `json:"version"`
	Warmup  int      `json:"warmup-left-ms"`
	Seq     uint64   `json:"seq"`
	Born    int64    `json:"born"`
}

// Config says what a VM is.
type Config struct {
	ID, Service, Address, Zone, Domain string
	// Load is how long any join or copy takes.
	Load time.Duration
	// Events and Pause shape the streams; Events 0 is a plain service, which takes Work.
	Events int
	Pause  time.Duration
	Work   time.Duration
	// Observe is told what happens here, before it is answered; nil for nobody. It is told of
	// BecameReady while the VM is locked.
	Observe func(Observation)
	// Member finds another VM by its ID; nil for one that is gone. With it a head stands
	// still while a member is lost, and breaks after StallBound. Nil for heads that never do.
	Member     func(id string) *VM
	StallBound time.Duration
}

// Kind is what an Observation tells.
type Kind uint8

// The kinds. Arrived and Ended frame every request, Ran comes between if it began to run.
const (
	Arrived Kind = iota
	Ran
	Ended
	Joined
	BecameReady
	Opened
)

// Observation is one thing that happened at a VM.
type Observation struct {
	Kind Kind
	At   time.Time
	VM   string
	// Request is the request's ID, Target what it asked for, From the sender's IP number.
	Request, Target, From string
	// Group, Epoch and Members are the VM's place, after the order for Joined and Opened.
	Group   string
	Epoch   uint64
	Members []string
	// Old is the place that a join replaced, and OldMembers its VMs.
	Old        Group
	OldMembers []string
}

// VM is one upstream VM.
type VM struct {
	config Config
	store  *objectstore.Store
	// Ran counts the requests that began to run; Asked all that came.
	Ran   atomic.Int64
	Asked atomic.Int64
	// Refuse has every request refused as not run.
	Refuse atomic.Bool
	// CutAfter ends each stream in the middle of the event after that many; 0 for none.
	CutAfter atomic.Int64
	// Stall stops each stream for good after that many events; 0 for none.
	Stall atomic.Int64
	// StallFor is how long such a stream stands still before it goes on, nanoseconds; 0 for good.
	StallFor atomic.Int64
	// ForeignID has answers carry another request's ID.
	ForeignID atomic.Bool
	// Condition is what the VM says of itself in the headers of all answers to requests; nil for nothing.
	Condition atomic.Pointer[http.Header]

	mu sync.Mutex
	// born is when this life began, in Unix milliseconds; written counts its entries.
	born     int64
	written  uint64
	accepted uint64
	group    *Group
	members  []string
	model    string
	staged   []string
	draining bool
	// left is true once the VM's entry is gone for good.
	left bool
	// lostAt is since when the head of an open group misses a member; zero when it does not.
	lostAt  time.Time
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

// StartAgain ends the VM's life and begins another one under the same ID, which knows
// nothing of before; copies on the host stay. Unless told, the new life writes no entry.
func (v *VM) StartAgain(tell bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.born = max(time.Now().UnixMilli(), v.born+1)
	v.written, v.accepted, v.group, v.members, v.model, v.draining = 0, 0, nil, nil, "", false
	if tell {
		v.publish()
	}
}

// Drain has the VM report that it leaves.
func (v *VM) Drain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining = true
	v.publish()
}

// In reports whether the VM has been ready in the group and is still in it.
func (v *VM) In(group string, epoch uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.group != nil && v.group.Name == group && v.group.Epoch == epoch && v.group.State != "joining"
}

// Watch judges once whether the VM, as a head, still has its members. The owner calls it
// several times a second.
func (v *VM) Watch(now time.Time) {
	v.mu.Lock()
	g, members := v.group, v.members
	v.mu.Unlock()
	if v.config.Member == nil || g == nil || g.State != "open" {
		return
	}
	whole := true
	for _, id := range members {
		member := v.config.Member(id)
		whole = whole && member != nil && member.In(g.Name, g.Epoch)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case v.group != g:
	case whole:
		v.lostAt = time.Time{}
	case v.lostAt.IsZero():
		v.lostAt = now
	case now.Sub(v.lostAt) > v.config.StallBound:
		broken := *g
		broken.State = "broken"
		v.group, v.lostAt = &broken, time.Time{}
		v.publish()
	}
}

// standing reports whether the head stands still, and whether it has broken.
func (v *VM) standing() (still, broken bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.lostAt.IsZero(), v.group == nil || v.group.State == "broken"
}

// observe tells what happened.
func (v *VM) observe(o Observation) {
	if v.config.Observe == nil {
		return
	}
	o.At, o.VM = time.Now(), v.config.ID
	v.config.Observe(o)
}

// place is the VM's place as an observation.
func (v *VM) place(k Kind) Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	o := Observation{Kind: k, Members: v.members}
	if v.group != nil {
		o.Group, o.Epoch = v.group.Name, v.group.Epoch
	}
	return o
}

// Leave takes the VM's entry away for good, without a word before; the VM serves on.
func (v *VM) Leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.left = true
	v.store.Delete("servers", v.config.ID)
}

// State is the VM's state in its group; empty for none.
func (v *VM) State() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.group == nil {
		return ""
	}
	return v.group.State
}

// Rank is the VM's rank in its group, -1 for none.
func (v *VM) Rank() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.group == nil {
		return -1
	}
	return v.group.Rank
}

// Requests returns the headers and targets of the requests that came.
func (v *VM) Requests() ([]http.Header, []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]http.Header(nil), v.headers...), append([]string(nil), v.targets...)
}

func (v *VM) publish() {
	if v.left {
		return
	}
	e := entry{Service: v.config.Service, Addr: v.config.Address, Zone: v.config.Zone, Slots: 8, State: "ready",
		Domain: v.config.Domain, Staged: v.staged, Models: []model{}, Group: v.group, Version: "v1", Seq: v.written, Born: v.born}
	v.written++
	if v.draining {
		e.State = "draining"
	}
	if v.model != "" {
		e.Models = append(e.Models, model{v.model})
	}
	v.store.Put("servers", v.config.ID, e)
}

// ServeHTTP implements http.Handler.
func (v *VM) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != v.config.ID {
		w.Header().Set("Instance-Id", v.config.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		v.report(w)
	case "/-/order":
		v.order(w, r)
	default:
		v.request(w, r)
	}
}

// tellCondition adds what the VM says of itself.
func (v *VM) tellCondition(h http.Header) {
	if condition := v.Condition.Load(); condition != nil {
		maps.Copy(h, *condition)
	}
}

func (v *VM) report(w http.ResponseWriter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	models := []model{}
	if v.model != "" {
		models = append(models, model{v.model})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"seq": v.accepted, "born": v.born, "queued": 0, "active": 0, "pace": 1,
		"staged": v.staged, "models": models, "group": v.group})
}

type order struct {
	Op       string   `json:"op"`
	Expected *uint64  `json:"expected"`
	Group    string   `json:"group"`
	Epoch    uint64   `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
}

func (v *VM) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, seen := v.take(o)
	if status == http.StatusAccepted && (o.Op == "join" || o.Op == "open") {
		v.observe(seen)
	}
	w.WriteHeader(status)
}

// take carries an order out if it fits, and returns what is to be told of it.
func (v *VM) take(o order) (int, Observation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o.Expected != nil && *o.Expected != v.accepted {
		return http.StatusConflict, Observation{}
	}
	seen := Observation{Kind: Opened, OldMembers: v.members}
	if o.Op == "join" {
		seen.Kind = Joined
	}
	if v.group != nil {
		seen.Old = *v.group
	}
	status := v.obey(o)
	if status != http.StatusConflict {
		v.accepted++
		v.publish()
	}
	seen.Group, seen.Epoch, seen.Members = o.Group, o.Epoch, v.members
	return status, seen
}

func (v *VM) obey(o order) int {
	mine := v.group != nil && v.group.Name == o.Group && v.group.Epoch == o.Epoch
	switch o.Op {
	case "join":
		v.join(o)
		return http.StatusAccepted
	case "stage":
		v.after(v.config.Load, func() { v.staged = []string{o.Model} })
		return http.StatusAccepted
	case "open":
		if !mine || v.group.State != "ready" {
			return http.StatusConflict
		}
		v.group.State = "open"
		return http.StatusAccepted
	case "close":
		if !mine || v.group.State != "open" {
			return http.StatusConflict
		}
		v.group.State = "ready"
		return http.StatusAccepted
	case "leave":
		if !mine {
			return http.StatusConflict
		}
		v.group, v.members = nil, nil
		return http.StatusOK
	}
	return http.StatusConflict
}

func (v *VM) join(o order) {
	rank := 0
	for i, id := range o.Members {
		if id == v.config.ID {
			rank = i
		}
	}
	g := &Group{Name: o.Group, Epoch: o.Epoch, Rank: rank, State: "joining"}
	v.group, v.members, v.model = g, o.Members, o.Model
	v.after(v.config.Load, func() {
		if v.group == g {
			ready := *g
			ready.State = "ready"
			v.group = &ready
			v.staged = []string{o.Model}
			v.observe(Observation{Kind: BecameReady, Group: o.Group, Epoch: o.Epoch, Members: o.Members})
		}
	})
}

// after runs a change of the VM's state later and publishes it.
func (v *VM) after(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		change()
		v.publish()
	})
}

func (v *VM) request(w http.ResponseWriter, r *http.Request) {
	v.Asked.Add(1)
	id := r.Header.Get("Attempt-Id")
	from, _, _ := strings.Cut(r.RemoteAddr, ":")
	tell := func(k Kind) {
		o := v.place(k)
		o.Request, o.Target, o.From = id, r.RequestURI, from
		v.observe(o)
	}
	tell(Arrived)
	defer tell(Ended)
	v.mu.Lock()
	v.headers = append(v.headers, r.Header.Clone())
	v.targets = append(v.targets, r.RequestURI)
	open := v.config.Events == 0 || (v.group != nil && v.group.State == "open" && v.group.Rank == 0)
	v.mu.Unlock()
	echo := id
	if v.ForeignID.Load() {
		echo = "someone-elses"
	}
	w.Header().Set("Attempt-Id", echo)
	v.tellCondition(w.Header())
	if v.Refuse.Load() || !open {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v.Ran.Add(1)
	tell(Ran)
	w.Header().Set("Response-Seal", "seal-of-"+v.config.ID)
	if v.config.Events == 0 {
		time.Sleep(v.config.Work)
		_, _ = fmt.Fprintf(w, "answer of %s to %s", v.config.Service, r.RequestURI)
		return
	}
	v.stream(w, r)
}
