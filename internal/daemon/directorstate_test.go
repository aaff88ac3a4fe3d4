package daemon

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/director"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// TestOtherNodesAreSentThatTheDirectorIsDown guards against a node whose state leaves out that its director has panicked: the other
// nodes wait for it.
func TestOtherNodesAreSentThatTheDirectorIsDown(t *testing.T) {
	log, err := event.New(io.Discard, "info", "n1", "test")
	if err != nil {
		t.Fatal(err)
	}
	// Each reconciliation panics for lack of the parts that supply its inputs.
	d := director.New(director.Config{NodeID: "n1", FailureDomain: "a"}, director.Parts{Log: log, Metrics: metrics.NewRegistry()})
	if state := directorState(d); state.GetDirectorDown() || state.GetDirectorConfined() {
		t.Error("a director that did not panic is down or confined")
	}
	if err := d.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := d.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	for deadline := time.Now().Add(30 * time.Second); !d.Confined() && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	if state := directorState(d); !state.GetDirectorDown() || !state.GetDirectorConfined() {
		t.Errorf("sent: down %t, confined %t", state.GetDirectorDown(), state.GetDirectorConfined())
	}
}
