package director

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/demand"
)

// TestSurgeDissolvesNoGroups guards against a director that dissolves groups of one model for a surge of 3 s of the
// other one. Lasting demand does dissolve them.
func TestSurgeDissolvesNoGroups(t *testing.T) {
	for _, c := range []struct {
		name    string
		smallIn demand.Groups
		expect  bool
	}{
		{"surge", demand.Groups{Smoothed: 1, Surge: 12, Unmet: 8}, false},
		{"lasting demand", demand.Groups{Smoothed: 12, Surge: 12, Unmet: 8}, true},
	} {
		w := newWorld(t, 4, 8)
		n := w.addNode(t, "n1")
		dissolved := func() bool {
			for _, gs := range n.s.groups {
				if gs.dissolving {
					return true
				}
			}
			return false
		}
		calm := demand.Groups{Smoothed: 1, Surge: 1}
		n.work = demand.Models{ByModel: map[string]demand.Groups{"big": {Smoothed: 7, Surge: 7}, "small": calm}, Measured: true}
		w.run(time.Minute, func() bool { return w.servingGroups() >= 8 })
		n.traffic = true
		w.run(20*time.Second, dissolved)
		if dissolved() || w.servingGroups() == 0 {
			t.Fatalf("%s: %d groups serve before it", c.name, w.servingGroups())
		}
		n.work.ByModel["small"] = c.smallIn
		w.run(3*time.Second, dissolved)
		if dissolved() != c.expect {
			t.Errorf("%s: groups of the big model were dissolved: %v", c.name, dissolved())
		}
	}
}
