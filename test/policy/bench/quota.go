package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/quota"
)

// LimitEvent is a moment at which the demand moves or an entry comes or goes.
type LimitEvent struct {
	At time.Duration
	// Demand is the requests per second offered at each entry from then on.
	Demand []float64
	// Cut lists entries whose reports don't reach the others from then on.
	Cut []int
	// Dead lists entries that are gone from then on.
	Dead []int
}

// LimitScenario is one team's limit over some entries of one failure domain.
type LimitScenario struct {
	Limit   float64
	Entries int
	Length  time.Duration
	Events  []LimitEvent
	// Lag is how old reports are, Step how often shares are computed.
	Lag  time.Duration
	Step time.Duration
	// Hold is how long a share's rise waits.
	Hold time.Duration
	// Lease is how long a silent entry's share stays reserved.
	Lease time.Duration
}

// LimitResult says how well the limit was kept and could be used.
type LimitResult struct {
	// WorstWindow is the most requests let through in any 10 s, as a multiple
	// of what the limit allows.
	WorstWindow float64
	// Used is the part of the limit used while the demand was above it,
	// without the settling time after each event.
	Used float64
}

const (
	limitWindow = 10 * time.Second
	// settling is how long shares may take to follow a change of demand.
	settling = 5 * time.Second
)

// limitEntry is one entry: its limiter, its smoothed demand and its view of
// the others' reports.
type limitEntry struct {
	limiter *admission.Limiter
	share   float64
	offered int
	demand  float64
	dead    bool
	cut     bool
	history []float64
	damper  quota.Damper
}

// Limits runs a scenario with water-filled shares, or with fixed equal shares
// as the rival.
func Limits(s LimitScenario, waterFilled bool, seed uint64) LimitResult {
	random := rand.New(rand.NewPCG(seed, seed))
	entries := make([]*limitEntry, s.Entries)
	for i := range entries {
		entries[i] = &limitEntry{
			limiter: admission.NewLimiter(),
			share:   s.Limit / float64(s.Entries),
			damper:  quota.Damper{Delay: s.Hold},
		}
	}
	demand := make([]float64, s.Entries)
	steps := int(s.Length / s.Step)
	lag := int(s.Lag / s.Step)
	passed := make([]int, steps)
	silent := make([]int, s.Entries)
	var used, usable float64
	lastEvent := time.Duration(0)
	for step := range steps {
		now := time.Duration(step) * s.Step
		for _, e := range s.Events {
			if e.At != now {
				continue
			}
			lastEvent = now
			if e.Demand != nil {
				demand = e.Demand
			}
			for i, x := range entries {
				x.cut = contains(e.Cut, i)
				x.dead = x.dead || contains(e.Dead, i)
			}
		}
		for i, x := range entries {
			passed[step] += x.serve(s, epoch.Add(now), arrivals(random, demand[i], s.Step))
			x.report(s.Step)
			silent[i]++
			if !x.dead && !x.cut {
				silent[i] = 0
			}
		}
		if waterFilled {
			divide(s, entries, silent, step, lag)
		}
		if now-lastEvent > settling && sum(demand, entries) > s.Limit {
			used += float64(passed[step])
			usable += s.Limit * s.Step.Seconds()
		}
	}
	return LimitResult{WorstWindow: worstWindow(s, passed), Used: used / max(usable, 1)}
}

func contains(all []int, one int) bool {
	for _, x := range all {
		if x == one {
			return true
		}
	}
	return false
}

func sum(demand []float64, entries []*limitEntry) float64 {
	total := 0.0
	for i, x := range entries {
		if !x.dead {
			total += demand[i]
		}
	}
	return total
}

// arrivals draws how many requests come in a step.
func arrivals(random *rand.Rand, rate float64, step time.Duration) int {
	n := 0
	for t := random.ExpFloat64(); t < rate*step.Seconds(); t += random.ExpFloat64() {
		n++
	}
	return n
}

func (x *limitEntry) serve(s LimitScenario, now time.Time, n int) int {
	if x.dead {
		return 0
	}
	x.offered = n
	passed := 0
	for i := range n {
		at := now.Add(s.Step * time.Duration(i) / time.Duration(n))
		if x.limiter.Take(at, "team", admission.Limit{Rate: x.share}) == nil {
			x.limiter.Done("team")
			passed++
		}
	}
	return passed
}

func (x *limitEntry) report(step time.Duration) {
	const smoothing = 0.2
	x.demand += smoothing * (float64(x.offered)/step.Seconds() - x.demand)
	x.offered = 0
	x.history = append(x.history, x.demand)
}

// divide lets each entry compute its own share from reports of the past.
func divide(s LimitScenario, entries []*limitEntry, silent []int, step, lag int) {
	lease := int(s.Lease / s.Step)
	for i, x := range entries {
		if x.dead {
			continue
		}
		share := s.share(entries, silent, i, step, lag, lease)
		x.share = x.damper.Apply(epoch.Add(time.Duration(step)*s.Step), "team", share)
	}
}

// share is what entry i computes for itself. A cut off entry keeps its fixed
// share for the lease and then next to nothing; the others drop silent entries
// after the lease.
func (s LimitScenario) share(entries []*limitEntry, silent []int, i, step, lag, lease int) float64 {
	if entries[i].cut && silent[i] > lease {
		return quota.Floor(s.Limit, s.Entries)
	}
	var demands []quota.Demand
	for j, other := range entries {
		if i != j && silent[j] > lease {
			continue
		}
		rate := quota.UnknownRate
		at := step - lag
		if i == j {
			at = step
		}
		if at >= 0 && (i == j || (silent[j] == 0 && !entries[i].cut)) {
			rate = other.history[at]
		}
		demands = append(demands, quota.Demand{Entry: entryName(j), Rate: rate})
	}
	return quota.Shares(s.Limit, demands)[entryName(i)]
}

func entryName(i int) string { return fmt.Sprintf("entry-%02d", i) }

func worstWindow(s LimitScenario, passed []int) float64 {
	n := int(limitWindow / s.Step)
	worst, inside := 0, 0
	for i, p := range passed {
		inside += p
		if i >= n {
			inside -= passed[i-n]
		}
		if i >= n-1 {
			worst = max(worst, inside)
		}
	}
	return float64(worst) / (s.Limit * limitWindow.Seconds())
}

// Ages of reports: today, and with 28 nodes in a failure domain.
const (
	LagToday   = 500 * time.Millisecond
	LagPlanned = 2500 * time.Millisecond
)

// LimitScenarios are the cases of docs/POLICY.md, with reports of that age.
func LimitScenarios(lag time.Duration) map[string]LimitScenario {
	base := LimitScenario{Limit: 200, Entries: 8, Length: 60 * time.Second, Lag: lag, Step: 250 * time.Millisecond, Hold: 2 * time.Second, Lease: 5 * time.Second}
	even := []float64{50, 50, 50, 50, 50, 50, 50, 50}
	one := []float64{400, 0, 0, 0, 0, 0, 0, 0}
	other := []float64{0, 0, 0, 0, 0, 0, 0, 400}
	steady, oneEntry, moves, dies, cut := base, base, base, base, base
	steady.Events = []LimitEvent{{At: 0, Demand: even}}
	oneEntry.Events = []LimitEvent{{At: 0, Demand: one}}
	moves.Events = []LimitEvent{{At: 0, Demand: one}, {At: 20 * time.Second, Demand: other}, {At: 40 * time.Second, Demand: even}}
	dies.Events = []LimitEvent{{At: 0, Demand: even}, {At: 20 * time.Second, Dead: []int{0, 1}}}
	cut.Events = []LimitEvent{{At: 0, Demand: even}, {At: 20 * time.Second, Cut: []int{0}}, {At: 40 * time.Second}}
	return map[string]LimitScenario{
		"even demand":          steady,
		"one entry":            oneEntry,
		"demand moves":         moves,
		"two entries die":      dies,
		"one entry is cut off": cut,
	}
}
