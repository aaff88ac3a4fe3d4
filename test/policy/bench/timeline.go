package bench

import (
	"container/heap"
	"time"
)

// timeline runs what is due in the order of time, in virtual time.
type timeline struct {
	due dueHeap
	seq int
}

type dueEvent struct {
	at   time.Time
	seq  int
	what func()
}

type dueHeap []dueEvent

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueEvent)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// at plans what for the moment; equal moments run in the order of planning.
func (t *timeline) at(moment time.Time, what func()) {
	t.seq++
	heap.Push(&t.due, dueEvent{at: moment, seq: t.seq, what: what})
}

// run runs everything that is planned and gets planned meanwhile.
func (t *timeline) run() {
	for len(t.due) > 0 {
		heap.Pop(&t.due).(dueEvent).what()
	}
}
