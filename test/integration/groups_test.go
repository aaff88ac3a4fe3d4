package integration

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	api "github.com/marbleroad/marbleroad/internal/engine"
	platformapi "github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/test/standin/engine"
	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
)

// startLoad sends model requests to all nodes until stop is called. The history checks the responses.
func (s *deployment) startLoad() (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for i, nd := range s.nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				s.call(nd, request{stream: (n+i)%2 == 0, timeout: 2 * time.Second})
			}
		}()
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// newGroupDeployment returns a deployment with one failure domain that has the given number of model VMs.
func newGroupDeployment(t *testing.T, engines int) *deployment {
	t.Helper()
	topo := smallTopology()
	topo.engines = engines
	s := newDeployment(t, topo)
	s.loadTables(topo.domains, 4, 1)
	return s
}

// awaitGroupWithout waits until the group serves at every node and the VM is not a member of it.
func (s *deployment) awaitGroupWithout(v *vm) {
	s.t.Helper()
	s.eventually("the group serves without "+v.name, func() bool {
		members := s.members(v.member.FailureDomain)
		for _, m := range members {
			if m == v {
				return false
			}
		}
		return len(members) == 4 && s.everyNode(s.serves)
	})
}

func TestKilledVMIsReplacedBySpare(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 5)
	stop := s.startLoad()
	lost := s.members("obuda")[2]
	s.killVM(lost)
	s.awaitGroupWithout(lost)
	stop()
	s.history.check()
}

func TestKilledVMStopsItsGroupUntilItReturns(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	stop := s.startLoad()
	lost := s.members("obuda")[1]
	s.killVM(lost)
	s.eventually("no node serves", func() bool {
		return s.everyNode(func(nd *node) bool { return !s.serves(nd) })
	})
	refused := s.call(s.nodes[0], request{})
	if refused.status != http.StatusServiceUnavailable || refused.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q", refused.status, refused.header.Get("Retry-After"))
	}
	s.startVM(lost)
	s.eventually("every node serves again", func() bool { return s.everyNode(s.serves) })
	stop()
	s.history.check()
}

func TestFrozenVMReturnsAfterItsGroupMovedOn(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 5)
	stop := s.startLoad()
	frozen := s.members("obuda")[3]
	frozen.engine.Freeze()
	s.history.setAlive(frozen.name, false)
	s.awaitNewerGeneration(frozen)
	s.history.setAlive(frozen.name, true)
	frozen.engine.Thaw()
	s.eventually("the returned VM is released", func() bool { return frozen.engine.Order().Group == "" })
	s.eventually("every node serves", func() bool { return s.everyNode(s.serves) })
	stop()
	s.history.check()
}

// awaitNewerGeneration waits until the group serves in a newer generation than the one in the VM's order. Unlike
// awaitGroupWithout it works for a frozen VM, which still holds its old order.
func (s *deployment) awaitNewerGeneration(v *vm) {
	s.t.Helper()
	old := v.engine.Order().Generation
	s.eventually("the group serves in a newer generation", func() bool {
		newer := 0
		for _, m := range s.members(v.member.FailureDomain) {
			if m.engine.Order().Generation > old {
				newer++
			}
		}
		return newer == 4 && s.everyNode(s.serves)
	})
}

func TestFabricDomainOutageRecovers(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 5)
	stop := s.startLoad()
	for _, v := range s.vms {
		if v.engine != nil {
			s.killVM(v)
		}
	}
	s.eventually("no node serves", func() bool {
		return s.everyNode(func(nd *node) bool { return !s.serves(nd) })
	})
	for _, v := range s.vms {
		if v.engine != nil {
			s.startVM(v)
		}
	}
	s.eventually("every node serves again", func() bool { return s.everyNode(s.serves) })
	stop()
	s.history.check()
}

// TestVMCutFromOneEntryOnly partitions a group's head from one entry. The group is complete, so the other entry
// keeps serving. The partitioned entry rejects requests as not run or spills them, and never with a wrong verdict.
func TestVMCutFromOneEntryOnly(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	stop := s.startLoad()
	leader := s.members("obuda")[0]
	leader.proxy.SetFrom(s.nodes[0].ip, faultproxy.Refuse)
	for range 20 {
		if a := s.call(s.nodes[1], request{}); a.status != http.StatusOK {
			t.Errorf("the other entry responded %d %s", a.status, a.body)
		}
		s.call(s.nodes[0], request{timeout: time.Second})
	}
	leader.proxy.SetFrom(s.nodes[0].ip, faultproxy.Pass)
	s.eventually("every node serves", func() bool { return s.everyNode(s.serves) })
	stop()
	s.history.check()
}

// TestLaggingMembershipList replaces a killed VM and takes it back while the membership list shows each change only
// 1.5 s later.
func TestLaggingMembershipList(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 5)
	s.platform.SetLag(1500 * time.Millisecond)
	stop := s.startLoad()
	lost := s.members("obuda")[2]
	s.killVM(lost)
	s.platform.RemoveMember(lost.name)
	s.awaitGroupWithout(lost)
	s.startVM(lost)
	s.platform.SetMember(lost.member)
	s.eventually("every node serves", func() bool { return s.everyNode(s.serves) })
	stop()
	s.history.check()
}

// sendStaleOrder sends an order to a VM as a control process would that was paused and acts on an old plan. It
// returns the response's status.
func sendStaleOrder(t *testing.T, v *vm, o api.Order) int {
	t.Helper()
	body, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+v.addr+"/v1/assign", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

func TestStaleOrderToEngineThatIgnoresFencing(t *testing.T) {
	t.Parallel()
	topo := smallTopology()
	topo.engineConfig = engine.DefaultConfig()
	topo.engineConfig.Fenced = false
	s := newDeployment(t, topo)
	s.loadTables(topo.domains, 4, 1)
	stop := s.startLoad()
	for range 5 {
		v := s.members("obuda")[1]
		sendStaleOrder(t, v, api.Order{Group: "old-0", Service: "nowcast", Generation: 1, Size: 4, Fence: 0})
		s.eventually("the VM is back in its group", func() bool { return v.engine.Order().Group == "g-obuda-0" })
		s.eventually("every node serves", func() bool { return s.everyNode(s.serves) })
	}
	stop()
	s.history.check()
}

func TestStaleOrderToEngineThatChecksFencing(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	v := s.members("obuda")[1]
	if code := sendStaleOrder(t, v, api.Order{Group: "old-0", Generation: 1, Size: 4, Fence: 0}); code != http.StatusConflict {
		t.Errorf("a stale order got status %d", code)
	}
	s.history.check()
}

// TestPausedPlanner pauses one control process after the other for longer than every lease, replaces a VM during
// the pause, and resumes the process.
func TestPausedPlanner(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 6)
	stop := s.startLoad()
	for _, nd := range s.nodes {
		nd.control.signal(stopSignal)
		lost := s.members("obuda")[1]
		s.killVM(lost)
		s.awaitGroupWithout(lost)
		nd.control.signal(contSignal)
		s.startVM(lost)
		s.eventually("every node serves", func() bool { return s.everyNode(s.serves) })
	}
	stop()
	s.history.check()
}

func TestPlanWriteWhoseAnswerIsLost(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 6)
	stop := s.startLoad()
	for range 2 {
		s.platform.LoseResponses(2)
		lost := s.members("obuda")[1]
		s.killVM(lost)
		s.awaitGroupWithout(lost)
	}
	stop()
	s.history.check()
}

// TestVMAndPlatformLostTogether kills a VM while the platform is down. The VM's group stops serving, and forms
// again without the VM when the platform is back.
func TestVMAndPlatformLostTogether(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 5)
	stop := s.startLoad()
	lost := s.members("obuda")[0]
	s.platform.SetDown(true)
	s.killVM(lost)
	s.eventually("no node serves", func() bool {
		return s.everyNode(func(nd *node) bool { return !s.serves(nd) })
	})
	s.platform.SetDown(false)
	s.awaitGroupWithout(lost)
	stop()
	s.history.check()
}

// awaitNewWork waits until every node sends requests to the VM, so that the previous announcement can't be the
// reason when they stop next.
func (s *deployment) awaitNewWork(v *vm) {
	s.t.Helper()
	for _, nd := range s.nodes {
		s.eventually(nd.id+" sends work to the VM again", func() bool {
			before := v.plain.Total()
			for range 10 {
				s.call(nd, request{path: "/services/tiles/x", method: "GET"})
			}
			return v.plain.Total() > before
		})
	}
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, smallTopology())
	s.loadTables([]string{"obuda"}, 4, 1)
	v := s.vms["obuda-tiles-1"]

	v.member.State = platformapi.Leaving
	s.platform.SetMember(v.member)
	s.checkNoNewWork(v, "the membership list")
	v.member.State = platformapi.Live
	s.platform.SetMember(v.member)
	s.awaitNewWork(v)

	v.plain.SetLeaving(true)
	s.checkNoNewWork(v, "its own report")
	v.plain.SetLeaving(false)
	s.awaitNewWork(v)

	if out, code := s.ctl(s.nodes[0], "drain", v.name); code != 0 {
		t.Fatal(out)
	}
	s.checkNoNewWork(v, "drain")
	s.history.check()
}

func TestLeavingUpstreamWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, smallTopology())
	s.loadTables([]string{"obuda"}, 4, 1)
	v := s.vms["obuda-tiles-1"]
	s.platform.SetDown(true)
	v.plain.SetLeaving(true)
	s.checkNoNewWork(v, "its own report, platform down")
	v.plain.SetLeaving(false)
	s.awaitNewWork(v)
	if out, code := s.ctl(s.nodes[0], "drain", v.name); code != 0 {
		t.Fatal(out)
	}
	s.checkNoNewWork(v, "drain, platform down")
	s.platform.SetDown(false)
	s.eventually("the drain is stored", func() bool {
		out, _ := s.ctl(s.nodes[1], "table", "get", "vms", "-o", "csv")
		return bytes.Contains([]byte(out), []byte(v.name+",1,yes"))
	})
	s.checkNoNewWork(v, "drain, platform back")
	s.history.check()
}

// TestLeavingUpstreamWhileEntryIsCutOff checks that an entry whose node is partitioned from its peers sends no new
// requests to a VM that reports that it is leaving. It gets this report from its own node's control process.
func TestLeavingUpstreamWhileEntryIsCutOff(t *testing.T) {
	t.Parallel()
	s := newDeployment(t, smallTopology())
	s.loadTables([]string{"obuda"}, 4, 1)
	v := s.vms["obuda-tiles-1"]
	s.awaitNewWork(v)
	s.partitionNode(s.nodes[0], faultproxy.Freeze)
	v.plain.SetLeaving(true)
	s.checkNoNewWork(v, "its own report, one entry partitioned")
	s.partitionNode(s.nodes[0], faultproxy.Pass)
	s.history.check()
}
