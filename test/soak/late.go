package main

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

const (
	// While the store writes upstreams' entries late, it does so with lateShare of them, after minLateness to
	// maxLateness.
	lateShare   = 0.15
	minLateness = time.Second
	maxLateness = 5 * time.Second
	// beatInterval is the time between two writes of one upstream's entry meanwhile, and for maxLateness after it: only
	// then is an old entry that was written late replaced.
	beatInterval = time.Second
)

// lateWrites decides which entries of upstreams the store writes late. It is safe for concurrent use.
type lateWrites struct {
	mu     sync.Mutex
	random *rand.Rand
	// active counts the faults that make writes late.
	active int
}

// start sets the seed.
func (l *lateWrites) start(seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.random = rand.New(rand.NewPCG(seed, 1))
}

func (l *lateWrites) adjust(by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += by
}

// delay returns how late the store writes an entry that it receives now; 0 for at once.
func (l *lateWrites) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.active == 0 || l.random.Float64() >= lateShare {
		return 0
	}
	return randomDuration(l.random, minLateness, maxLateness)
}

// configurationDelay is how late the store answers reads of the configuration while it does so late. The list of upstreams
// then comes before the configuration at each node that starts.
const configurationDelay = 300 * time.Millisecond

// serveStore answers calls to the store, those that read the configuration late while a fault asks for it.
func (tb *testbed) serveStore(w http.ResponseWriter, r *http.Request) {
	if tb.lateConfigurations.Load() > 0 && r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, objectstore.Path+configurationCollection) {
		time.Sleep(configurationDelay)
	}
	tb.store.ServeHTTP(w, r)
}

// writeLate makes the store write entries late for the fault's duration, while each upstream writes its entry every
// beatInterval. The store counts as disturbed until the last late entry has been replaced.
func (tb *testbed) writeLate(f Fault) {
	from := time.Now()
	tb.late.adjust(1)
	tb.writeBeats(from.Add(f.For))
	tb.late.adjust(-1)
	tb.writeBeats(from.Add(f.For + maxLateness + beatInterval))
	tb.history.recordDisturbance(disturbance{node: everyNode, from: from, to: time.Now(), kind: f.Kind})
}

// writeBeats makes all upstreams write their entries, one after the other, until the given time.
func (tb *testbed) writeBeats(until time.Time) {
	for time.Now().Before(until) {
		live := tb.liveUpstreams()
		for _, u := range live {
			select {
			case <-tb.stopped:
				return
			case <-time.After(beatInterval / time.Duration(len(live))):
			}
			u.vm.RewriteEntry()
		}
	}
}
