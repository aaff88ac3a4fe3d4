package entry

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marbleroad/marbleroad/internal/clock"
)

// trailsKept is how many requests can be explained afterwards.
const trailsKept = 4096

// trail records the decisions about one request, for marbleroadctl explain.
type trail struct {
	began time.Time

	mu    sync.Mutex
	steps []string
}

// add notes one decision.
func (t *trail) add(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := clock.Since(t.began).Round(10 * time.Microsecond)
	t.steps = append(t.steps, fmt.Sprintf("+%s ", at)+fmt.Sprintf(format, args...))
}

func (t *trail) copy() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]string(nil), t.steps...)
}

// trails keeps the latest trails.
type trails struct {
	kept *lru.Cache[string, *trail]
}

func newTrails() *trails {
	kept, _ := lru.New[string, *trail](trailsKept)
	return &trails{kept: kept}
}

func (ts *trails) begin(id string) *trail {
	t := &trail{began: clock.Now()}
	ts.kept.Add(id, t)
	return t
}

func (ts *trails) find(id string) ([]string, bool) {
	t, ok := ts.kept.Get(id)
	if !ok {
		return nil, false
	}
	return t.copy(), true
}
