package clock

import (
	"testing"
	"time"
)

// TestSuspensionCounts: the steady clock stands still while a VM is suspended, this one does not.
func TestSuspensionCounts(t *testing.T) {
	before, steady := Now(), time.Now()
	Note(10 * time.Second)
	if passed := Since(before); passed < 10*time.Second || passed-time.Since(steady) > 10*time.Second+leastSuspension {
		t.Errorf("%v passed over a suspension of 10 s", passed)
	}
	if left := Until(before.Add(15 * time.Second)); left > 5*time.Second {
		t.Errorf("%v left of 15 s", left)
	}
	if Suspended() < 10*time.Second {
		t.Errorf("suspended for %v", Suspended())
	}
}

// TestClocksRunAlike: while nothing is suspended, looks at the clocks find nothing.
func TestClocksRunAlike(t *testing.T) {
	before := Suspended()
	for range 1000 {
		Sync()
	}
	if now := Suspended(); now != before {
		t.Errorf("suspended for %v by 1000 looks", now-before)
	}
	if _, ok := ahead(); !ok {
		t.Error("the clocks can't be read")
	}
}

// BenchmarkNow names what a look at the time costs.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// BenchmarkSync names what a look at both clocks costs.
func BenchmarkSync(b *testing.B) {
	for b.Loop() {
		Sync()
	}
}
