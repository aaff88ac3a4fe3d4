package bench

import (
	"container/heap"
	"time"
)

// timeline runs scheduled events in order of their virtual times.
type timeline struct {
	events eventHeap
	seq    int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// schedule schedules run for the given time. Events of the same time run in the
// order in which they were scheduled.
func (t *timeline) schedule(moment time.Time, run func()) {
	t.seq++
	heap.Push(&t.events, event{at: moment, seq: t.seq, run: run})
}

// run runs all events, those included that are scheduled meanwhile.
func (t *timeline) run() {
	for len(t.events) > 0 {
		heap.Pop(&t.events).(event).run()
	}
}
