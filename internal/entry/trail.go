package entry

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marbleroad/marbleroad/internal/clock"
)

// maxDecisionLogs is how many requests can be explained afterwards.
const maxDecisionLogs = 4096

// decisionLog records the decisions about one request, for marbleroadctl explain.
type decisionLog struct {
	startedAt time.Time

	mu    sync.Mutex
	steps []string
}

// add records one decision with the time since the start of the request.
func (l *decisionLog) add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := clock.Since(l.startedAt).Round(10 * time.Microsecond)
	l.steps = append(l.steps, fmt.Sprintf("+%s ", offset)+fmt.Sprintf(format, args...))
}

// copySteps returns a copy of the recorded decisions.
func (l *decisionLog) copySteps() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.steps...)
}

// decisionLogs keeps the decision logs of the latest requests.
type decisionLogs struct {
	recent *lru.Cache[string, *decisionLog]
}

func newDecisionLogs() *decisionLogs {
	recent, _ := lru.New[string, *decisionLog](maxDecisionLogs)
	return &decisionLogs{recent: recent}
}

// start adds an empty decision log for the request.
func (l *decisionLogs) start(id string) *decisionLog {
	log := &decisionLog{startedAt: clock.Now()}
	l.recent.Add(id, log)
	return log
}

// find returns the decisions about a request and whether they are still kept.
func (l *decisionLogs) find(id string) ([]string, bool) {
	log, ok := l.recent.Get(id)
	if !ok {
		return nil, false
	}
	return log.copySteps(), true
}
