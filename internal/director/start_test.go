package director

import (
	"testing"
	"time"
)

// TestListBeforeTheConfigurationIsRead guards against a list of VMs that came before the configuration and counted as read: the
// director managed its failure domain without the state of any group, and panicked.
func TestListBeforeTheConfigurationIsRead(t *testing.T) {
	w := newWorld(t, 2, 8)
	n := w.addNode(t, "n1")
	w.run(20*time.Second, func() bool { return false })
	before := w.servingGroups()
	if before == 0 {
		t.Fatal("no group serves")
	}
	n.restart(100 * time.Millisecond)
	w.run(3*time.Second, func() bool { return false })
	if got := w.servingGroups(); got != before || len(n.s.groups) < before {
		t.Errorf("%d groups serve, and the director knows %d, of %d", got, len(n.s.groups), before)
	}
	w.check(t)
}
