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

// TestWitnessTableRoundTrip encodes and decodes changing probe results, with delays
// and restarts of the reader. The decoded results must equal the encoded ones, and
// none may look newer than it is.
func TestWitnessTableRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		reader := &WitnessReader{}
		var sent []presence.ProbeResult
		for i := range rapid.IntRange(0, 5).Draw(t, "vms") {
			sent = append(sent, presence.ProbeResult{VM: fmt.Sprint("vm-", i), SentAt: now})
		}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				if len(sent) == 0 {
					return
				}
				w := &sent[rapid.IntRange(0, len(sent)-1).Draw(t, "i")]
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
				requestedAt := now
				now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "delay ms")) * time.Millisecond)
				received, err := reader.Read(WitnessTable(sent, now, reader.Epoch()), requestedAt)
				if err != nil {
					t.Fatal(err)
				}
				for i, w := range received {
					if w.SentAt.After(sent[i].SentAt) {
						t.Fatalf("%s looks %s newer than it is", w.VM, w.SentAt.Sub(sent[i].SentAt))
					}
					w.SentAt = sent[i].SentAt
					if w != sent[i] {
						t.Fatalf("got %+v, want %+v", w, sent[i])
					}
				}
				if len(received) != len(sent) {
					t.Fatalf("%d probe results, want %d", len(received), len(sent))
				}
			},
		})
	})
}

// TestMismatchedWitnessTableIsRefused: a table with ages but without the full list of its epoch must be
// refused and leave no known epoch.
func TestMismatchedWitnessTableIsRefused(t *testing.T) {
	reader := &WitnessReader{}
	mismatched := &marbleroadv1.WitnessTable{Epoch: 7, Ages: []uint32{1, 2}}
	if _, err := reader.Read(mismatched, time.Now()); err == nil {
		t.Error("ages without VMs were accepted")
	}
	if reader.Epoch() != 0 {
		t.Error("the epoch of a refused table is kept")
	}
}
