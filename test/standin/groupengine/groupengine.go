// Package groupengine is a small stand-in for the users' platform's upstream
// VMs: model engines that form groups by orders and answer with streams, and
// plain services. Each VM is an HTTP handler that writes its own entry.
package groupengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
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
}

// Config says what a VM is.
type Config struct {
	ID, Service, Address, Zone, Domain string
	// Load is how long any join or copy takes.
	Load time.Duration
	// Events and Pause shape the streams; Events 0 is a plain service.
	Events int
	Pause  time.Duration
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
	// ForeignID has answers carry another request's ID.
	ForeignID atomic.Bool

	mu       sync.Mutex
	accepted uint64
	group    *Group
	members  []string
	model    string
	staged   []string
	draining bool
	headers  []http.Header
	targets  []string
}

// New returns a VM and writes its entry.
func New(c Config, store *objectstore.Store) *VM {
	v := &VM{config: c, store: store}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.publish()
	return v
}

// Drain has the VM report that it leaves.
func (v *VM) Drain() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining = true
	v.publish()
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
	e := entry{Service: v.config.Service, Addr: v.config.Address, Zone: v.config.Zone, Slots: 8, State: "ready",
		Domain: v.config.Domain, Staged: v.staged, Models: []model{}, Group: v.group}
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

func (v *VM) report(w http.ResponseWriter) {
	v.mu.Lock()
	defer v.mu.Unlock()
	models := []model{}
	if v.model != "" {
		models = append(models, model{v.model})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"seq": v.accepted, "queued": 0, "active": 0, "pace": 1,
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
	v.mu.Lock()
	defer v.mu.Unlock()
	if o.Expected != nil && *o.Expected != v.accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	status := v.obey(o)
	if status != http.StatusConflict {
		v.accepted++
		v.publish()
	}
	w.WriteHeader(status)
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
	v.mu.Lock()
	v.headers = append(v.headers, r.Header.Clone())
	v.targets = append(v.targets, r.RequestURI)
	open := v.config.Events == 0 || (v.group != nil && v.group.State == "open" && v.group.Rank == 0)
	v.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	if v.ForeignID.Load() {
		id = "someone-elses"
	}
	w.Header().Set("Attempt-Id", id)
	if v.Refuse.Load() || !open {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v.Ran.Add(1)
	w.Header().Set("Response-Seal", "seal-of-"+v.config.ID)
	if v.config.Events == 0 {
		_, _ = fmt.Fprintf(w, "answer of %s to %s", v.config.Service, r.RequestURI)
		return
	}
	v.stream(w, r)
}

func (v *VM) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	sent := int64(0)
	for i := from + 1; i <= v.config.Events; i++ {
		if n := v.CutAfter.Load(); n > 0 && sent >= n {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: half", i)
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if n := v.Stall.Load(); n > 0 && sent >= n {
			<-r.Context().Done()
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 20)); err != nil {
			return
		}
		_ = flush.Flush()
		sent++
		time.Sleep(v.config.Pause)
	}
}
