package director

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/demand"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// lossRun is a run of a world that loses VMs, and what was measured.
type lossRun struct {
	w      *world
	random *rand.Rand
	// groupVMSeconds is the time that VMs spent in complete open groups, and usefulVMSeconds the part
	// of it for which there was demand. bigSeconds are seconds of groups of the large model.
	groupVMSeconds, usefulVMSeconds, bigSeconds float64
	// work is the work served, in groups of pace 1 times seconds.
	work float64
	// dissolved holds the groups that were dissolved for another model.
	dissolved map[string]bool
	// shortLived counts the groups that were dissolved for another model within 5 s of their opening.
	shortLived int
	// vary lets the demand vary around mean by 55 % with a period of 17 s.
	vary bool
	// asked is the demand for each model, mean its mean.
	asked    map[string]float64
	mean     map[string]float64
	fallen   []*engineVM
	fallenAt []time.Time
}

// newLossRun returns a world of failure domains of three fabric domains of 18 VMs, with callers and
// a known demand, once groups have been formed by the models' shares.
func newLossRun(t testing.TB, packing bool, domains int, seed uint64, work map[string]float64) *lossRun {
	w := newWorld(t, 0, 0)
	c, err := catalog.New(catalog.Content{Version: 1, Routes: []catalog.Route{{
		Name: "r", Host: "h", Prefix: "/", Timeout: 8 * time.Second, Targets: []catalog.Target{{Service: "llm", Weight: 1}},
	}}, Services: []catalog.Service{{
		Name: "llm",
		Engine: &catalog.Engine{Slots: 20, LoadsAtOnce: 6, FormTime: 300 * time.Millisecond, Models: []catalog.Model{
			{Name: "big", Size: 8, Share: 0.7, Pace: 1, LoadTime: 16 * time.Second, WarmTime: 1600 * time.Millisecond},
			{Name: "small", Size: 2, Share: 0.3, Pace: 0.6, LoadTime: 12 * time.Second, WarmTime: 1100 * time.Millisecond},
		}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	w.catalog, w.entryLife, w.messageDelay = c, 3*time.Second, 400*time.Millisecond
	for d := range domains {
		domain := fmt.Sprint("d", d)
		for i := range 54 {
			id := fmt.Sprintf("%s-vm-%02d", domain, i)
			w.vms[id] = &engineVM{VM: fleet.VM{ID: id, Address: id, Service: "llm", FailureDomain: domain, Fabric: fmt.Sprint(domain, "f", i/18), Slots: 20, Born: 1}}
		}
		w.addNodeIn(t, "n-"+domain, domain).d.config.Packing = packing
	}
	w.publishSnapshot()
	w.run(14*time.Second, func() bool { return false })
	run := &lossRun{w: w, random: rand.New(rand.NewPCG(seed, 18)), dissolved: map[string]bool{}, mean: maps.Clone(work), asked: maps.Clone(work)}
	run.publishWork()
	return run
}

// publishWork sets the demand that the directors see.
func (r *lossRun) publishWork() {
	for _, n := range r.w.nodes {
		n.traffic, n.work = true, demand.Unmeasured(r.asked)
	}
}

// lose advances the world by the given time. One VM of the run is lost every interval and returns 14
// seconds later.
func (r *lossRun) lose(length, interval time.Duration) {
	next := r.w.now.Add(interval)
	end := r.w.now.Add(length)
	for r.w.now.Before(end) {
		if !r.w.now.Before(next) {
			next = next.Add(interval)
			r.loseOne()
		}
		for len(r.fallen) > 0 && r.w.now.Sub(r.fallenAt[0]) >= 14*time.Second {
			r.w.restart(r.fallen[0])
			r.fallen, r.fallenAt = r.fallen[1:], r.fallenAt[1:]
		}
		if r.vary {
			factor := 1 + 0.55*math.Sin(2*math.Pi*r.w.now.Sub(time.Unix(0, 0)).Seconds()/17)
			for model, mean := range r.mean {
				r.asked[model] = mean * factor
			}
			r.publishWork()
		}
		r.w.step(50 * time.Millisecond)
		r.measure(0.05)
	}
}

func (r *lossRun) loseOne() {
	ids := sorted(r.w.vms)
	for range 100 {
		if e := r.w.vms[ids[r.random.IntN(len(ids))]]; !e.dead {
			e.dead = true
			r.fallen, r.fallenAt = append(r.fallen, e), append(r.fallenAt, r.w.now)
			return
		}
	}
}

func (r *lossRun) measure(seconds float64) {
	serving := r.w.servingByModel()
	for _, m := range r.w.catalog.Service("llm").Engine.Models {
		n := float64(serving[m.Name])
		useful := min(n, r.asked[m.Name])
		r.groupVMSeconds += seconds * n * float64(m.Size)
		r.usefulVMSeconds += seconds * useful * float64(m.Size)
		r.work += seconds * useful / m.Pace
		if m.Name == "big" {
			r.bigSeconds += seconds * n
		}
	}
	for _, n := range r.w.nodes {
		for name, gs := range n.s.groups {
			if !gs.dissolving || !gs.graceful || r.dissolved[name] || !n.s.manages(gs.domain) {
				continue
			}
			r.dissolved[name] = true
			if gs.dissolvingSince.Sub(gs.openSince) < 5*time.Second {
				r.shortLived++
			}
		}
	}
}

func (r *lossRun) String() string {
	return fmt.Sprintf("VM-seconds in groups %.0f, useful %.0f, seconds of large groups %.1f, work %.0f, dissolved %d, within 5 s %d, at the end %v",
		r.groupVMSeconds, r.usefulVMSeconds, r.bigSeconds, r.work, len(r.dissolved), r.shortLived, r.w.servingByModel())
}

// TestPackingUnderLosses guards against VMs of lost large groups staying in small groups that have no
// demand, while large groups are short. One VM is lost every 2.5 s for 40 s, among three directors.
func TestPackingUnderLosses(t *testing.T) {
	run := func(packing bool) *lossRun {
		r := newLossRun(t, packing, 3, 1, map[string]float64{"big": 15, "small": 12})
		r.lose(40*time.Second, 2500*time.Millisecond)
		r.w.check(t)
		t.Logf("packing %t: %s", packing, r)
		return r
	}
	without, with := run(false), run(true)
	if with.bigSeconds < 1.1*without.bigSeconds || with.usefulVMSeconds < 1.1*without.usefulVMSeconds || with.work < 1.03*without.work {
		t.Errorf("too little gain")
	}
	if with.shortLived > 0 {
		t.Errorf("%d groups were dissolved for another model within 5 s", with.shortLived)
	}
}

// TestPackingServesNoLessWhileDemandVaries guards against dissolutions that follow the variation of
// the arrival rates, which costs service at each change.
func TestPackingServesNoLessWhileDemandVaries(t *testing.T) {
	run := func(packing bool) float64 {
		r := newLossRun(t, packing, 3, 0, map[string]float64{"big": 12, "small": 36})
		r.vary = true
		r.lose(40*time.Second, 2500*time.Millisecond)
		r.w.check(t)
		t.Logf("packing %t: %s", packing, r)
		return r.work
	}
	if without, with := run(false), run(true); with < without {
		t.Errorf("work served: %.0f, without packing %.0f", with, without)
	}
}

// TestDirectorsDoNotPackTooMuch guards against several directors that each dissolve groups for the
// same missing ones.
func TestDirectorsDoNotPackTooMuch(t *testing.T) {
	r := newLossRun(t, true, 3, 0, map[string]float64{"big": 1, "small": 1})
	r.measure(0)
	before, earlier := r.w.servingByModel(), len(r.dissolved)
	for _, n := range r.w.nodes {
		n.work = demand.Unmeasured(map[string]float64{"big": float64(before["big"]) + 1, "small": float64(before["small"]) - 8})
	}
	r.lose(25*time.Second, time.Hour)
	if got := r.w.servingByModel(); got["big"] != before["big"]+1 || len(r.dissolved)-earlier > 4 {
		t.Errorf("%v serve, %v before; %d groups were dissolved for one", got, before, len(r.dissolved)-earlier)
	}
	r.w.check(t)
}

// TestDirectorStopsBetweenDissolutions guards against groups or VMs that are left unused if a director
// stops after some of the groups that it dissolves for a large one have closed.
func TestDirectorStopsBetweenDissolutions(t *testing.T) {
	r := newLossRun(t, true, 1, 0, map[string]float64{"big": 6, "small": 2})
	first := r.w.nodes[0]
	second := r.w.addNodeIn(t, "n-second", "d0")
	second.d.config.Packing, second.traffic, second.work = true, true, first.work
	before := r.w.servingByModel()
	for i, e := range r.w.openHeads() {
		if e.Model == "small" && i%2 == 0 {
			e.busyUntil = r.w.now.Add(8 * time.Second)
		}
	}
	between := func() bool {
		closed, closing := 0, 0
		for _, gs := range first.s.groups {
			switch {
			case gs.dissolving && gs.graceful && gs.released:
				closed++
			case gs.dissolving && gs.graceful:
				closing++
			}
		}
		return closed > 0 && closing > 0
	}
	if !r.w.run(20*time.Second, between) {
		t.Fatalf("no groups are being dissolved, %v serve", before)
	}
	first.down = true
	r.w.run(25*time.Second, func() bool { return false })
	after := r.w.servingByModel()
	if after["big"] <= before["big"] || after["small"] < 2 {
		t.Errorf("%v serve, before the change %v", after, before)
	}
	for _, e := range r.w.vms {
		if e.Group != "" && r.w.vms[r.w.heads[e.Group]].State != fleet.Open && !second.s.unattached(&e.VM) {
			t.Errorf("%s is %s in %s, which neither serves nor is released", e.ID, e.State, e.Group)
		}
	}
	r.w.check(t)
	for _, interrupted := range r.w.interruptedWork {
		t.Error(interrupted)
	}
}
