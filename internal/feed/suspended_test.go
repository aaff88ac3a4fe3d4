package feed

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
)

// TestProofAgesOverASuspension: a follower was suspended while it waited for its leader. The
// leader's answer proved what was in force before, and was taken for news of now.
func TestProofAgesOverASuspension(t *testing.T) {
	l := &Leader{log: testLog(t), failedUntil: make(map[string]time.Time)}
	_, provenAt, err := follow(context.Background(), l, cluster.Record{ID: "leader"}, catalogQuestion, func(context.Context) (bool, time.Duration, error) {
		clock.Note(10 * time.Second)
		return true, 0, nil
	})
	if !errors.Is(err, errLeader) {
		t.Errorf("a proof from before a suspension of 10 s was taken: %v", err)
	}
	if age := clock.Since(provenAt); age < 10*time.Second {
		t.Errorf("the proof counts as %v old", age)
	}
}
