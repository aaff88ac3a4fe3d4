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

// Bounds on what a VM that names a limit gets: in any window so many times the limit, and some requests,
// from when its limit has been known for long enough.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitGrace  = 3 * time.Second
	// callersPerNode is how many requests a second come to each node.
	callersPerNode = 5
)

// limitedVM is an upstream VM that names a limit to whoever sends to it, and the nodes that do.
type limitedVM struct {
	life  backpressure.Incarnation
	limit float64
	fleet *fleetOfNodes

	mu     sync.Mutex
	tables map[string]*backpressure.Table
	// nodes are those that callers come to.
	nodes []*testNode
	// arrivals are from nodes that know the limit, strays from others.
	arrivals []time.Time
	strays   int
	// sharing is the way to divide the limit.
	sharing func(*testNode) backpressure.Sharing
}

// follow has a node know what the VM says, and tell others.
func (v *limitedVM) follow(n *testNode) {
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

// ask is one request at a node that could go to the VM.
func (v *limitedVM) ask(n *testNode, chance float64, random *rand.Rand) {
	now := time.Now()
	sharing := v.sharing(n)
	v.mu.Lock()
	defer v.mu.Unlock()
	table := v.tables[n.config.Self.ID]
	_, told := table.Limit(v.life)
	switch {
	case !told && random.Float64() >= chance:
		return
	case !told:
		v.strays++
	case table.Check(now, v.life, 0, func() backpressure.Sharing { return sharing }).Throttled:
		return
	default:
		table.RecordSent(now, v.life)
		v.arrivals = append(v.arrivals, now)
	}
	if table.Observe(now, now, v.life, backpressure.Signals{Limited: true, Limit: v.limit}) == backpressure.LimitSet {
		n.Nudge()
	}
}

// worst is the most that came within a window that begins after the grace time.
func (v *limitedVM) worst(since time.Time) int {
	most := 0
	for i, at := range v.arrivals {
		count := 0
		for _, later := range v.arrivals[i:] {
			if later.Sub(at) < limitWindow {
				count++
			}
		}
		if at.Sub(since) >= limitGrace {
			most = max(most, count)
		}
	}
	return most
}

// serve has callers come to random nodes for a time, so many a second over all of them.
func (v *limitedVM) serve(rate float64, length time.Duration, random *rand.Rand) {
	const usualPart = 0.05
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		v.ask(v.anyNode(random), usualPart, random)
	}
}

func (v *limitedVM) anyNode(random *rand.Rand) *testNode {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.nodes[random.IntN(len(v.nodes))]
}

// limitOver plays a VM with a limit before so many nodes; trouble comes to nodes while callers do.
func limitOver(t *testing.T, count int, limit float64, seed uint64, way func(*testNode) backpressure.Sharing, trouble func(*limitedVM, *rand.Rand)) (worst int, used float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, uint64(count)))
	f := newNodes(t, count)
	v := &limitedVM{life: backpressure.Incarnation{VM: "vm", Born: 7}, limit: limit, fleet: f, tables: make(map[string]*backpressure.Table), sharing: way}
	for i := range count {
		v.follow(f.node(fmt.Sprintf("n%03d", i)))
	}
	for _, n := range f.nodes {
		n.begin()
	}
	defer f.end()
	time.Sleep(5 * time.Second)
	began := time.Now()
	const length = 24 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		trouble(v, random)
	}()
	v.serve(float64(callersPerNode*count), length, rand.New(rand.NewPCG(seed, 1)))
	<-done
	return v.worst(began), float64(len(v.arrivals)) / length.Seconds() / limit
}

func calm(*limitedVM, *rand.Rand) {}

// cutNodes cuts nodes off from all others, and not from the VM, for some seconds each.
func cutNodes(v *limitedVM, random *rand.Rand) {
	for range 9 {
		time.Sleep(2 * time.Second)
		n := v.fleet.node(fmt.Sprintf("n%03d", random.IntN(len(v.tables))))
		n.cut.Store(true)
		time.AfterFunc(time.Duration(1+random.IntN(6))*time.Second, func() { n.cut.Store(false) })
	}
}

// cutHalf cuts every second node off from the others for ten seconds: those that are cut hear nobody.
func cutHalf(v *limitedVM, _ *rand.Rand) {
	time.Sleep(8 * time.Second)
	for i := range len(v.tables) {
		n := v.fleet.node(fmt.Sprintf("n%03d", i))
		n.cut.Store(i%2 == 0)
		time.AfterFunc(10*time.Second, func() { n.cut.Store(false) })
	}
}

// restartNodes has nodes forget all that they know and start again.
func restartNodes(v *limitedVM, random *rand.Rand) {
	for range 9 {
		time.Sleep(2 * time.Second)
		id := fmt.Sprintf("n%03d", random.IntN(len(v.tables)))
		n := v.fleet.node(id)
		n.cut.Store(true)
		time.Sleep(time.Duration(100+random.IntN(1500)) * time.Millisecond)
		v.mu.Lock()
		*v.tables[id] = *backpressure.NewTable()
		v.mu.Unlock()
		n.cut.Store(false)
	}
}

// delayNews has each node's calls to others take nearly as long as they may.
func delayNews(v *limitedVM, _ *rand.Rand) {
	for _, n := range v.nodes {
		n.late.Store(int64(shareTimeout - shareTimeout/10))
	}
}

// addNodes has nodes join, some of the VM's failure domain among them, and cuts some of the others off for good.
func addNodes(v *limitedVM, random *rand.Rand) {
	for i := range 5 {
		time.Sleep(2 * time.Second)
		v.anyNode(random).cut.Store(true)
		n := v.fleet.add(len(v.fleet.nodes) + i)
		v.follow(n)
		n.begin()
	}
}

// TestLimitHoldsOverAllNodes: 8 and 295 nodes keep to one VM's limit in sum, also while some are cut off
// from each other and still reach the VM, or start again and know nothing.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	troubles := map[string]func(*limitedVM, *rand.Rand){"calm": calm, "cut": cutNodes, "halves": cutHalf, "restarts": restartNodes, "late": delayNews, "joins": addNodes}
	for _, count := range []int{8, 295} {
		for _, limit := range []float64{1.7, 20} {
			for name, trouble := range troubles {
				if count > flatNodes && limit > callersPerNode && name != "cut" {
					continue
				}
				t.Run(fmt.Sprintf("%d/%v/%s", count, limit, name), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						worst, used := limitOver(t, count, limit, 1, byFailureDomain, trouble)
						t.Logf("%d requests in %v at worst, %.2f of the limit used", worst, limitWindow, used)
						if float64(worst) > limitFactor*limit*limitWindow.Seconds()+limitExtra {
							t.Errorf("%d requests in %v from nodes that knew a limit of %v a second", worst, limitWindow, limit)
						}
						if name == "calm" && limit < callersPerNode && used < 0.5 {
							t.Errorf("%.2f of the limit used", used)
						}
					})
				})
			}
		}
	}
}

func byFailureDomain(n *testNode) backpressure.Sharing { return n.Sharing(time.Now(), "d0") }
