package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marbleroad/marbleroad/internal/admission"
	"github.com/marbleroad/marbleroad/internal/quota"
)

// LimitEvent changes the demand, or partitions or stops entries.
type LimitEvent struct {
	At time.Duration
	// Demand is the number of requests per second at each entry from then on.
	Demand []float64
	// Partitioned lists entries whose reports don't reach the others until the
	// next event.
	Partitioned []int
	// Dead lists entries that are stopped from then on.
	Dead []int
}

// LimitScenario is one team's limit over some entries of one failure domain.
type LimitScenario struct {
	Limit   float64
	Entries int
	Length  time.Duration
	Events  []LimitEvent
	// Lag is the age of reports, Step the interval at which shares are computed.
	Lag  time.Duration
	Step time.Duration
	// RiseDelay is the delay before a share may rise.
	RiseDelay time.Duration
	// Lease is how long the share of an entry without reports stays reserved.
	Lease time.Duration
}

// LimitResult holds how far the limit was exceeded and how much of it was used.
type LimitResult struct {
	// WorstWindow is the maximum number of requests admitted in any 10 s, as a
	// multiple of what the limit allows.
	WorstWindow float64
	// Used is the fraction of the limit that was used while the demand exceeded
	// it, not counting settlingTime after each event.
	Used float64
}

const (
	limitWindow = 10 * time.Second
	// settlingTime is how long shares may take to follow a change of demand.
	settlingTime = 5 * time.Second
)

// limitEntry simulates one entry: its limiter, its smoothed demand and the
// history of its reports.
type limitEntry struct {
	limiter     *admission.Limiter
	share       float64
	arrived     int
	demand      float64
	dead        bool
	partitioned bool
	history     []float64
	damper      quota.Damper
}

// Limits simulates a scenario with water-filled shares, or with fixed equal
// shares as the baseline.
func Limits(s LimitScenario, waterFilled bool, seed uint64) LimitResult {
	random := rand.New(rand.NewPCG(seed, seed))
	entries := make([]*limitEntry, s.Entries)
	for i := range entries {
		entries[i] = &limitEntry{
			limiter: admission.NewLimiter(),
			share:   s.Limit / float64(s.Entries),
			damper:  quota.Damper{Delay: s.RiseDelay},
		}
	}
	demand := make([]float64, s.Entries)
	steps := int(s.Length / s.Step)
	lag := int(s.Lag / s.Step)
	passed := make([]int, steps)
	sinceReport := make([]int, s.Entries)
	var used, available float64
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
				x.partitioned = containsIndex(e.Partitioned, i)
				x.dead = x.dead || containsIndex(e.Dead, i)
			}
		}
		for i, x := range entries {
			passed[step] += x.serve(s, epoch.Add(now), arrivals(random, demand[i], s.Step))
			x.report(s.Step)
			sinceReport[i]++
			if !x.dead && !x.partitioned {
				sinceReport[i] = 0
			}
		}
		if waterFilled {
			updateShares(s, entries, sinceReport, step, lag)
		}
		if now-lastEvent > settlingTime && totalDemand(demand, entries) > s.Limit {
			used += float64(passed[step])
			available += s.Limit * s.Step.Seconds()
		}
	}
	return LimitResult{WorstWindow: worstWindow(s, passed), Used: used / max(available, 1)}
}

func containsIndex(all []int, one int) bool {
	for _, x := range all {
		if x == one {
			return true
		}
	}
	return false
}

// totalDemand returns the demand at the entries that are not stopped.
func totalDemand(demand []float64, entries []*limitEntry) float64 {
	total := 0.0
	for i, x := range entries {
		if !x.dead {
			total += demand[i]
		}
	}
	return total
}

// arrivals draws the number of requests that arrive in a step.
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
	x.arrived = n
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
	x.demand += smoothing * (float64(x.arrived)/step.Seconds() - x.demand)
	x.arrived = 0
	x.history = append(x.history, x.demand)
}

// updateShares makes each entry compute its own share from reports of age lag.
func updateShares(s LimitScenario, entries []*limitEntry, sinceReport []int, step, lag int) {
	lease := int(s.Lease / s.Step)
	for i, x := range entries {
		if x.dead {
			continue
		}
		share := s.share(entries, sinceReport, i, step, lag, lease)
		x.share = x.damper.Apply(epoch.Add(time.Duration(step)*s.Step), "team", share)
	}
}

// share returns the share that entry i computes for itself. It counts the demand
// of an entry without a current report as unknown for the lease, and omits the
// entry after it. A partitioned entry counts all other demands as unknown for the
// lease, and then takes the minimum share.
func (s LimitScenario) share(entries []*limitEntry, sinceReport []int, i, step, lag, lease int) float64 {
	if entries[i].partitioned && sinceReport[i] > lease {
		return quota.Floor(s.Limit, s.Entries)
	}
	var demands []quota.Demand
	for j, other := range entries {
		if i != j && sinceReport[j] > lease {
			continue
		}
		rate := quota.UnknownRate
		at := step - lag
		if i == j {
			at = step
		}
		if at >= 0 && (i == j || (sinceReport[j] == 0 && !entries[i].partitioned)) {
			rate = other.history[at]
		}
		demands = append(demands, quota.Demand{Entry: indexName(j), Rate: rate})
	}
	return quota.Shares(s.Limit, demands)[indexName(i)]
}

func indexName(i int) string { return fmt.Sprintf("entry-%02d", i) }

// worstWindow returns the maximum number of requests admitted in a limitWindow, as
// a multiple of what the limit allows.
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

// Ages of reports: at the current size, and with 28 nodes in a failure domain.
const (
	LagCurrent = 500 * time.Millisecond
	LagPlanned = 2500 * time.Millisecond
)

// LimitScenarios returns the scenarios of docs/POLICY.md with reports of the
// given age.
func LimitScenarios(lag time.Duration) map[string]LimitScenario {
	base := LimitScenario{Limit: 200, Entries: 8, Length: 60 * time.Second, Lag: lag, Step: 250 * time.Millisecond, RiseDelay: 2 * time.Second, Lease: 5 * time.Second}
	even := []float64{50, 50, 50, 50, 50, 50, 50, 50}
	oneEntryDemand := []float64{400, 0, 0, 0, 0, 0, 0, 0}
	otherEntryDemand := []float64{0, 0, 0, 0, 0, 0, 0, 400}
	steady, oneEntry, moves, dies, partitioned := base, base, base, base, base
	steady.Events = []LimitEvent{{At: 0, Demand: even}}
	oneEntry.Events = []LimitEvent{{At: 0, Demand: oneEntryDemand}}
	moves.Events = []LimitEvent{{At: 0, Demand: oneEntryDemand}, {At: 20 * time.Second, Demand: otherEntryDemand}, {At: 40 * time.Second, Demand: even}}
	dies.Events = []LimitEvent{{At: 0, Demand: even}, {At: 20 * time.Second, Dead: []int{0, 1}}}
	partitioned.Events = []LimitEvent{{At: 0, Demand: even}, {At: 20 * time.Second, Partitioned: []int{0}}, {At: 40 * time.Second}}
	return map[string]LimitScenario{
		"even demand":              steady,
		"one entry":                oneEntry,
		"demand moves":             moves,
		"two entries die":          dies,
		"one entry is partitioned": partitioned,
	}
}
