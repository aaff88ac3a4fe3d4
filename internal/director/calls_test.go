package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/engine"
)

// TestCallsOnACalmDay guards against directors that query VMs more often than their decisions need: once for each VM before its
// first order, and a few times for each group that is dissolved.
func TestCallsOnACalmDay(t *testing.T) {
	const maxReportsPerDissolution = 4
	w := newWorld(t, 4, 8)
	w.reportLag = 250 * time.Millisecond
	refused, dissolved := 0, 0
	w.chooseOutcome = func(e *engineVM, o engine.GroupOrder) orderOutcome {
		if o.AcceptedOrders != e.accepted {
			refused++
		}
		if o.Operation == engine.Leave {
			dissolved++
		}
		return executed
	}
	n := w.addNode(t, "n1")
	w.run(6*time.Second, func() bool { return w.servingGroups() >= 10 })
	n.traffic = true
	w.run(time.Minute, func() bool { return false })
	if w.servingGroups() < 10 || n.reports > len(w.vms) {
		t.Errorf("%d groups serve after %d reports of %d VMs", w.servingGroups(), n.reports, len(w.vms))
	}
	formed := n.reports
	for fabric := range 4 {
		w.vms[vmID(fabric, 0)].Draining = true
	}
	w.run(time.Minute, func() bool { return false })
	if got := n.reports - formed; got > maxReportsPerDissolution*dissolved {
		t.Errorf("%d reports for %d groups that were dissolved", got, dissolved)
	}
	if refused > 0 {
		t.Errorf("%d orders carried an outdated count", refused)
	}
	t.Logf("%d reports and %d orders", n.reports, n.orders)
}
