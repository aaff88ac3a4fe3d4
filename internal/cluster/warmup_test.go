package cluster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marbleroad/marbleroad/internal/backpressure"
)

const (
	// warmupRate is the rate of requests that the VM tolerates while it warms up, warmupMaxPerSecond
	// the number that it may receive within a second.
	warmupRate         = 14
	warmupMaxPerSecond = 26
	// warmupRequestsPerNode is the number of callers' requests per second at each node.
	warmupRequestsPerNode = 10
	// maxListDelay is how long the platform's list takes to show a node that a VM is warming up.
	maxListDelay = 1500 * time.Millisecond
	// warmupTime is long enough for all disturbances.
	warmupTime = 25 * time.Second
)

// warmingVM simulates an upstream VM that starts during traffic. Nodes learn of the VM and of its
// warm-up together, each after a delay of its own, and then send it every request that they may.
type warmingVM struct {
	limitedVM
	until time.Time
	// learnsAt and startedAt are when a node learns of the VM, and when its process has started.
	learnsAt  map[string]time.Time
	startedAt map[string]time.Time
}

// request simulates one request at a node.
func (v *warmingVM) request(n *testNode, random *rand.Rand) {
	now, id := time.Now(), n.config.Self.ID
	sharing := v.sharing(n)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.learnsAt[id].IsZero() {
		v.learnsAt[id] = now.Add(rand.N(maxListDelay))
	}
	table := v.tables[id]
	if table.Empty() {
		// The node is new to the VM or has restarted.
		v.startedAt[id] = now
	}
	if now.Before(v.learnsAt[id]) {
		return
	}
	table.MarkWarming(now, v.incarnation, backpressure.Warmup{Until: v.until, Rate: warmupRate, MaxPerSecond: warmupMaxPerSecond,
		UsableAt: v.startedAt[id].Add(backpressure.HandoverDelay)}, false)
	if table.Check(now, v.incarnation, 0, func() backpressure.Sharing { return sharing }).Throttled {
		return
	}
	table.RecordSent(now, v.incarnation)
	v.arrivals = append(v.arrivals, now)
}

// maxInSecond returns the largest number of arrivals within a second.
func (v *warmingVM) maxInSecond() int {
	maxCount, first := 0, 0
	for i, at := range v.arrivals {
		for at.Sub(v.arrivals[first]) >= time.Second {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}

// runWarming lets count nodes send as many requests as they may to a VM that warms up, and disturbs the
// nodes meanwhile. It returns the largest number of arrivals in a second and the mean rate.
func runWarming(t *testing.T, count int, disturb func(*limitedVM, *rand.Rand)) (worst int, rate float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(3, uint64(count)))
	f := newNodes(t, count)
	v := &warmingVM{learnsAt: make(map[string]time.Time), startedAt: make(map[string]time.Time)}
	v.limitedVM = limitedVM{incarnation: backpressure.Incarnation{VM: "vm", Born: 7}, fleet: f, tables: make(map[string]*backpressure.Table), sharing: byFailureDomain}
	for i := range count {
		v.attach(f.node(fmt.Sprintf("n%03d", i)))
	}
	for _, n := range f.nodes {
		n.startLoops()
	}
	defer f.stop()
	time.Sleep(5 * time.Second)
	v.until = time.Now().Add(warmupTime)
	done := make(chan struct{})
	go func() {
		defer close(done)
		disturb(&v.limitedVM, random)
	}()
	arrivals := rand.New(rand.NewPCG(4, uint64(count)))
	for time.Now().Before(v.until) {
		time.Sleep(time.Duration(arrivals.ExpFloat64() / float64(warmupRequestsPerNode*count) * float64(time.Second)))
		v.request(v.randomNode(arrivals), arrivals)
	}
	<-done
	return v.maxInSecond(), float64(len(v.arrivals)) / warmupTime.Seconds()
}

// restartAll makes all nodes restart at the same time, twice.
func restartAll(v *limitedVM, _ *rand.Rand) {
	for range 2 {
		time.Sleep(8 * time.Second)
		v.mu.Lock()
		for _, table := range v.tables {
			*table = *backpressure.NewTable()
		}
		v.mu.Unlock()
	}
}

// TestWarmupBoundHoldsOverAllNodes: many nodes together overloaded a VM that had just started, whether they
// were connected, partitioned from each other, restarted or new.
func TestWarmupBoundHoldsOverAllNodes(t *testing.T) {
	disturbances := map[string]func(*limitedVM, *rand.Rand){"calm": noDisturbance, "cut": partitionNodes, "halves": partitionHalf,
		"restarts": restartNodes, "all": restartAll, "late": delayExchanges, "joins": addNodes}
	for _, count := range []int{8, 90, 295} {
		for name, disturb := range disturbances {
			if count > 90 && name != "all" {
				continue
			}
			t.Run(fmt.Sprintf("%d/%s", count, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					worst, rate := runWarming(t, count, disturb)
					t.Logf("%d requests in a second at worst, %.1f a second in the mean", worst, rate)
					if worst > warmupMaxPerSecond {
						t.Errorf("%d requests in a second, allowed %d", worst, warmupMaxPerSecond)
					}
					if name == "calm" && rate < warmupRate/2 {
						t.Errorf("%.1f requests a second of %d are used", rate, warmupRate)
					}
				})
			})
		}
	}
}
