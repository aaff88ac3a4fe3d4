package wire

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/presence"
	_ "github.com/marbleroad/marbleroad/test/seed"
)

// TestWitnessTableRoundTrip sends changing witnesses through tables, with
// delays and restarts of the reader: what arrives is what was sent, and no
// witness ever looks fresher than it is.
func TestWitnessTableRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		reader := &WitnessReader{}
		var all []presence.ProbeResult
		for i := range rapid.IntRange(0, 5).Draw(t, "vms") {
			all = append(all, presence.ProbeResult{VM: fmt.Sprint("vm-", i), SentAt: now})
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				w := &all[rapid.IntRange(0, len(all)-1).Draw(t, "i")]
				w.Group = rapid.SampledFrom([]string{"", "g-0", "g-1"}).Draw(t, "group")
				w.Generation = rapid.Uint64Range(0, 3).Draw(t, "generation")
				w.Ready = rapid.Bool().Draw(t, "ready")
				w.Terminated = rapid.Bool().Draw(t, "gone")
				w.InFlight = rapid.IntRange(0, 100).Draw(t, "in flight")
				w.SentAt = now
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(*rapid.T) { reader = &WitnessReader{} },
			"read": func(t *rapid.T) {
				asked := now
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "delay ms")) * time.Millisecond)
				got, err := reader.Read(WitnessTable(all, now, reader.Epoch()), asked)
				if err != nil {
					t.Fatal(err)
				}
				for i, w := range got {
					if w.SentAt.After(all[i].SentAt) {
						t.Fatalf("%s looks %s fresher than it is", w.VM, w.SentAt.Sub(all[i].SentAt))
					}
					w.SentAt = all[i].SentAt
					if w != all[i] {
						t.Fatalf("got %+v, want %+v", w, all[i])
					}
				}
				if len(got) != len(all) {
					t.Fatalf("%d witnesses, want %d", len(got), len(all))
				}
			},
		})
	})
}

func TestForeignTableIsRefused(t *testing.T) {
	reader := &WitnessReader{}
	bad := &marbleroadv1.WitnessTable{Epoch: 7, Ages: []uint32{1, 2}}
	if _, err := reader.Read(bad, time.Now()); err == nil {
		t.Error("ages without VMs were taken")
	}
	if reader.Epoch() != 0 {
		t.Error("a refused table is remembered")
	}
}
