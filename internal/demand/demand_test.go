package demand

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
	_ "github.com/marbleroad/marbleroad/test/seed"
)

const (
	testNodes    = 77
	testStep     = 10 * time.Millisecond
	testExchange = 300 * time.Millisecond
	testDelay    = 150 * time.Millisecond
	// testRate is the number of requests per second at all nodes, testWork their mean work.
	testRate = 400.0
	testWork = 0.06
)

// site simulates nodes that measure their requests and report to a reader after a delay, in virtual time.
type site struct {
	start, now time.Time
	random     *rand.Rand
	nodes      []*siteNode
	// reports are in transit to the reader, received those that it has. A report remains valid for ttl.
	reports  []report
	received map[int]report
	nextID   int
	// tracker is the reader's. It is updated every 100 ms.
	tracker Tracker
	// refused is the fraction of first and second attempts that is refused; returns holds those to come.
	refused float64
	returns map[int64][]Request
}

type siteNode struct {
	id    int
	meter Meter
	// down is true while the node does not run.
	down   bool
	sentAt time.Time
}

type report struct {
	id            int
	rates         Rates
	sentAt, dueAt time.Time
}

const (
	testTTL    = 2 * time.Second
	testReturn = 1500 * time.Millisecond
)

func newSite() *site {
	s := &site{start: time.Unix(1000, 0), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 5)), received: make(map[int]report), returns: make(map[int64][]Request)}
	for i := range testNodes {
		s.nodes = append(s.nodes, &siteNode{id: i, sentAt: s.now.Add(-time.Duration(i) * testExchange / testNodes)})
	}
	s.nextID = testNodes
	return s
}

// run advances the simulation with the given factor on the arrival rate, and calls observe every 100 ms.
func (s *site) run(length time.Duration, factor float64, observe func(at time.Duration, sum Rates)) {
	begin := s.now
	for s.now.Before(begin.Add(length)) {
		s.now = s.now.Add(testStep)
		s.arrive(factor)
		s.exchange()
		if since := s.now.Sub(begin); since%(100*time.Millisecond) == 0 {
			sum := s.sum()
			if observe != nil {
				observe(since, sum)
			}
		}
	}
}

// arrive sends the requests of one step to nodes that run.
func (s *site) arrive(factor float64) {
	step := s.now.UnixNano() / int64(testStep)
	requests := s.returns[step]
	delete(s.returns, step)
	for expected := testRate * factor * testStep.Seconds(); s.random.Float64() < expected; expected-- {
		requests = append(requests, Request{Work: testWork * s.random.ExpFloat64()})
	}
	for _, r := range requests {
		n := s.nodes[s.random.IntN(len(s.nodes))]
		for n.down {
			n = s.nodes[s.random.IntN(len(s.nodes))]
		}
		n.meter.Add(s.now, r)
		if s.random.Float64() >= s.refused {
			continue
		}
		n.meter.Refuse(s.now, r)
		if !r.Returning {
			r.Returning = true
			due := step + int64(testReturn/testStep)
			s.returns[due] = append(s.returns[due], r)
		}
	}
}

// exchange sends the reports that are due, and delivers those that have arrived.
func (s *site) exchange() {
	for _, n := range s.nodes {
		if n.down || s.now.Sub(n.sentAt) < testExchange {
			continue
		}
		n.sentAt = s.now
		r := n.meter.Rates(s.now).Report(false)
		r.Arrivals = testRate / testNodes
		s.reports = append(s.reports, report{id: n.id, rates: r, sentAt: s.now, dueAt: s.now.Add(testDelay)})
	}
	for len(s.reports) > 0 && !s.reports[0].dueAt.After(s.now) {
		s.received[s.reports[0].id] = s.reports[0]
		s.reports = s.reports[1:]
	}
	for id, r := range s.received {
		if s.now.Sub(r.sentAt) > testTTL {
			delete(s.received, id)
		}
	}
}

// sum returns the demand that the reader knows.
func (s *site) sum() Rates {
	var all []NodeRates
	for _, r := range s.received {
		all = append(all, NodeRates{Rates: r.rates, Age: s.now.Sub(r.sentAt)})
	}
	return s.tracker.Update(s.now, Sum(all, FreshFor(testTTL)))
}

// TestSurgeIsSeenAndLeft guards against a demand that reaches its peak after a surge of 3 s is over: the
// smoothed estimate alone rises by a sixth during it and falls for ten seconds.
func TestSurgeIsSeenAndLeft(t *testing.T) {
	s := newSite()
	s.run(30*time.Second, 1, nil)
	before := s.sum().Smoothed
	seen, smoothed := time.Duration(0), 0.0
	s.run(3*time.Second, 1.65, func(at time.Duration, sum Rates) {
		if seen == 0 && sum.Surge() > 1.35*before {
			seen = at
		}
		smoothed = sum.Smoothed
	})
	left := time.Duration(0)
	s.run(3*time.Second, 1, func(at time.Duration, sum Rates) {
		if sum.Surge() > 1.25*before {
			left = at
		}
	})
	t.Logf("surge seen after %v, left after %v; smoothed %.2f before, %.2f at the end", seen, left, before, smoothed)
	if seen == 0 || seen > 1200*time.Millisecond {
		t.Errorf("the surge was seen after %v", seen)
	}
	// The reports are up to 0.45 s old.
	if left > 950*time.Millisecond {
		t.Errorf("the surge counted until %v after its end", left)
	}
	if smoothed > 1.25*before {
		t.Errorf("the smoothed demand rose from %.2f to %.2f: dissolutions would follow a surge", before, smoothed)
	}
}

// TestRestartedNodesCountOnce guards against counting the callers of killed nodes twice: at the old nodes by
// their last states, and at those that serve them now. A third of the nodes is killed and returns two
// seconds later under other IDs.
func TestRestartedNodesCountOnce(t *testing.T) {
	s := newSite()
	s.run(30*time.Second, 1, nil)
	before := s.sum()
	killed := s.nodes[:testNodes/3]
	for _, n := range killed {
		n.down = true
	}
	// Means over the times in which last states count; single values vary by the noise of half a second.
	total, count, lowest := 0.0, 0, before.Smoothed
	observe := func(_ time.Duration, sum Rates) {
		total, count, lowest = total+sum.Surge(), count+1, min(lowest, sum.Surge())
	}
	s.run(testTTL, 1, observe)
	down := total / float64(count)
	for _, n := range killed {
		*n = siteNode{id: s.nextID, sentAt: s.now}
		s.nextID++
	}
	total, count = 0, 0
	s.run(testTTL, 1, observe)
	returned := total / float64(count)
	t.Logf("%.2f before, %.2f while a third is down, %.2f after its return, %.2f at the lowest", before.Smoothed, down, returned, lowest)
	if max(down, returned) > 1.12*before.Smoothed {
		t.Errorf("the demand rose from %.2f to %.2f while nodes were down and to %.2f after their return", before.Smoothed, down, returned)
	}
	if lowest < 0.85*before.Smoothed {
		t.Errorf("the demand fell from %.2f to %.2f while nodes restarted", before.Smoothed, lowest)
	}
}

// TestTrackerStartsAnewAfterGap guards against a smoothed demand that follows a surge of half a second, at a node that
// becomes a director again and has not read the demand in between.
func TestTrackerStartsAnewAfterGap(t *testing.T) {
	var tracker Tracker
	now := time.Unix(1000, 0)
	tracker.Update(now, Rates{Smoothed: 4, Recent: 4})
	now = now.Add(time.Minute)
	if got := tracker.Update(now, Rates{Smoothed: 10, Recent: 17}).Smoothed; got != 10 {
		t.Errorf("smoothed work %.1f after a minute without a call, expected that of the nodes, 10", got)
	}
	now = now.Add(trackerStart)
	if got := tracker.Update(now, Rates{Smoothed: 10, Recent: 17}).Smoothed; got <= 10 || got >= 17 {
		t.Errorf("smoothed work %.1f once the tracker has started", got)
	}
}

// TestStoppingNodeCountsByItsRecentWork guards against the smoothed work of a node whose callers have moved.
func TestStoppingNodeCountsByItsRecentWork(t *testing.T) {
	var m Meter
	now := time.Unix(1000, 0)
	for range 1000 {
		now = now.Add(testStep)
		m.Add(now, Request{Work: 0.01})
	}
	now = now.Add(600 * time.Millisecond)
	if r := m.Rates(now).Report(true); r.Smoothed > 0.01 {
		t.Errorf("a stopping node without callers reports %.2f", r.Smoothed)
	}
	if r := m.Rates(now).Report(false); r.Smoothed < 0.9 {
		t.Errorf("a node that pauses reports %.2f", r.Smoothed)
	}
}

// TestRefusedRequestCountsOnce guards against demand that rises because callers are refused: counted twice,
// one model's demand starved the other. Half of all attempts are refused.
func TestRefusedRequestCountsOnce(t *testing.T) {
	s := newSite()
	s.refused = 0.5
	s.run(30*time.Second, 1, nil)
	sum := s.sum()
	offered := testRate * testWork
	t.Logf("offered %.2f, smoothed %.2f, unmet %.2f", offered, sum.Smoothed, sum.Unmet)
	if sum.Smoothed < 0.85*offered || sum.Smoothed > 1.15*offered {
		t.Errorf("smoothed demand %.2f, offered %.2f", sum.Smoothed, offered)
	}
	if sum.Unmet < 0.3*offered || sum.Unmet > 0.7*offered {
		t.Errorf("unmet demand %.2f of %.2f", sum.Unmet, offered)
	}
}

// testEngine is the engine of deployment A in docs/OVERLOAD.md.
var testEngine = batch.Engine{Slots: 20, StepsPerPass: 6, StepTime: 7800 * time.Microsecond, PerSequence: 94700 * time.Nanosecond,
	ReadPerSecond: 45900, MaxReadPerStep: 2048, MeanPrompt: 1420, MeanAnswer: 168, Pace: 1}

// sizesOf returns the sizes after many equal requests.
func sizesOf(prompt, answer float64, objective time.Duration) Sizes {
	var s Sizes
	for range 10000 {
		s.add(Request{PromptTokens: prompt, AnswerTokens: answer, Objective: objective})
	}
	return s
}

// TestUtilizationFollowsRequests guards against comparing models by busy time: groups that read long prompts
// are late long before they are full.
func TestUtilizationFollowsRequests(t *testing.T) {
	short := Utilization(testEngine, sizesOf(674, 168, 500*time.Millisecond), 100*time.Millisecond)
	long := Utilization(testEngine, sizesOf(4000, 168, 500*time.Millisecond), 100*time.Millisecond)
	relaxed := Utilization(testEngine, sizesOf(4000, 168, 1500*time.Millisecond), 100*time.Millisecond)
	t.Logf("short prompts %.2f, long prompts %.2f, long prompts and 1.5 s %.2f", short, long, relaxed)
	if long >= short || long >= relaxed || long < minUtilization || relaxed > 1 {
		t.Errorf("utilization %.2f with long prompts, %.2f with short ones, %.2f with a longer objective", long, short, relaxed)
	}
	if none := Utilization(testEngine, Sizes{}, 0); none != 1 {
		t.Errorf("%.2f without an objective", none)
	}
}

// TestUtilizationOfSmallEngines guards against demand that is 2.5 times too high for engines with one slot, which meet
// the objective while they are busy.
func TestUtilizationOfSmallEngines(t *testing.T) {
	e := testEngine
	e.Slots = 1
	if got := Utilization(e, sizesOf(100, 168, 5*time.Second), 0); got != 1 {
		t.Errorf("utilization %.2f of an engine with one slot", got)
	}
}

// TestUnknownPriorSizes guards against mean sizes that are too low while the engine publishes none.
func TestUnknownPriorSizes(t *testing.T) {
	var m mean
	m.add(1000)
	if got := m.or(0); got != 1000 {
		t.Errorf("mean %.0f of one request of 1000 tokens", got)
	}
}

// TestSilentNodeDoesNotCount compares sums with those computed by hand, for states that are fresh, unconfirmed
// and lapsed.
func TestSilentNodeDoesNotCount(t *testing.T) {
	serving := NodeRates{Rates: Rates{Smoothed: 6, Recent: 8}}
	for _, c := range []struct {
		age              time.Duration
		smoothed, recent float64
	}{{0, 10, 12}, {minFreshFor, 10, 10}, {minFreshFor + 1, 6, 8}} {
		sum := Sum([]NodeRates{serving, {Rates: Rates{Smoothed: 4, Recent: 4}, Age: c.age}}, minFreshFor)
		if sum.Smoothed != c.smoothed || sum.Recent != c.recent {
			t.Errorf("age %v: smoothed %.0f and recent %.0f, expected %.0f and %.0f", c.age, sum.Smoothed, sum.Recent, c.smoothed, c.recent)
		}
	}
	if sum := Sum([]NodeRates{serving, {Rates: Rates{Smoothed: 4}, Age: time.Second}}, minFreshFor); sum.Smoothed != 10 || sum.Recent != 10 {
		t.Errorf("a node that does not measure must count while its state is valid: %+v", sum)
	}
}
