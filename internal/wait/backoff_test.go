package wait

import (
	"testing"
	"time"
)

func TestBackoffGrowsToItsBound(t *testing.T) {
	b := Backoff{Min: 50 * time.Millisecond, Max: 400 * time.Millisecond}
	for i, base := range []time.Duration{50, 100, 200, 400, 400, 400} {
		base *= time.Millisecond
		if got := b.Next(); got < base || got >= 2*base {
			t.Errorf("pause %d is %v, expected from %v to twice that", i, got, base)
		}
	}
	b.Reset()
	if got := b.Next(); got >= 100*time.Millisecond {
		t.Errorf("pause %v after a success", got)
	}
}
