package director

import (
	"testing"

	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// TestGenerationsRiseAcrossARestore guards against a new director that gives out a generation again which another
// one used in the seconds that a restore of the store took back.
func TestGenerationsRiseAcrossARestore(t *testing.T) {
	before := &state{snapshot: &fleet.Snapshot{Revision: platform.JoinRevision(1, 1005)}}
	last := before.nextGeneration()
	last = max(last, before.nextGeneration())
	after := &state{snapshot: &fleet.Snapshot{Revision: platform.JoinRevision(2, 1001)}}
	if next := after.nextGeneration(); next <= last {
		t.Errorf("generation %d after %d", next, last)
	}
}
