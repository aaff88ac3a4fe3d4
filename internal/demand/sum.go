package demand

import (
	"math"
	"time"
)

// minFreshFor is the lower bound of FreshFor: two exchanges of 300 ms and a round trip.
const minFreshFor = 800 * time.Millisecond

// FreshFor returns the age up to which the state of another node counts in full, given the time for which states
// are valid: half of that, like the silence after which a failure domain counts as partitioned. The callers of
// a node that was killed reconnect to the others at once, so a longer time would count them twice.
func FreshFor(valid time.Duration) time.Duration { return max(minFreshFor, valid/2) }

// confirmShare is the fraction of FreshFor from which on the recent work of a state makes no surge, since the node
// may have been killed and its callers may count at other nodes. States are 0.3 to 0.5 s old in regular operation.
// Without both bounds, the demand is 20 % too high for two seconds after a third of 77 nodes was killed.
const confirmShare = 0.625

// NodeRates are the rates that one node reported, or a hub for several.
type NodeRates struct {
	Rates
	// Age is the age of the report.
	Age time.Duration
}

// measuredFloor is the lowest recent work that is reported. A recent work above zero shows that the sender
// measures it.
const measuredFloor = 1e-9

// Report returns the rates that a node reports to others. The callers of a node that is stopping move to other
// nodes, so its smoothed work counts only as far as its recent work confirms it.
func (r Rates) Report(stopping bool) Rates {
	if stopping {
		r.Smoothed = min(r.Smoothed, r.Recent)
	}
	r.Recent = max(r.Recent, measuredFloor)
	return r
}

// Lapsed reports whether the rates are from a node that measures recent work and has been silent for too long
// to count beside the nodes that serve its callers now.
func (n NodeRates) Lapsed(freshFor time.Duration) bool { return n.Recent > 0 && n.Age > freshFor }

// Sum adds up the rates of all nodes. The work of a node that has been silent for more than freshFor does not
// count, and from confirmShare of that time on its recent work makes no surge. So the callers of a node that was
// killed or has returned under another ID count once. In a failure domain that is cut off, the work of the
// others stops counting after freshFor, since their callers do not reach its groups.
func Sum(nodes []NodeRates, freshFor time.Duration) Rates {
	var sum Rates
	unconfirmed := 0.0
	for _, n := range nodes {
		if n.Lapsed(freshFor) {
			continue
		}
		sum.Smoothed += n.Smoothed
		if n.Recent == 0 {
			// The node does not measure recent work.
			n.Recent = n.Smoothed
		}
		if float64(n.Age) > confirmShare*float64(freshFor) {
			unconfirmed += n.Recent
		} else {
			sum.Recent += n.Recent
		}
		sum.Unmet += n.Unmet
		sum.Arrivals += n.Arrivals
	}
	sum.Recent += min(unconfirmed, max(sum.Smoothed-sum.Recent, 0))
	return sum
}

const (
	// trackerWindow is the time constant of the smoothed work of all nodes, equal to that of one node: its weight
	// of 0.1 per second.
	trackerWindow = 10 * time.Second
	// trackerStart is the time in which a reader adopts the nodes' own estimates, since it may not have received
	// all of their states yet. A director decides by measured demand only after eight seconds.
	trackerStart = 5 * time.Second
)

// Tracker smooths the work of one model over all nodes, at the node that reads their states. The sum of the nodes'
// own smoothed rates falls by the part of each node that is lost, and rises again only over ten seconds, as
// its callers raise the rates of the others; the sum of the recent rates is complete within a second. The
// zero value is ready to use.
type Tracker struct {
	smoothed             float64
	startedAt, updatedAt time.Time
}

// Update returns the sum with the smoothed work of the tracker. It may be called at any intervals. After more than
// trackerWindow without a call, it starts anew: its smoothed work would be that of a single half second.
func (t *Tracker) Update(now time.Time, sum Rates) Rates {
	if now.Sub(t.updatedAt) > trackerWindow {
		t.startedAt = time.Time{}
	}
	if t.startedAt.IsZero() && sum.Smoothed > 0 {
		t.startedAt = now
	}
	if t.startedAt.IsZero() || now.Sub(t.startedAt) < trackerStart {
		t.smoothed = sum.Smoothed
	} else {
		weight := 1 - math.Exp(-now.Sub(t.updatedAt).Seconds()/trackerWindow.Seconds())
		t.smoothed += weight * (sum.Recent - t.smoothed)
	}
	t.updatedAt = now
	sum.Smoothed = t.smoothed
	return sum
}

const (
	// sizeDispersion is the ratio of the mean square to the squared mean of the work of a request. It is 2 for
	// the exponential distribution, to which the sizes of prompts and answers are similar.
	sizeDispersion = 2
	// noiseDeviations is how many standard deviations the recent work must exceed the smoothed work by to
	// count as a surge. With 25 groups' worth of 400 requests per second, that is 25 %; surges are 50 to 70 %.
	// With 2, one value in 40 of a steady load counted as a surge.
	noiseDeviations = 2.5
)

// noise returns the bound for random deviations of the recent work from the smoothed work. The work that
// arrives in a window has the variance of a compound Poisson process.
func (r Rates) noise() float64 {
	if r.Arrivals <= 0 {
		return 0
	}
	meanWork := r.Smoothed / r.Arrivals
	return noiseDeviations * math.Sqrt(sizeDispersion*r.Smoothed*meanWork/recentWindow.Seconds())
}

// Surge returns the work per second during a surge: the recent work while it exceeds the smoothed work by more
// than its noise, otherwise the smoothed work.
func (r Rates) Surge() float64 {
	if r.Recent > r.Smoothed+r.noise() {
		return r.Recent
	}
	return r.Smoothed
}

// Groups is the demand for one model in groups.
type Groups struct {
	// Smoothed is for decisions that cost several seconds of service, which are dissolutions in favor of
	// this model: a dissolution and a join take 2 to 8 s, so a surge of 3 s is over before they help.
	Smoothed float64
	// Surge is at least Smoothed during a surge. It is for decisions that cost no service: which groups free
	// VMs form and which copies hosts get. It also keeps the groups of this model from being dissolved.
	Surge float64
	// Unmet is the part of the recent work that was refused. It is included in Surge and Smoothed.
	Unmet float64
}

// GroupsOf returns the demand in groups for summed rates, given the utilization up to which a group serves
// within the objective.
func GroupsOf(sum Rates, utilization float64) Groups {
	return Groups{Smoothed: sum.Smoothed / utilization, Surge: max(sum.Surge(), sum.Smoothed) / utilization, Unmet: sum.Unmet / utilization}
}

// Models is the demand for each model of a service. Measured is false if it is not measured by this package;
// Smoothed and Surge are then the same.
type Models struct {
	ByModel  map[string]Groups
	Measured bool
}

// Unmeasured returns the demand for models of which only the smoothed work is known.
func Unmeasured(work map[string]float64) Models {
	out := Models{}
	for model, rate := range work {
		if out.ByModel == nil {
			out.ByModel = make(map[string]Groups, len(work))
		}
		out.ByModel[model] = Groups{Smoothed: rate, Surge: rate}
	}
	return out
}

// Smoothed returns the smoothed demand by model; nil while the demand is unknown.
func (m Models) Smoothed() map[string]float64 {
	return m.values(func(g Groups) float64 { return g.Smoothed })
}

// Surge returns the demand during surges by model. It is nil while the demand is unknown or not measured.
func (m Models) Surge() map[string]float64 {
	if !m.Measured {
		return nil
	}
	return m.values(func(g Groups) float64 { return g.Surge })
}

// Unmet returns the refused part of the demand by model, under the conditions of Surge.
func (m Models) Unmet() map[string]float64 {
	if !m.Measured {
		return nil
	}
	return m.values(func(g Groups) float64 { return g.Unmet })
}

func (m Models) values(of func(Groups) float64) map[string]float64 {
	if len(m.ByModel) == 0 {
		return nil
	}
	out := make(map[string]float64, len(m.ByModel))
	for model, g := range m.ByModel {
		out[model] = of(g)
	}
	return out
}
