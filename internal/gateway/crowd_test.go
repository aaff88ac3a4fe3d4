package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/retry"
)

// The figures of the replayed load: some nodes before a few engines that read
// prompts between the passes in which they write, callers with prompts of very
// different lengths, and one return of those that were turned away.
const (
	crowdNodes    = 7
	crowdHeads    = 8
	crowdSlots    = 26
	crowdStride   = 5
	crowdPatience = 6 * time.Second
	crowdAim      = 500 * time.Millisecond
	crowdExchange = 300 * time.Millisecond
	// crowdConstant is what each first event takes beyond what engines publish.
	crowdConstant = 120 * time.Millisecond
	crowdWarm     = 4 * time.Second
	crowdLength   = 12 * time.Second
)

func crowdEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: crowdSlots, StepTime: 6 * time.Millisecond, PerSequence: 240 * time.Microsecond, Stride: crowdStride,
		ReadPerSecond: 46000, UsualPrompt: 1600, UsualAnswer: 110, Models: []catalog.Model{{Name: "m", Size: 1, Pace: 1}},
	}
}

// crowdCall is one caller's request.
type crowdCall struct {
	call    *Call
	first   time.Time // of the caller's first try
	answer  int
	written int
	read    bool
	board   *board
	send    *send
}

// crowdHead is one engine: it takes requests in order of arrival into its slots.
type crowdHead struct {
	vm      string
	waiting []*crowdCall
	running []*crowdCall
	busy    bool
}

// crowd plays a load in virtual time against the decisions of several nodes.
type crowd struct {
	now    time.Time
	random *rand.Rand
	events crowdEvents
	boards []*board
	server []*Server
	heads  map[string]*crowdHead
	engine *catalog.Engine
	number int

	inTime, late int
	// returned counts the callers that were turned away and came back, refused
	// those that were turned away again.
	returned, refused int
}

// crowdEvent is what happens at a time; number keeps the order of equal times.
type crowdEvent struct {
	at     time.Time
	number int
	do     func()
}

type crowdEvents []crowdEvent

// Len implements heap.Interface.
func (e crowdEvents) Len() int { return len(e) }

// Less implements heap.Interface.
func (e crowdEvents) Less(i, k int) bool {
	if e[i].at.Equal(e[k].at) {
		return e[i].number < e[k].number
	}
	return e[i].at.Before(e[k].at)
}

// Swap implements heap.Interface.
func (e crowdEvents) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push implements heap.Interface.
func (e *crowdEvents) Push(x any) { *e = append(*e, x.(crowdEvent)) }

// Pop implements heap.Interface.
func (e *crowdEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (c *crowd) after(d time.Duration, do func()) {
	c.number++
	heap.Push(&c.events, crowdEvent{at: c.now.Add(d), number: c.number, do: do})
}

// newCrowd has all heads open. shown is what the nodes are told of the engines.
func newCrowd(t *testing.T, shown *catalog.Engine) *crowd {
	t.Helper()
	start := time.Unix(1_000_000, 0)
	c := &crowd{now: start, random: rand.New(rand.NewPCG(7, 11)), heads: make(map[string]*crowdHead), engine: crowdEngine()}
	route := catalog.Route{Name: "r", Prefix: "/a/", Objective: crowdAim, Targets: []catalog.Target{{Service: "s", Weight: 1}}}
	current, err := catalog.New(catalog.Content{Version: 1, Routes: []catalog.Route{route}, Services: []catalog.Service{{Name: "s", Engine: shown}}})
	if err != nil {
		t.Fatal(err)
	}
	vms := make(map[string]*fleet.VM)
	for i := range crowdHeads {
		id := fmt.Sprintf("vm%d", i)
		vms[id] = &fleet.VM{ID: id, Service: "s", FailureDomain: "x",
			Membership: fleet.Membership{Group: "g" + id, Generation: 1, State: fleet.Open, Model: "m"}}
		c.heads[id] = &crowdHead{vm: id}
	}
	for i := range crowdNodes {
		b := newBoard("x", retry.Limit{Window: time.Second}, noneDissolving, start)
		b.random = rand.New(rand.NewPCG(uint64(i), 1))
		b.rebuild(current, fleet.NewSnapshot(vms, 1, start))
		// The fleet is a map; the play shall be the same each time.
		slices.SortFunc(b.pools["s"].heads["m"], func(x, y *target) int { return strings.Compare(x.vm.ID, y.vm.ID) })
		c.boards = append(c.boards, b)
		c.server = append(c.server, &Server{board: b})
		c.after(time.Duration(i)*crowdExchange/crowdNodes, func() { c.exchange(i) })
	}
	return c
}

// exchange has one node tell the others its state, each interval.
func (c *crowd) exchange(node int) {
	state := &marbleroadv1.NodeState{Node: fmt.Sprint(node), FailureDomain: "x"}
	c.boards[node].state(c.now, state)
	for i, b := range c.boards {
		if i != node {
			b.hear(c.now, state, c.now, time.Second)
		}
	}
	c.after(crowdExchange, func() { c.exchange(node) })
}

// arrive has callers come at a rate a second.
func (c *crowd) arrive(rate float64, until time.Time) {
	if c.now.After(until) {
		return
	}
	one := &crowdCall{
		first:  c.now,
		answer: 1 + int(c.random.ExpFloat64()*float64(c.engine.UsualAnswer)),
		call: &Call{Service: "s", Model: "m", Patience: crowdPatience, Route: &catalog.Route{Name: "r", Objective: crowdAim},
			PromptTokens: 40 + int(min(c.random.ExpFloat64(), 4)*c.engine.UsualPrompt)},
	}
	c.offer(one)
	c.after(time.Duration(c.random.ExpFloat64()/rate*float64(time.Second)), func() { c.arrive(rate, until) })
}

// offer brings a call to some node; one that is turned away comes back once.
func (c *crowd) offer(one *crowdCall) {
	node := c.random.IntN(crowdNodes)
	b := c.boards[node]
	call := *one.call
	call.Arrived = c.now
	call.Patience = crowdPatience - c.now.Sub(one.first)
	call.Waited = b.waited(&call)
	const room = 5
	s, _, why := b.choose(c.now, &call, nil, room, false, func(error) {})
	if why != admitted {
		if one.first.Before(c.now) {
			c.refused++
			return
		}
		c.returned++
		c.after(c.server[node].comeBack(&call, why), func() { c.offer(one) })
		return
	}
	one.board, one.send = b, s
	head := c.heads[s.vm.ID]
	head.waiting = append(head.waiting, one)
	if !head.busy {
		c.pass(head)
	}
}

// pass plays one pass of a head: it writes for those that were read, and reads.
func (c *crowd) pass(h *crowdHead) {
	for len(h.waiting) > 0 && len(h.running) < crowdSlots {
		h.running = append(h.running, h.waiting[0])
		h.waiting = h.waiting[1:]
	}
	h.busy = len(h.running) > 0
	if !h.busy {
		return
	}
	writers, prompts := 0, 0
	for _, one := range h.running {
		if one.read {
			writers++
		} else {
			prompts += one.call.PromptTokens
		}
	}
	step := c.engine.StepTime + time.Duration(writers)*c.engine.PerSequence
	length := crowdStride*step + time.Duration(float64(prompts)/c.engine.ReadPerSecond*float64(time.Second))
	c.after(length, func() { c.passed(h) })
}

func (c *crowd) passed(h *crowdHead) {
	var rest []*crowdCall
	for _, one := range h.running {
		switch {
		case !one.read:
			one.read = true
			c.after(crowdConstant, func() { c.began(one) })
		case one.written == 0:
			one.written += crowdStride
		default:
			one.written += crowdStride
			c.after(crowdConstant, func() { one.board.heard(c.now, one.send) })
		}
		if one.written < one.answer {
			rest = append(rest, one)
			continue
		}
		c.after(crowdConstant, func() { one.board.finish(one.send) })
	}
	h.running = rest
	c.pass(h)
}

// began notes a first event.
func (c *crowd) began(one *crowdCall) {
	one.board.heard(c.now, one.send)
	if one.first.Before(time.Unix(1_000_000, 0).Add(crowdWarm)) {
		return
	}
	if c.now.Sub(one.first) <= crowdAim {
		c.inTime++
	} else {
		c.late++
	}
}

// play returns how many answers a second came in time, and how many late.
func (c *crowd) play(rate float64) (inTime, late float64) {
	end := c.now.Add(crowdLength)
	c.arrive(rate, end)
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(crowdEvent)
		c.now = next.at
		next.do()
	}
	measured := (crowdLength - crowdWarm).Seconds()
	return float64(c.inTime) / measured, float64(c.late) / measured
}

// crowdRates are callers a second: what the heads serve well, a little more, and two
// and three times as many.
var crowdRates = []float64{90, 110, 200, 300}

// TestCrowdGetsItsAnswersInTime replays a burst: with more callers than can be served,
// as many get their answers in time as at the best load.
func TestCrowdGetsItsAnswersInTime(t *testing.T) {
	best := 0.0
	for _, rate := range crowdRates {
		c := newCrowd(t, crowdEngine())
		inTime, late := c.play(rate)
		t.Logf("%.0f a second: %.1f in time, %.1f late", rate, inTime, late)
		best = max(best, inTime)
		if inTime < 0.85*best {
			t.Errorf("%.0f callers a second: %.1f in time, where fewer callers got %.1f", rate, inTime, best)
		}
		if late > 0.3*inTime {
			t.Errorf("%.0f callers a second: %.1f late beside %.1f in time", rate, late, inTime)
		}
	}
}

// TestCrowdWithoutFiguresIsServedLate shows what the prediction is worth: where an
// engine does not say how fast it reads, requests are counted beside the slots, and a
// crowd gets most of its answers late.
func TestCrowdWithoutFiguresIsServedLate(t *testing.T) {
	silent := crowdEngine()
	silent.ReadPerSecond = 0
	c := newCrowd(t, silent)
	if inTime, late := c.play(crowdRates[2]); inTime > late {
		t.Errorf("%.1f in time and %.1f late without a prediction: the replayed load shows nothing", inTime, late)
	}
}
