package cluster

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/backpressure"
)

// Bounds on the requests that a VM with a limit receives. Any window of length limitWindow that
// starts at least limitGrace after the first requests may hold at most limitFactor times the
// requests that the limit allows in it, plus limitExtra. Until limitGrace has passed the nodes may
// exceed the bound.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitGrace  = 3 * time.Second
	// requestsPerNode is the number of callers' requests per second at each node.
	requestsPerNode = 5
)

// limitedVM simulates an upstream VM that reports a limit, and the nodes that send requests to it.
type limitedVM struct {
	incarnation backpressure.Incarnation
	limit       float64
	fleet       *testFleet

	mu     sync.Mutex
	tables map[string]*backpressure.Table
	// nodes are the nodes that receive callers' requests.
	nodes []*testNode
	// arrivals are the times of requests from nodes that know the limit; uninformed counts the
	// requests from nodes that do not.
	arrivals   []time.Time
	uninformed int
	// sharing returns the nodes that share the limit.
	sharing func(*testNode) backpressure.Sharing
}

// attach makes a node record the VM's limit and send it to other nodes.
func (v *limitedVM) attach(n *testNode) {
	table := backpressure.NewTable()
	v.mu.Lock()
	v.tables[n.config.Self.ID] = table
	v.nodes = append(v.nodes, n)
	v.mu.Unlock()
	plain := n.state
	n.state = func() *marbleroadv1.NodeState {
		out := plain()
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, r := range table.Records(64) {
			out.Conditions = append(out.Conditions, r.Encode(time.Now()))
		}
		return out
	}
	n.OnPeer(func(s *marbleroadv1.NodeState, at time.Time) {
		v.mu.Lock()
		defer v.mu.Unlock()
		for _, c := range s.GetConditions() {
			table.Merge(time.Now(), backpressure.Decode(c, at), true)
		}
	})
}

// request simulates one request at a node that could send it to the VM. A node that does not know the
// VM's limit does so with probability p; one that knows it does so whenever the limit allows it.
func (v *limitedVM) request(n *testNode, p float64, random *rand.Rand) {
	now := time.Now()
	sharing := v.sharing(n)
	v.mu.Lock()
	defer v.mu.Unlock()
	table := v.tables[n.config.Self.ID]
	_, known := table.Limit(v.incarnation)
	switch {
	case !known && random.Float64() >= p:
		return
	case !known:
		v.uninformed++
	case table.Check(now, v.incarnation, 0, func() backpressure.Sharing { return sharing }).Throttled:
		return
	default:
		table.RecordSent(now, v.incarnation)
		v.arrivals = append(v.arrivals, now)
	}
	if table.Observe(now, now, v.incarnation, backpressure.Signals{Limited: true, Limit: v.limit}) == backpressure.LimitSet {
		n.TriggerExchange()
	}
}

// maxInWindow returns the largest number of arrivals in a window that starts after the grace time.
func (v *limitedVM) maxInWindow(since time.Time) int {
	maxCount := 0
	for i, at := range v.arrivals {
		count := 0
		for _, later := range v.arrivals[i:] {
			if later.Sub(at) < limitWindow {
				count++
			}
		}
		if at.Sub(since) >= limitGrace {
			maxCount = max(maxCount, count)
		}
	}
	return maxCount
}

// serve simulates callers: it makes requests at random nodes for the given time, at a total rate per
// second.
func (v *limitedVM) serve(rate float64, length time.Duration, random *rand.Rand) {
	// vmShare is the fraction of its requests that a node sends to this VM while it knows no limit.
	const vmShare = 0.05
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		v.request(v.randomNode(random), vmShare, random)
	}
}

func (v *limitedVM) randomNode(random *rand.Rand) *testNode {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.nodes[random.IntN(len(v.nodes))]
}

// runLimited runs count nodes that send requests to a VM with a limit, and disturbs the nodes
// meanwhile. It returns the largest number of arrivals in a window and the fraction of the limit that
// is used.
func runLimited(t *testing.T, count int, limit float64, seed uint64, sharingOf func(*testNode) backpressure.Sharing, disturb func(*limitedVM, *rand.Rand)) (worst int, used float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	f := newNodes(t, count)
	v := &limitedVM{incarnation: backpressure.Incarnation{VM: "vm", Born: 7}, limit: limit, fleet: f, tables: make(map[string]*backpressure.Table), sharing: sharingOf}
	for i := range count {
		v.attach(f.node(fmt.Sprintf("n%03d", i)))
	}
	for _, n := range f.nodes {
		n.startLoops()
	}
	defer f.stop()
	time.Sleep(5 * time.Second)
	startedAt := time.Now()
	const length = 24 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		disturb(v, random)
	}()
	v.serve(float64(requestsPerNode*count), length, rand.New(rand.NewPCG(seed, 1)))
	<-done
	return v.maxInWindow(startedAt), float64(len(v.arrivals)) / length.Seconds() / limit
}

func noDisturbance(*limitedVM, *rand.Rand) {}

// partitionNodes partitions nodes from all others, but not from the VM, for some seconds each.
func partitionNodes(v *limitedVM, random *rand.Rand) {
	for range 9 {
		time.Sleep(2 * time.Second)
		n := v.fleet.node(fmt.Sprintf("n%03d", random.IntN(len(v.tables))))
		n.partitioned.Store(true)
		time.AfterFunc(time.Duration(1+random.IntN(6))*time.Second, func() { n.partitioned.Store(false) })
	}
}

// partitionHalf partitions every second node from all others for ten seconds.
func partitionHalf(v *limitedVM, _ *rand.Rand) {
	time.Sleep(8 * time.Second)
	for i := range len(v.tables) {
		n := v.fleet.node(fmt.Sprintf("n%03d", i))
		n.partitioned.Store(i%2 == 0)
		time.AfterFunc(10*time.Second, func() { n.partitioned.Store(false) })
	}
}

// restartNodes makes nodes lose their tables and start again.
func restartNodes(v *limitedVM, random *rand.Rand) {
	for range 9 {
		time.Sleep(2 * time.Second)
		id := fmt.Sprintf("n%03d", random.IntN(len(v.tables)))
		n := v.fleet.node(id)
		n.partitioned.Store(true)
		time.Sleep(time.Duration(100+random.IntN(1500)) * time.Millisecond)
		v.mu.Lock()
		*v.tables[id] = *backpressure.NewTable()
		v.mu.Unlock()
		n.partitioned.Store(false)
	}
}

// delayExchanges makes each node's calls to others take nearly the full timeout.
func delayExchanges(v *limitedVM, _ *rand.Rand) {
	for _, n := range v.nodes {
		n.extraDelay.Store(int64(shareTimeout - shareTimeout/10))
	}
}

// addNodes adds nodes, some of the VM's failure domain among them, and partitions some of the
// others for good.
func addNodes(v *limitedVM, random *rand.Rand) {
	for i := range 5 {
		time.Sleep(2 * time.Second)
		v.randomNode(random).partitioned.Store(true)
		n := v.fleet.add(len(v.fleet.nodes) + i)
		v.attach(n)
		n.startLoops()
	}
}

// TestLimitHoldsOverAllNodes: 8 and 295 nodes together keep to one VM's limit, also while some are
// partitioned from each other and still reach the VM, or restart with empty tables.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	disturbances := map[string]func(*limitedVM, *rand.Rand){"calm": noDisturbance, "cut": partitionNodes, "halves": partitionHalf, "restarts": restartNodes, "late": delayExchanges, "joins": addNodes}
	for _, count := range []int{8, 295} {
		for _, limit := range []float64{1.7, 20} {
			for name, disturb := range disturbances {
				if count > maxFlatNodes && limit > requestsPerNode && name != "cut" {
					continue
				}
				t.Run(fmt.Sprintf("%d/%v/%s", count, limit, name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						worst, used := runLimited(t, count, limit, 1, byFailureDomain, disturb)
						t.Logf("%d requests in %v at worst, %.2f of the limit used", worst, limitWindow, used)
						if float64(worst) > limitFactor*limit*limitWindow.Seconds()+limitExtra {
							t.Errorf("%d requests in %v from nodes that knew a limit of %v a second", worst, limitWindow, limit)
						}
						if name == "calm" && limit < requestsPerNode && used < 0.5 {
							t.Errorf("%.2f of the limit used", used)
						}
					})
				})
			}
		}
	}
}

func byFailureDomain(n *testNode) backpressure.Sharing { return n.Sharing(time.Now(), "d0") }
