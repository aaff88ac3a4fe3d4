package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is one way in which something goes wrong, or is changed on purpose.
type Kind string

// The kinds. Those of nodes and upstreams name their target by its number.
const (
	StoreDown       Kind = "store-down"
	StoreSilent     Kind = "store-silent"
	StoreSlow       Kind = "store-slow"
	StoreForgets    Kind = "store-forgets"
	StoreLoses      Kind = "store-loses-answers"
	NodeCut         Kind = "node-cut-from-store"
	NodeOneWay      Kind = "node-hears-nothing-of-store"
	NodeSilence     Kind = "node-connections-silent"
	LinkCut         Kind = "node-cut-from-nodes"
	LinkOneWay      Kind = "node-answers-no-nodes"
	LinkSilence     Kind = "node-links-silent"
	LinkBreak       Kind = "node-links-reset"
	NodeKill        Kind = "node-kill"
	NodeStop        Kind = "node-stop"
	NodePause       Kind = "node-pause"
	NodeReload      Kind = "node-reload"
	AllKill         Kind = "all-nodes-kill"
	UpstreamDies    Kind = "upstream-dies"
	UpstreamDrains  Kind = "upstream-drains"
	UpstreamLeaves  Kind = "upstream-leaves"
	UpstreamCut     Kind = "upstream-cut"
	UpstreamReset   Kind = "upstream-connections-reset"
	UpstreamSilence Kind = "upstream-connections-silent"
	UpstreamStalls  Kind = "upstream-stalls"
	UpstreamRefuses Kind = "upstream-refuses"
	AllRefuse       Kind = "all-upstreams-refuse"
	UpstreamCuts    Kind = "upstream-cuts-streams"
	UpstreamForeign Kind = "upstream-answers-others"
	UpstreamLimits  Kind = "upstream-names-a-limit"
	UpstreamRests   Kind = "upstream-asks-for-rest"
	UpstreamSays    Kind = "upstream-says-it-leaves"
	PlainDrains     Kind = "plain-upstream-drains"
	PlainCut        Kind = "plain-upstream-cut"
	CallersMany     Kind = "callers-many"
	CallersLeave    Kind = "callers-leave"
	RequestCrashes  Kind = "request-crashes-upstreams"
	// MachineLate is noted, never played.
	MachineLate Kind = "machine-late"
	RouteAdded  Kind = "route-added"
	KeyRevoked  Kind = "key-revoked"
)

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Target is the number of a node or an upstream; what there is fewer of wraps around.
	Target int
	// For is how long it lasts; zero for what happens at once.
	For time.Duration
}

// String is the fault's line in a schedule.
func (f Fault) String() string { return fmt.Sprintf("%s %s %d %s", f.At, f.Kind, f.Target, f.For) }

// shape is how often a kind is drawn and how long it lasts.
type shape struct {
	kind        Kind
	weight      int
	least, most time.Duration
}

var shapes = []shape{
	{StoreDown, 3, 500 * time.Millisecond, 5 * time.Second},
	{StoreSilent, 3, 500 * time.Millisecond, 5 * time.Second},
	{StoreSlow, 1, time.Second, 4 * time.Second},
	{StoreForgets, 1, 0, 0},
	{StoreLoses, 1, 0, 0},
	{NodeCut, 3, 200 * time.Millisecond, 4 * time.Second},
	{NodeOneWay, 2, 500 * time.Millisecond, 4 * time.Second},
	{NodeSilence, 2, 0, 0},
	{LinkCut, 2, 300 * time.Millisecond, 5 * time.Second},
	{LinkOneWay, 2, 300 * time.Millisecond, 5 * time.Second},
	{LinkSilence, 1, 0, 0},
	{LinkBreak, 1, 0, 0},
	{NodeKill, 3, 300 * time.Millisecond, 2 * time.Second},
	{NodeStop, 3, 300 * time.Millisecond, time.Second},
	{NodePause, 2, 300 * time.Millisecond, 4 * time.Second},
	{NodeReload, 1, 0, 0},
	{AllKill, 1, 300 * time.Millisecond, time.Second},
	{UpstreamDies, 4, time.Second, 4 * time.Second},
	{UpstreamDrains, 3, 3 * time.Second, 5 * time.Second},
	{UpstreamLeaves, 4, 4 * time.Second, 6 * time.Second},
	{UpstreamCut, 3, 300 * time.Millisecond, 8 * time.Second},
	{UpstreamReset, 2, 0, 0},
	{UpstreamSilence, 2, 0, 0},
	{UpstreamStalls, 2, time.Second, 3 * time.Second},
	{UpstreamRefuses, 2, time.Second, 4 * time.Second},
	{AllRefuse, 1, time.Second, 4 * time.Second},
	{UpstreamCuts, 2, time.Second, 3 * time.Second},
	{UpstreamForeign, 1, time.Second, 2 * time.Second},
	{PlainDrains, 1, 3 * time.Second, 5 * time.Second},
	{PlainCut, 1, 300 * time.Millisecond, 7 * time.Second},
	{CallersMany, 1, time.Second, 3 * time.Second},
	{CallersLeave, 2, time.Second, 4 * time.Second},
	{RequestCrashes, 2, 2 * time.Second, 8 * time.Second},
	{RouteAdded, 3, 0, 0},
	{KeyRevoked, 1, 0, 0},
	{UpstreamLimits, 3, 5 * time.Second, 9 * time.Second},
	{UpstreamRests, 2, time.Second, 4 * time.Second},
	{UpstreamSays, 2, 4 * time.Second, 7 * time.Second},
}

// draw makes a schedule of a length: single faults, and series of one kind that overlap. Two
// in three VMs that leave do so soon after the store was away, when news is late.
func draw(random *rand.Rand, length time.Duration) []Fault {
	const meanGap = 900 * time.Millisecond
	var out []Fault
	for at := time.Duration(0); at < length; at += between(random, meanGap/3, 2*meanGap-meanGap/3) {
		f := one(random, at)
		out = append(out, f)
		switch {
		case random.IntN(5) == 0:
			again := f
			again.At += f.For/2 + 200*time.Millisecond
			again.Target++
			out = append(out, again)
		case f.Kind == StoreDown || f.Kind == StoreSilent || f.Kind == NodeCut:
			leaves := Fault{At: f.At + f.For + between(random, 0, 4*time.Second), Kind: UpstreamLeaves, Target: random.IntN(64), For: 5 * time.Second}
			if random.IntN(3) > 0 {
				out = append(out, leaves)
			}
		}
	}
	for i := range out {
		out[i].For = min(out[i].For, max(length-out[i].At, 0)+calmBegin/4)
	}
	out = append(out, calmTail(random, length)...)
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

// plannedShapes are stops, reloads and changes, and hold-ups that are shorter than a node is given up
// for.
var plannedShapes = []shape{
	{NodeStop, 6, 300 * time.Millisecond, time.Second},
	{NodeReload, 3, 0, 0},
	{NodePause, 3, 150 * time.Millisecond, 700 * time.Millisecond},
	{RouteAdded, 5, 0, 0},
	{KeyRevoked, 1, 0, 0},
	{CallersMany, 1, time.Second, 3 * time.Second},
}

// drawPlanned makes a schedule of planned work alone, in series that overlap.
func drawPlanned(random *rand.Rand, length time.Duration) []Fault {
	const meanGap = 500 * time.Millisecond
	var out []Fault
	for at := time.Duration(0); at < length; at += between(random, meanGap/3, 2*meanGap-meanGap/3) {
		f := oneOf(random, at, plannedShapes)
		out = append(out, f)
		for again := f; random.IntN(2) == 0; {
			again.At += between(random, 100*time.Millisecond, 600*time.Millisecond)
			again.Target++
			out = append(out, again)
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

// calmBegin is when the nodes count as in touch after the drawn faults.
const calmBegin = 4 * time.Second

// calmTail ends each schedule with what the checks that need an undisturbed node judge: a crowd,
// upstreams that leave or hang while callers leave, a graceful stop by itself, upstreams that name a limit, ask
// for rest or say that they leave, and a request that ends its upstreams.
func calmTail(random *rand.Rand, length time.Duration) []Fault {
	at := func(s float64) time.Duration { return length + calmBegin + time.Duration(s*float64(time.Second)) }
	return []Fault{
		{at(0), CallersMany, 0, 2 * time.Second},
		{at(3), PlainCut, 0, 6500 * time.Millisecond},
		{at(3), UpstreamLeaves, random.IntN(64), 5 * time.Second},
		{at(3.2), PlainDrains, 0, 4500 * time.Millisecond},
		{at(3.2), CallersLeave, 0, 3 * time.Second},
		{at(3.4), RouteAdded, 0, 0},
		{at(8.5), UpstreamLimits, random.IntN(64), 9500 * time.Millisecond},
		{at(13), NodeStop, random.IntN(64), 300 * time.Millisecond},
		{at(17), UpstreamRests, random.IntN(64), 2 * time.Second},
		{at(18), UpstreamSays, random.IntN(64), 8 * time.Second},
		{at(18), RequestCrashes, 1000, 8 * time.Second},
	}
}

func one(random *rand.Rand, at time.Duration) Fault { return oneOf(random, at, shapes) }

// oneOf draws a fault of one of the shapes.
func oneOf(random *rand.Rand, at time.Duration, shapes []shape) Fault {
	total := 0
	for _, s := range shapes {
		total += s.weight
	}
	left := random.IntN(total)
	for _, s := range shapes {
		if left < s.weight {
			return Fault{At: at, Kind: s.kind, Target: random.IntN(64), For: between(random, s.least, s.most)}
		}
		left -= s.weight
	}
	panic("the weights do not add up")
}

// between is a length from least to most, in whole milliseconds.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return (least + time.Duration(random.Int64N(int64(most-least)))).Round(time.Millisecond)
}

// readSchedule reads lines as Fault.String writes them; empty ones and comments are passed over.
func readSchedule(r io.Reader) ([]Fault, error) {
	var out []Fault
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		f, err := parseFault(text)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", n)
		}
		out = append(out, f)
	}
	return out, lines.Err()
}

func parseFault(text string) (Fault, error) {
	var at, kind, lasts string
	var f Fault
	if _, err := fmt.Sscan(text, &at, &kind, &f.Target, &lasts); err != nil {
		return f, errors.Wrap(err, "want TIME KIND TARGET LENGTH")
	}
	var err error
	if f.At, err = time.ParseDuration(at); err != nil {
		return f, err
	}
	if f.For, err = time.ParseDuration(lasts); err != nil {
		return f, err
	}
	f.Kind = Kind(kind)
	if !slices.ContainsFunc(shapes, func(s shape) bool { return s.kind == f.Kind }) {
		return f, errors.Newf("no kind %q", kind)
	}
	return f, nil
}
