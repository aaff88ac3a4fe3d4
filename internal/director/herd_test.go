package director

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// newMultiDomainWorld returns a world of several failure domains with one director each. A fabric
// domain holds one group of the larger model or two of the smaller one.
func newMultiDomainWorld(t testing.TB, domains, perDomain int) *world {
	t.Helper()
	w := newWorld(t, 0, 0)
	c, err := catalog.New(catalog.Content{Version: 1, Services: []catalog.Service{{
		Name: "llm",
		Engine: &catalog.Engine{Slots: 8, LoadsAtOnce: 6, FormTime: 300 * time.Millisecond, Models: []catalog.Model{
			{Name: "big", Size: 8, Share: 0.5, Pace: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
			{Name: "small", Size: 4, Share: 0.5, Pace: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
		}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	w.catalog = c
	for d := range domains {
		domain := fmt.Sprint("d", d)
		for i := range perDomain {
			id := fmt.Sprintf("%s-vm-%d", domain, i)
			w.vms[id] = &engineVM{VM: fleet.VM{ID: id, Address: id, Service: "llm", FailureDomain: domain, Fabric: domain, Slots: 8, Born: 1}}
		}
		w.addNodeIn(t, "n-"+domain, domain)
	}
	w.publishSnapshot()
	return w
}

// servingByModel counts the complete groups whose head is open, by model.
func (w *world) servingByModel() map[string]int {
	out := make(map[string]int)
	for _, e := range w.vms {
		if !e.dead && e.State == fleet.Open && !w.incomplete(e) {
			out[e.Model]++
		}
	}
	return out
}

// TestDirectorsDoNotOscillate: the directors of five failure domains decided by the same counts at
// the same time. All formed groups of the smaller model, all dissolved them for the larger one, and
// all dissolved those in turn, until callers arrived and no group of the larger model was left. It
// was not served for a whole day.
func TestDirectorsDoNotOscillate(t *testing.T) {
	w := newMultiDomainWorld(t, 5, 10)
	dissolved := make(map[string]bool)
	w.run(14*time.Second, func() bool {
		for _, n := range w.nodes {
			for name, gs := range n.s.groups {
				if gs.dissolving {
					dissolved[name] = true
				}
			}
		}
		return false
	})
	got := w.servingByModel()
	if got["big"] < 2 || got["small"] < 4 {
		t.Errorf("groups that serve: %v", got)
	}
	if len(dissolved) > 2 {
		t.Errorf("%d groups were dissolved though no VM was lost: %v", len(dissolved), dissolved)
	}
	w.check(t)
}

// TestInactiveDirectorIsNotAwaited: another director is expected to carry out its decision only for a
// limited time. A director whose VMs do not respond forms no groups, and its models must then be
// served elsewhere.
func TestInactiveDirectorIsNotAwaited(t *testing.T) {
	w := newMultiDomainWorld(t, 2, 8)
	for _, e := range w.vms {
		e.unresponsive = e.FailureDomain == "d0"
	}
	first := w.nodes[0].s
	w.run(8*time.Second, func() bool { return false })
	if len(first.formations) == 0 && w.servingByModel()["small"]+w.servingByModel()["big"] == 0 {
		t.Errorf("no group serves: %v", w.servingByModel())
	}
	if w.servingByModel()["small"] == 0 && w.servingByModel()["big"] == 0 {
		t.Errorf("the other failure domain forms no group: %v", w.servingByModel())
	}
}

// TestMassRestartLimitsLoads: all nodes restarted while callers were active. None of them had seen a
// request since, so they acted as if no callers had arrived yet, when loads are fast and not limited.
// Within a second 24 VMs without a copy were ordered to load weights, where 6 load at full speed: each
// load took many times as long as a single one, and lost groups waited behind them.
func TestMassRestartLimitsLoads(t *testing.T) {
	w := newMultiDomainWorld(t, 3, 24)
	w.run(14*time.Second, func() bool { return false })
	for _, n := range w.nodes {
		n.traffic = true
	}
	served := w.servingByModel()
	for d := range 3 {
		domain := fmt.Sprint("d", d)
		for i := range 8 {
			id := fmt.Sprintf("%s-new-%d", domain, i)
			w.vms[id] = &engineVM{VM: fleet.VM{ID: id, Address: id, Service: "llm", FailureDomain: domain, Fabric: domain + "-new", Slots: 8, Born: 1}}
		}
	}
	for _, n := range w.nodes {
		n.down = true
	}
	for d := range 3 {
		domain := fmt.Sprint("d", d)
		w.addNodeIn(t, "again-"+domain, domain)
	}
	loading, maxLoading := 0, 0
	w.run(5*time.Second, func() bool {
		loading = 0
		for _, e := range w.vms {
			if e.stagingModel != "" || (e.State == fleet.Joining && strings.Contains(e.ID, "-new-")) {
				loading++
			}
		}
		maxLoading = max(maxLoading, loading)
		return false
	})
	if limit := w.catalog.Service("llm").Engine.LoadsAtOnce; maxLoading > limit {
		t.Errorf("%d VMs load weights at a time after a restart of all nodes, %d run at full speed", maxLoading, limit)
	}
	if got := w.servingByModel(); got["big"] < served["big"] || got["small"] < served["small"] {
		t.Errorf("groups that serve: %v, before the restart %v", got, served)
	}
	w.check(t)
}

// TestNodeWithoutPeerRecordsManagesNoGroups: nodes restarted while the store was unreachable. Once it
// was back, they received the list of VMs before the records of the other nodes, took over a failure
// domain that another node managed, and dissolved groups that served: ten within four seconds, and
// the larger model was not served for four more.
func TestNodeWithoutPeerRecordsManagesNoGroups(t *testing.T) {
	w := newWorld(t, 2, 8)
	first := w.addNode(t, "n1")
	w.run(8*time.Second, func() bool { return false })
	served := w.servingGroups()
	second := w.addNode(t, "n2")
	second.isolated, second.peersUnread = true, true
	w.run(3*time.Second, func() bool { return false })
	if got := second.d.Directing(); len(got) > 0 {
		t.Errorf("a node without peer records manages %v", got)
	}
	second.isolated, second.peersUnread = false, false
	second.peersReadAt = w.now
	w.run(3*time.Second, func() bool { return false })
	if len(first.d.Directing()) != 1 || len(second.d.Directing()) != 0 || w.servingGroups() != served {
		t.Errorf("%v and %v are managed, %d groups of %d serve", first.d.Directing(), second.d.Directing(), w.servingGroups(), served)
	}
	w.check(t)
}

// TestTrafficBeforeFirstLoadsLimitsLoads: groups were planned before the first callers, without a limit
// on loads, and callers arrived before all VMs had been sent to their groups. Directors of a thousand
// VMs each continued, and 1,000 loads and more started within seconds, where four may start a second.
func TestTrafficBeforeFirstLoadsLimitsLoads(t *testing.T) {
	w := newMultiDomainWorld(t, 3, 24)
	planned := func() bool {
		forms := 0
		for _, n := range w.nodes {
			forms += len(n.s.formations)
		}
		return forms > 0
	}
	if !w.run(10*time.Second, planned) {
		t.Fatal("no group is planned")
	}
	for _, n := range w.nodes {
		n.traffic = true
	}
	maxLoading := 0
	w.run(4*time.Second, func() bool {
		loading := 0
		for _, e := range w.vms {
			if e.stagingModel != "" || e.State == fleet.Joining {
				loading++
			}
		}
		maxLoading = max(maxLoading, loading)
		return false
	})
	if limit := w.catalog.Service("llm").Engine.LoadsAtOnce; maxLoading > limit || maxLoading == 0 {
		t.Errorf("%d VMs load weights at a time after callers arrived, %d run at full speed", maxLoading, limit)
	}
	w.check(t)
}
