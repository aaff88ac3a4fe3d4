package control

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/groups"
	"github.com/marbleroad/marbleroad/internal/metrics"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/settings"
	"github.com/marbleroad/marbleroad/internal/transport"
	_ "github.com/marbleroad/marbleroad/test/seed"
)

// newTestControl returns a control daemon whose loops do not run, and its state.
func newTestControl(t interface{ Fatal(...any) }, store platform.Platform) (*Control, *state) {
	log, err := event.New(io.Discard, "info", "c1", "test")
	if err != nil {
		t.Fatal(err)
	}
	peers, err := transport.NewPeers(settings.TLS{}, "")
	if err != nil {
		t.Fatal(err)
	}
	k := New(Config{
		NodeID: "c1", FailureDomain: "a", Advertise: "c1", ExchangeInterval: time.Second, MaxLoading: 4, PresenceWindow: time.Second,
		Estimates: groups.DefaultEstimates,
	}, Parts{Log: log, Metrics: metrics.NewRegistry(), Peers: peers, Platform: store})
	return k, newState(k)
}

// members returns a membership list of the VMs, all in the fabric domain.
func members(version uint64, fabric string, vms ...string) platform.MemberList {
	list := platform.MemberList{Version: version}
	for _, vm := range vms {
		list.Members = append(list.Members, platform.Member{VM: vm, Address: vm, FailureDomain: "a", Fabric: fabric, Pool: "p", State: platform.Live})
	}
	return list
}

// TestMembersReadDuringATickAreProbed guards against a membership list that arrived after the tick's snapshot was built and counted
// as assigned: no VM was probed until the list changed again.
func TestMembersReadDuringATickAreProbed(t *testing.T) {
	k, s := newTestControl(t, nil)
	now := time.Now()
	before, _ := s.builder.Build(k.registry, now, time.Second)
	k.adoptMembers(members(1, "f", "vm-1", "vm-2"))
	s.assignProbes(before, []string{"c1"})
	after, _ := s.builder.Build(k.registry, now, time.Second)
	s.assignProbes(after, []string{"c1"})
	if len(s.probes) != 2 {
		t.Errorf("%d of 2 VMs are probed", len(s.probes))
	}
}

// TestReadInputsAreUsedAtOnce guards against entries that wait for the next periodic tick after the last of a start's inputs was read.
func TestReadInputsAreUsedAtOnce(t *testing.T) {
	k, _ := newTestControl(t, nil)
	k.system = actor.NewActorSystem(actor.WithLoggerFactory(discardLogger))
	defer k.system.Shutdown()
	ticks := make(chan tick, 3)
	k.state = k.system.Root.Spawn(actor.PropsFromFunc(func(c actor.Context) {
		if m, ok := c.Message().(tick); ok {
			ticks <- m
		}
	}))
	for _, input := range []*atomic.Bool{&k.tableRead, &k.nodesRead, &k.tableRead} {
		k.markRead(input)
	}
	if err := k.system.Root.PoisonFuture(k.state).Wait(); err != nil {
		t.Fatal(err)
	}
	if len(ticks) != 1 {
		t.Errorf("%d ticks after both inputs were read", len(ticks))
	}
}
