package control

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/asynkron/protoactor-go/actor"
	"pgregory.net/rapid"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/presence"
	"github.com/marbleroad/marbleroad/internal/table"
)

// memoryStore is a platform that holds objects in memory.
type memoryStore struct {
	platform.Platform
	mu      sync.Mutex
	objects map[string]platform.Object
	writes  []string
}

// store adds an item.
func (m *memoryStore) store(it item.Item) {
	m.objects[it.Key] = platform.Object{Key: it.Key, Version: it.Version, Value: it.Value}
}

// Get implements platform.ObjectStore.
func (m *memoryStore) Get(_ context.Context, key string) (platform.Object, error) {
	if o, ok := m.objects[key]; ok {
		return o, nil
	}
	return platform.Object{}, platform.ErrNotFound
}

// List implements platform.ObjectStore.
func (m *memoryStore) List(_ context.Context, prefix string) ([]platform.Object, uint64, error) {
	var out []platform.Object
	for key, o := range m.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, o)
		}
	}
	return out, 1, nil
}

// Put implements platform.ObjectStore.
func (m *memoryStore) Put(_ context.Context, key string, value []byte, base uint64) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes = append(m.writes, key)
	return platform.Object{Key: key, Version: base + 1, Value: value}, nil
}

// idleEngine accepts all orders.
type idleEngine struct{ engine.Engine }

// Assign implements engine.Engine.
func (idleEngine) Assign(context.Context, string, engine.Order) error { return nil }

// controlStart is the start of a control process in a failure domain of three, whose VMs form one group and
// have work.
type controlStart struct {
	t     *rapid.T
	store *memoryStore
	k     *Control
	s     *state
	// plan and members are inputs that arrive by themselves.
	plan    item.Item
	members platform.MemberList
	now     time.Time
	// attempts are the outcomes of reading and writing plans.
	attempts chan planAttempted
	arrived  map[string]bool
	// assignedFor is for how many ticks each VM has been assigned to probers.
	assignedFor map[string]int
}

// firstProbeTicks is how many ticks pass before the first probe of a VM, as probes are spread over their interval.
const firstProbeTicks = 2

// startNodes are the control processes of the failure domain, startVMs its upstream VMs.
var (
	startNodes = []string{"c1", "c2", "c3"}
	startVMs   = []string{"vm-1", "vm-2"}
)

func newControlStart(t *rapid.T, system *actor.ActorSystem) *controlStart {
	o := &controlStart{t: t, store: &memoryStore{objects: make(map[string]platform.Object)}, now: time.Now(), arrived: make(map[string]bool), assignedFor: make(map[string]int),
		attempts: make(chan planAttempted, 1)}
	o.k, o.s = newTestControl(t, o.store)
	o.k.system, o.k.parts.Engine = system, idleEngine{}
	o.k.state = o.k.system.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) {
		if m, ok := c.Message().(planAttempted); ok {
			o.attempts <- m
		}
	}))
	fabric := "f"
	for !isPreferredOwner("plan/"+fabric, startNodes, 1, "c1") {
		fabric += "f"
	}
	row := &table.Row{Sheet: table.Groups, Name: "r", Version: 1, Group: &table.Group{Service: "llm", FailureDomain: "a", Fabric: fabric, Pool: "p",
		VMs: 2, Replicas: 1, DowntimeWeight: 1, StrandedWeight: 1}}
	o.store.store(o.item(row.Item()))
	for _, id := range startNodes {
		o.store.store(o.item(node.Record{ID: id, FailureDomain: "a", Control: id, Version: 1}.Item()))
	}
	plan := groups.NewPlan("a", fabric)
	plan.Version = 1
	plan.Groups = []groups.Group{{ID: "g", Row: "r", Service: "llm", Generation: 1, Size: 2, Phase: rapid.SampledFrom([]groups.Phase{groups.Active, groups.Retiring}).Draw(t, "phase")}}
	for rank, vm := range startVMs {
		plan.Assign[vm] = groups.Assignment{Group: "g", Rank: rank}
	}
	value, err := json.Marshal(plan)
	o.plan = o.item(item.Item{Key: plan.Key(), Version: 1, Value: value}, err)
	o.store.store(o.plan)
	o.members = members(1, fabric, startVMs...)
	return o
}

func (o *controlStart) item(it item.Item, err error) item.Item {
	if err != nil {
		o.t.Fatal(err)
	}
	return it
}

// arrive delivers one input.
func (o *controlStart) arrive(input string) {
	o.arrived[input] = true
	var err error
	switch input {
	case "table":
		err = o.k.followOnce(context.Background(), &watchedPrefix{prefix: item.TablePrefix})
	case "nodes":
		err = o.k.followOnce(context.Background(), &watchedPrefix{prefix: item.NodePrefix})
	case "members":
		o.k.adoptMembers(o.members)
	case "plan":
		o.k.adopt(o.plan)
	case "peers":
	}
	if err != nil {
		o.t.Fatal(err)
	}
}

// tick lets time pass, records the probes that this process and its peers send, and evaluates the state once.
func (o *controlStart) tick() {
	o.now = o.now.Add(tickInterval)
	for rank, vm := range startVMs {
		probed := func(m platform.Member) bool { return m.VM == vm }
		byPeers := o.arrived["peers"] && o.s.probeInputs.members > 0
		if byPeers || slices.ContainsFunc(o.s.probes, probed) || slices.ContainsFunc(o.s.backups, probed) {
			o.assignedFor[vm]++
		}
		if o.assignedFor[vm] > firstProbeTicks {
			o.k.registry.Record(presence.ProbeResult{VM: vm, Group: "g", Generation: 1, Rank: rank, Size: 2, Fence: 1, Ready: true, InFlight: 1, SentAt: o.now})
		}
	}
	if o.arrived["peers"] {
		for _, id := range startNodes[1:] {
			o.s.exchangeCompleted(exchangeCompleted{id: id, failureDomain: "a", requestedAt: o.now})
		}
	}
	o.s.tick(o.now)
	for _, f := range o.s.planner {
		if f.busy {
			o.s.planAttempted(<-o.attempts)
		}
	}
	o.check()
}

// check requires that no plan changes, since all VMs are there and no group may end its work, and that entries are told that the table was read only with the number of all entries.
func (o *controlStart) check() {
	if len(o.store.writes) > 0 {
		o.t.Fatalf("a plan was changed when only %v had arrived", o.arrived)
	}
	if view := o.view(); view.GetTableLoaded() && view.GetAllEntries() != uint32(len(startNodes)) {
		o.t.Fatalf("an entry shares its limits with %d entries of %d: only %v had arrived", view.GetAllEntries(), len(startNodes), o.arrived)
	}
}

// view returns what an entry reads.
func (o *controlStart) view() *marbleroadv1.GetViewResponse {
	response, err := viewHandler{o.k}.GetView(context.Background(), connect.NewRequest(&marbleroadv1.GetViewRequest{EntryId: "c1"}))
	if err != nil {
		o.t.Fatal(err)
	}
	return response.Msg
}

// TestUnreadablePlanIsNotReplaced guards against a new plan, of spare VMs, over a stored one that could not be decoded: the VMs of
// its groups would be released.
func TestUnreadablePlanIsNotReplaced(t *testing.T) {
	system := actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	defer system.Shutdown()
	rapid.Check(t, func(t *rapid.T) {
		o := newControlStart(t, system)
		defer func() { _ = system.Root.StopFuture(o.k.state).Wait() }()
		o.store.store(item.Item{Key: o.plan.Key, Version: 2, Value: []byte(`{"version":2,"groups":"unknown"}`)})
		spares := []string{"vm-3", "vm-4"}
		o.members = members(1, o.members.Members[0].Fabric, append(spares, startVMs...)...)
		for _, input := range []string{"table", "nodes", "members", "peers"} {
			o.arrive(input)
		}
		for range 10 {
			for _, vm := range spares {
				o.k.registry.Record(presence.ProbeResult{VM: vm, Ready: true, SentAt: o.now.Add(tickInterval)})
			}
			o.tick()
		}
	})
}

// TestUnheardEntriesCountAtAStart guards against an entry that took the slots of all upstreams for itself after its control process
// had restarted, until the peers had reported the other entries.
func TestUnheardEntriesCountAtAStart(t *testing.T) {
	store := &memoryStore{objects: make(map[string]platform.Object)}
	k, s := newTestControl(t, store)
	for _, id := range startNodes {
		it, err := node.Record{ID: id, FailureDomain: "a", Control: id, Version: 1}.Item()
		if err != nil {
			t.Fatal(err)
		}
		k.adopt(it)
	}
	live := func(after time.Duration) int {
		now := s.startedAt.Add(after)
		s.entries["c1"] = entryState{failureDomain: "a", reportedAt: now, direct: true}
		s.tick(now)
		return k.tickResult.Load().liveEntries
	}
	if n := live(time.Second); n != len(startNodes) {
		t.Errorf("%d entries share the upstreams before any peer has answered, of %d", n, len(startNodes))
	}
	s.exchangeCompleted(exchangeCompleted{id: "c2", failureDomain: "a", requestedAt: s.startedAt.Add(time.Second),
		entries: []*marbleroadv1.EntryDemand{{EntryId: "c2", FailureDomain: "a"}}})
	if n := live(time.Second); n != len(startNodes) {
		t.Errorf("%d entries share the upstreams once one of two peers has answered, of %d", n, len(startNodes))
	}
	if n := live(2 * minDemandLease); n != 1 {
		t.Errorf("%d entries share the upstreams once the others' leases have expired", n)
	}
}

// TestInputsOfAControlStartInAnyOrder starts a control process whose inputs arrive in any order, some of them many seconds late.
// It guards against a plan that is changed, and limits that are divided, by what was not read yet.
func TestInputsOfAControlStartInAnyOrder(t *testing.T) {
	system := actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	defer system.Shutdown()
	rapid.Check(t, func(t *rapid.T) {
		o := newControlStart(t, system)
		defer func() { _ = system.Root.StopFuture(o.k.state).Wait() }()
		for _, input := range rapid.Permutation([]string{"table", "nodes", "members", "plan", "peers"}).Draw(t, "order") {
			for range rapid.SampledFrom([]int{0, 0, 1, 2, 20}).Draw(t, "ticks") {
				o.tick()
			}
			o.arrive(input)
			o.check()
		}
		for range firstProbeTicks + 2 {
			o.tick()
		}
		if view := o.view(); !view.GetTableLoaded() || len(o.s.probes)+len(o.s.backups) == 0 {
			t.Fatalf("after all inputs: table loaded %v, %d probes", view.GetTableLoaded(), len(o.s.probes)+len(o.s.backups))
		}
	})
}
