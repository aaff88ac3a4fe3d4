package director

import (
	"testing"
	"time"
)

// TestCallsOnACalmDay guards against directors that query VMs more often than their decisions need: once for each VM before its
// first order, and a few times for each group that is dissolved.
func TestCallsOnACalmDay(t *testing.T) {
	const maxReportsPerDissolution = 3
	w := newWorld(t, 4, 8)
	n := w.addNode(t, "n1")
	w.run(6*time.Second, func() bool { return w.servingGroups() >= 10 })
	n.traffic = true
	w.run(time.Minute, func() bool { return false })
	if w.servingGroups() < 10 || n.reports > len(w.vms) {
		t.Errorf("%d groups serve after %d reports of %d VMs", w.servingGroups(), n.reports, len(w.vms))
	}
	formed, dissolved := n.reports, 0
	for fabric := range 4 {
		w.vms[vmID(fabric, 0)].Draining = true
		dissolved++
	}
	w.run(time.Minute, func() bool { return false })
	if got := n.reports - formed; got > maxReportsPerDissolution*dissolved {
		t.Errorf("%d reports for %d groups that were dissolved", got, dissolved)
	}
	t.Logf("%d reports and %d orders", n.reports, n.orders)
}
