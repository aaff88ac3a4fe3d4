package clock

import (
	"testing"
	"time"
)

// TestSuspensionCounts: the monotonic clock is paused while a VM is suspended, this clock is not.
func TestSuspensionCounts(t *testing.T) {
	before, monotonic := Now(), time.Now()
	RecordSuspension(10 * time.Second)
	if elapsed := Since(before); elapsed < 10*time.Second || elapsed-time.Since(monotonic) > 10*time.Second+minSuspension {
		t.Errorf("%v elapsed over a suspension of 10 s", elapsed)
	}
	if left := Until(before.Add(15 * time.Second)); left > 5*time.Second {
		t.Errorf("%v left of 15 s", left)
	}
	if Suspended() < 10*time.Second {
		t.Errorf("suspended for %v", Suspended())
	}
}

// TestSyncAddsNothingWithoutSuspension: while the VM is not suspended, Sync must not find suspensions.
func TestSyncAddsNothingWithoutSuspension(t *testing.T) {
	before := Suspended()
	for range 1000 {
		Sync()
	}
	if now := Suspended(); now != before {
		t.Errorf("1000 calls of Sync found a suspension of %v", now-before)
	}
	if _, ok := suspensionOffset(); !ok {
		t.Error("the clocks can't be read")
	}
}

// BenchmarkNow measures the cost of Now.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// BenchmarkSync measures the cost of comparing both clocks.
func BenchmarkSync(b *testing.B) {
	for b.Loop() {
		Sync()
	}
}
