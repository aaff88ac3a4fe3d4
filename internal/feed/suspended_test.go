package feed

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
)

// TestVerificationAgesDuringSuspension: a follower was suspended while it waited for its leader. The
// leader's response verified the state before the suspension, and was accepted as current.
func TestVerificationAgesDuringSuspension(t *testing.T) {
	l := &Leader{log: testLog(t), failedUntil: make(map[string]time.Time)}
	_, verifiedAt, err := follow(context.Background(), l, cluster.Record{ID: "leader"}, catalogQuery, func(context.Context) (bool, time.Duration, error) {
		clock.RecordSuspension(10 * time.Second)
		return true, 0, nil
	})
	if !errors.Is(err, errLeaderUnusable) {
		t.Errorf("a verification from before a suspension of 10 s was accepted: %v", err)
	}
	if age := clock.Since(verifiedAt); age < 10*time.Second {
		t.Errorf("the verification counts as %v old", age)
	}
}
