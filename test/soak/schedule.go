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

// Kind is a kind of fault, or of planned operation, that a schedule can hold.
type Kind string

// The kinds of faults. Those of nodes and upstreams have the number of a node or an upstream as
// their target. Partitioned freezes the connections of a link, OneWay holds up the responses on it,
// Silent makes the open connections unresponsive for good and Reset closes them once. Kinds with
// FromNodes or NodeLinks apply to the link by which other nodes reach a node. NodeKill sends SIGKILL
// and NodeStop SIGTERM; both start the node again after the fault's duration. PowerLoss sends SIGKILL to all nodes right
// after the store has acknowledged a new version. The kinds that cut a node
// off from all upstreams leave its links to callers, the store and other nodes alone: the connections to
// upstreams hang, are reset and refused, or live on while new ones are refused.
const (
	StoreDown                   Kind = "store-down"
	StoreUnresponsive           Kind = "store-silent"
	StoreSlow                   Kind = "store-slow"
	ConfigurationReadLate       Kind = "configuration-read-late"
	StoreForgets                Kind = "store-forgets"
	StoreLosesResponses         Kind = "store-loses-answers"
	StoreRestored               Kind = "store-restored"
	NodePartitionedFromStore    Kind = "node-cut-from-store"
	NodeOneWayFromStore         Kind = "node-hears-nothing-of-store"
	NodeStoreConnectionsSilent  Kind = "node-connections-silent"
	NodePartitionedFromNodes    Kind = "node-cut-from-nodes"
	NodeOneWayFromNodes         Kind = "node-answers-no-nodes"
	NodeLinksSilent             Kind = "node-links-silent"
	NodeLinksReset              Kind = "node-links-reset"
	NodeCutFromUpstreams        Kind = "node-cut-from-upstreams"
	NodeRefusedByUpstreams      Kind = "node-refused-by-upstreams"
	NodeNewConnectionsRefused   Kind = "node-new-connections-refused"
	NodeKill                    Kind = "node-kill"
	NodeStop                    Kind = "node-stop"
	NodePause                   Kind = "node-pause"
	NodeReload                  Kind = "node-reload"
	AllNodesKill                Kind = "all-nodes-kill"
	PowerLoss                   Kind = "power-loss"
	UpstreamCrashes             Kind = "upstream-dies"
	UpstreamDrains              Kind = "upstream-drains"
	UpstreamLeaves              Kind = "upstream-leaves"
	UpstreamPartitioned         Kind = "upstream-cut"
	UpstreamConnectionsReset    Kind = "upstream-connections-reset"
	UpstreamConnectionsSilent   Kind = "upstream-connections-silent"
	UpstreamStalls              Kind = "upstream-stalls"
	UpstreamSilent              Kind = "upstream-silent"
	UpstreamsWrittenLate        Kind = "upstreams-written-late"
	UpstreamRefuses             Kind = "upstream-refuses"
	AllUpstreamsRefuse          Kind = "all-upstreams-refuse"
	UpstreamTruncatesStreams    Kind = "upstream-cuts-streams"
	UpstreamMisdirectsResponses Kind = "upstream-answers-others"
	UpstreamAnswersWithoutEnd   Kind = "upstream-answers-without-end"
	UpstreamReportsLimit        Kind = "upstream-names-a-limit"
	UpstreamRequestsBackoff     Kind = "upstream-asks-for-rest"
	UpstreamReportsLeaving      Kind = "upstream-says-it-leaves"
	DomainEvacuated             Kind = "domain-evacuated"
	PlainUpstreamDrains         Kind = "plain-upstream-drains"
	PlainUpstreamPartitioned    Kind = "plain-upstream-cut"
	CallerSurge                 Kind = "callers-many"
	CallersDisconnect           Kind = "callers-leave"
	RequestCrashesUpstreams     Kind = "request-crashes-upstreams"
	PromptPartCrashesUpstreams  Kind = "prompt-part-crashes-upstreams"
	NodeGetsMostConnections     Kind = "node-gets-most-connections"
	ReadersCutFromStore         Kind = "readers-cut-from-store"
	// SchedulingStall is only recorded, never part of a schedule.
	SchedulingStall Kind = "machine-late"
	RouteAdded      Kind = "route-added"
	KeyRevoked      Kind = "key-revoked"
	// ConfigurationChanges changes time-outs, splits a service and adds many routes, in versions that follow each other.
	ConfigurationChanges Kind = "configuration-changes"
)

// Fault is one entry of a schedule.
type Fault struct {
	At   time.Duration
	Kind Kind
	// Target is the number of a node or an upstream, modulo how many there are.
	Target int
	// For is how long the fault lasts; zero if it has no duration.
	For time.Duration
}

// String formats the fault as a line of a schedule.
func (f Fault) String() string { return fmt.Sprintf("%s %s %d %s", f.At, f.Kind, f.Target, f.For) }

// faultSpec defines how often a kind is drawn and how long its faults last.
type faultSpec struct {
	kind                     Kind
	weight                   int
	minDuration, maxDuration time.Duration
}

var faultSpecs = []faultSpec{
	{StoreDown, 3, 500 * time.Millisecond, 5 * time.Second},
	{StoreUnresponsive, 3, 500 * time.Millisecond, 5 * time.Second},
	{StoreSlow, 1, time.Second, 4 * time.Second},
	{StoreForgets, 1, 0, 0},
	{StoreLosesResponses, 1, 0, 0},
	{NodePartitionedFromStore, 3, 200 * time.Millisecond, 4 * time.Second},
	{NodeOneWayFromStore, 2, 500 * time.Millisecond, 4 * time.Second},
	{NodeStoreConnectionsSilent, 2, 0, 0},
	{NodePartitionedFromNodes, 2, 300 * time.Millisecond, 5 * time.Second},
	{NodeOneWayFromNodes, 2, 300 * time.Millisecond, 5 * time.Second},
	{NodeLinksSilent, 1, 0, 0},
	{NodeLinksReset, 1, 0, 0},
	{NodeCutFromUpstreams, 2, time.Second, 6 * time.Second},
	{NodeRefusedByUpstreams, 2, time.Second, 6 * time.Second},
	{NodeNewConnectionsRefused, 1, time.Second, 6 * time.Second},
	{NodeKill, 3, 300 * time.Millisecond, 2 * time.Second},
	{NodeStop, 3, 300 * time.Millisecond, time.Second},
	{NodePause, 2, 300 * time.Millisecond, 4 * time.Second},
	{NodeReload, 1, 0, 0},
	{AllNodesKill, 1, 300 * time.Millisecond, time.Second},
	{PowerLoss, 1, 300 * time.Millisecond, time.Second},
	{UpstreamCrashes, 4, time.Second, 4 * time.Second},
	{UpstreamDrains, 3, 3 * time.Second, 5 * time.Second},
	{UpstreamLeaves, 4, 4 * time.Second, 6 * time.Second},
	{UpstreamPartitioned, 3, 300 * time.Millisecond, 8 * time.Second},
	{UpstreamConnectionsReset, 2, 0, 0},
	{UpstreamConnectionsSilent, 2, 0, 0},
	{UpstreamStalls, 2, time.Second, 3 * time.Second},
	{UpstreamSilent, 2, time.Second, 1500 * time.Millisecond},
	{UpstreamRefuses, 2, time.Second, 4 * time.Second},
	{AllUpstreamsRefuse, 1, time.Second, 4 * time.Second},
	{UpstreamTruncatesStreams, 2, time.Second, 3 * time.Second},
	{UpstreamMisdirectsResponses, 1, time.Second, 2 * time.Second},
	{UpstreamAnswersWithoutEnd, 3, time.Second, 5 * time.Second},
	{PlainUpstreamDrains, 1, 3 * time.Second, 5 * time.Second},
	{PlainUpstreamPartitioned, 1, 300 * time.Millisecond, 7 * time.Second},
	{CallerSurge, 1, time.Second, 3 * time.Second},
	{CallersDisconnect, 2, time.Second, 4 * time.Second},
	{RequestCrashesUpstreams, 2, 2 * time.Second, 8 * time.Second},
	{PromptPartCrashesUpstreams, 2, 2 * time.Second, 10 * time.Second},
	{NodeGetsMostConnections, 2, 2 * time.Second, 8 * time.Second},
	{ReadersCutFromStore, 3, 2 * time.Second, 7 * time.Second},
	{RouteAdded, 3, 0, 0},
	{KeyRevoked, 1, 0, 0},
	{ConfigurationChanges, 2, 2 * time.Second, 5 * time.Second},
	{UpstreamReportsLimit, 3, 5 * time.Second, 9 * time.Second},
	{UpstreamRequestsBackoff, 2, time.Second, 4 * time.Second},
	{UpstreamReportsLeaving, 2, 4 * time.Second, 7 * time.Second},
}

// neverDrawn are the kinds that are not drawn among others.
var neverDrawn = []Kind{DomainEvacuated, StoreRestored, UpstreamsWrittenLate, ConfigurationReadLate}

// drawSchedule draws the faults of a period: single ones, and overlapping pairs of one kind. After
// two in three store outages a VM leaves within 4 s, while updates from the store may still be late.
func drawSchedule(random *rand.Rand, length time.Duration) []Fault {
	const meanGap = 900 * time.Millisecond
	var out []Fault
	for at := time.Duration(0); at < length; at += randomDuration(random, meanGap/3, 2*meanGap-meanGap/3) {
		f := drawFault(random, at)
		out = append(out, f)
		switch {
		case random.IntN(5) == 0:
			repeated := f
			repeated.At += f.For/2 + 200*time.Millisecond
			repeated.Target++
			out = append(out, repeated)
		case f.Kind == StoreDown || f.Kind == StoreUnresponsive || f.Kind == NodePartitionedFromStore:
			leaves := Fault{At: f.At + f.For + randomDuration(random, 0, 4*time.Second), Kind: UpstreamLeaves, Target: random.IntN(64), For: 5 * time.Second}
			if random.IntN(3) > 0 {
				out = append(out, leaves)
			}
		}
	}
	for i := range out {
		out[i].For = min(out[i].For, max(length-out[i].At, 0)+recoveryTime/4)
	}
	out = append(out, finalFaults(random, length)...)
	out = append(out, evacuations(random, length)...)
	out = append(out, restores(random, length)...)
	out = append(out, finalCut(random, length))
	out = append(out, finalCrowding(random, length)...)
	last := out[len(out)-1]
	out = append(out, finalReaderCut(random, last.At+last.For+reconnectTime))
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

// plannedFaultSpecs are stops, reloads, upstreams that drain or leave without a notice, configuration changes and what disturbs nobody: silences of
// sound heads, and pauses that are too short for the other nodes to consider the node lost.
var plannedFaultSpecs = []faultSpec{
	{NodeStop, 6, 300 * time.Millisecond, time.Second},
	{NodeReload, 3, 0, 0},
	{UpstreamDrains, 3, 3 * time.Second, 5 * time.Second},
	{PlainUpstreamDrains, 1, 3 * time.Second, 5 * time.Second},
	{UpstreamLeaves, 2, 4 * time.Second, 6 * time.Second},
	{UpstreamSilent, 3, time.Second, 1500 * time.Millisecond},
	{NodePause, 3, 150 * time.Millisecond, 700 * time.Millisecond},
	{RouteAdded, 5, 0, 0},
	{KeyRevoked, 1, 0, 0},
	{ConfigurationChanges, 3, 2 * time.Second, 5 * time.Second},
	{CallerSurge, 1, time.Second, 3 * time.Second},
}

// staleFaultSpecs leave processes with knowledge that no longer holds: pauses of nodes that are longer than the formation
// of a group, beside what makes directors form groups and take them apart.
var staleFaultSpecs = []faultSpec{
	{NodePause, 6, 3 * time.Second, 9 * time.Second},
	{UpstreamCrashes, 3, time.Second, 4 * time.Second},
	{UpstreamDrains, 3, 3 * time.Second, 5 * time.Second},
	{UpstreamLeaves, 2, 4 * time.Second, 6 * time.Second},
	{NodeStop, 1, 300 * time.Millisecond, time.Second},
	{RouteAdded, 1, 0, 0},
	{CallerSurge, 1, time.Second, 3 * time.Second},
}

// drawStaleSchedule draws faults that leave processes with knowledge that no longer holds, in overlapping series, while
// the store writes entries of upstreams late.
func drawStaleSchedule(random *rand.Rand, length time.Duration) []Fault {
	late := Fault{0, UpstreamsWrittenLate, 0, length + recoveryTime}
	return append([]Fault{late}, drawSeries(random, length, staleFaultSpecs)...)
}

// drawPlannedSchedule draws only planned operations and short pauses, in overlapping series. All nodes lose power at the
// end, while requests run that planned work has not disturbed.
func drawPlannedSchedule(random *rand.Rand, length time.Duration) []Fault {
	return append(drawSeries(random, length, plannedFaultSpecs), Fault{length + recoveryTime, PowerLoss, 0, time.Second})
}

// drawSeries draws faults of the specs, in overlapping series.
func drawSeries(random *rand.Rand, length time.Duration, specs []faultSpec) []Fault {
	const meanGap = 500 * time.Millisecond
	var out []Fault
	for at := time.Duration(0); at < length; at += randomDuration(random, meanGap/3, 2*meanGap-meanGap/3) {
		f := drawFaultOf(random, at, specs)
		out = append(out, f)
		for repeated := f; random.IntN(2) == 0; {
			repeated.At += randomDuration(random, 100*time.Millisecond, 600*time.Millisecond)
			repeated.Target++
			out = append(out, repeated)
		}
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return int(a.At - b.At) })
	return out
}

// recoveryTime is how long after the drawn faults the nodes count as connected again.
const recoveryTime = 4 * time.Second

// finalFaults returns the faults that end each schedule. They give the checks that need an
// otherwise undisturbed node something to check: a load surge, upstreams that leave or hang while
// callers disconnect, a single graceful stop, upstreams that report a limit, ask for backoff or
// report that they leave, and a request that crashes its upstreams.
func finalFaults(random *rand.Rand, length time.Duration) []Fault {
	at := func(s float64) time.Duration { return length + recoveryTime + time.Duration(s*float64(time.Second)) }
	return []Fault{
		{at(0), CallerSurge, 0, 2 * time.Second},
		{at(3), PlainUpstreamPartitioned, 0, 6500 * time.Millisecond},
		{at(3), UpstreamLeaves, random.IntN(64), 5 * time.Second},
		{at(3.2), PlainUpstreamDrains, 0, 4500 * time.Millisecond},
		{at(3.2), CallersDisconnect, 0, 3 * time.Second},
		{at(3.4), RouteAdded, 0, 0},
		{at(8.5), UpstreamReportsLimit, random.IntN(64), 9500 * time.Millisecond},
		{at(13), NodeStop, random.IntN(64), 300 * time.Millisecond},
		{at(17), UpstreamRequestsBackoff, random.IntN(64), 2 * time.Second},
		{at(18), UpstreamReportsLeaving, random.IntN(64), 8 * time.Second},
		{at(18), RequestCrashesUpstreams, 1000, 8 * time.Second},
	}
}

// finalCrowding returns the faults after all others: most new connections go to one node, and then requests with a
// prompt part crash their upstreams, each while nothing else is disturbed.
func finalCrowding(random *rand.Rand, length time.Duration) []Fault {
	const afterRestore = 49 * time.Second
	at := length + recoveryTime + afterRestore
	return []Fault{
		{at, NodeGetsMostConnections, random.IntN(64), reconnectTime + 4*time.Second},
		{at + 11*time.Second, PromptPartCrashesUpstreams, 1001, 3*reconnectTime + 2*time.Second},
	}
}

// evacuations returns a fault that evacuates a failure domain among the drawn faults, and one after the
// final faults, long enough to check that it is in force.
func evacuations(random *rand.Rand, length time.Duration) []Fault {
	const afterFinalFaults = 27 * time.Second
	return []Fault{
		{randomDuration(random, 0, length), DomainEvacuated, random.IntN(64), randomDuration(random, 2*time.Second, 5*time.Second)},
		{length + recoveryTime + afterFinalFaults, DomainEvacuated, random.IntN(64), evacuateBound + 3*time.Second},
	}
}

// restores returns a restore of the store among the drawn faults, and one after the final faults, after which an
// upstream leaves when the nodes count as connected again.
func restores(random *rand.Rand, length time.Duration) []Fault {
	const afterEvacuation = 38 * time.Second
	last := Fault{length + recoveryTime + afterEvacuation, StoreRestored, random.IntN(64), randomDuration(random, 200*time.Millisecond, 2*time.Second)}
	return []Fault{
		{randomDuration(random, 0, length), StoreRestored, random.IntN(64), randomDuration(random, 200*time.Millisecond, 2*time.Second)},
		last,
		{last.At + last.For + reconnectTime + 100*time.Millisecond, UpstreamLeaves, random.IntN(64), 5 * time.Second},
	}
}

func drawFault(random *rand.Rand, at time.Duration) Fault { return drawFaultOf(random, at, faultSpecs) }

// drawFaultOf draws a fault by the weights of the specs.
func drawFaultOf(random *rand.Rand, at time.Duration, specs []faultSpec) Fault {
	total := 0
	for _, s := range specs {
		total += s.weight
	}
	remaining := random.IntN(total)
	for _, s := range specs {
		if remaining < s.weight {
			return Fault{At: at, Kind: s.kind, Target: random.IntN(64), For: randomDuration(random, s.minDuration, s.maxDuration)}
		}
		remaining -= s.weight
	}
	panic("drawn number exceeds the sum of the weights")
}

// randomDuration returns a duration between minimum and maximum in whole milliseconds.
func randomDuration(random *rand.Rand, minimum, maximum time.Duration) time.Duration {
	if maximum <= minimum {
		return minimum
	}
	return (minimum + time.Duration(random.Int64N(int64(maximum-minimum)))).Round(time.Millisecond)
}

// readSchedule reads lines as Fault.String formats them and skips empty lines and comments.
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
	var at, kind, duration string
	var f Fault
	if _, err := fmt.Sscan(text, &at, &kind, &f.Target, &duration); err != nil {
		return f, errors.Wrap(err, "expected TIME KIND TARGET DURATION")
	}
	var err error
	if f.At, err = time.ParseDuration(at); err != nil {
		return f, err
	}
	if f.For, err = time.ParseDuration(duration); err != nil {
		return f, err
	}
	f.Kind = Kind(kind)
	if !slices.Contains(neverDrawn, f.Kind) && !slices.ContainsFunc(faultSpecs, func(s faultSpec) bool { return s.kind == f.Kind }) {
		return f, errors.Newf("unknown kind %q", kind)
	}
	return f, nil
}
