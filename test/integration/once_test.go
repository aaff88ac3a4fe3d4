package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/verdict"
)

// setPlainDelay sets how long every plain VM takes for a request.
func (s *deployment) setPlainDelay(d time.Duration) {
	for _, v := range s.vms {
		if v.plain != nil {
			v.plain.SetDelay(d)
		}
	}
}

// plainExecutions counts the executions at all plain VMs.
func (s *deployment) plainExecutions() int {
	n := 0
	for _, v := range s.vms {
		if v.plain != nil {
			n += v.plain.Total()
		}
	}
	return n
}

// warningRequest returns a non-idempotent request with an idempotency key.
func warningRequest(key string) request {
	return request{path: "/services/warnings/issue", body: "hail over " + key, nonIdempotent: true, idempotencyKey: key}
}

// startWarning sends a keyed request to the first node and returns once it runs at its upstream, where it takes the
// given time.
func (s *deployment) startWarning(key string, duration time.Duration) chan response {
	s.t.Helper()
	s.setPlainDelay(duration)
	before := s.plainExecutions()
	result := make(chan response, 1)
	go func() { result <- s.call(s.nodes[0], warningRequest(key)) }()
	s.eventually("the request runs", func() bool { return s.plainExecutions() > before })
	return result
}

// TestRetryElsewhereWhileTheFirstRuns sends a retry with the same idempotency key to another entry. While the first
// attempt runs, the retry gets 409 with the verdict that the request may have run, and afterwards the first
// attempt's response. A different body under the same key gets 422.
func TestRetryElsewhereWhileTheFirstRuns(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	first := s.startWarning("storm-1", time.Second)
	second := s.call(s.nodes[1], warningRequest("storm-1"))
	if second.status != http.StatusConflict || second.verdict != verdict.MayHaveRun {
		t.Errorf("second attempt: %d %s", second.status, second.verdict)
	}
	a := <-first
	if a.status != http.StatusOK {
		t.Errorf("first attempt: %d", a.status)
	}
	s.eventually("a later attempt gets the first response", func() bool {
		third := s.call(s.nodes[1], warningRequest("storm-1"))
		return third.status == http.StatusOK && third.body == a.body && third.header.Get("Idempotency-Replayed") == "true"
	})
	other := warningRequest("storm-1")
	other.body = "something else"
	if a := s.call(s.nodes[0], other); a.status != http.StatusUnprocessableEntity {
		t.Errorf("another body under the same key: %d", a.status)
	}
	s.history.check()
}

// TestBrokenKeyedStreamMayHaveRun checks that a retry of a keyed stream that was interrupted gets the verdict that
// the request may have run, not that it ran.
func TestBrokenKeyedStreamMayHaveRun(t *testing.T) {
	t.Parallel()
	s := newSlowDeployment(t, 100*time.Millisecond, "")
	before := s.executionCount()
	q := request{stream: true, nonIdempotent: true, idempotencyKey: "stream-1"}
	result := make(chan response, 1)
	go func() { result <- s.call(s.nodes[0], q) }()
	s.awaitExecutions(before, 1)
	time.Sleep(150 * time.Millisecond)
	s.killVM(s.members("obuda")[0])
	if first := <-result; first.outcome != "error" {
		t.Errorf("the stream ended %q", first.outcome)
	}
	second := s.call(s.nodes[1], q)
	if second.status != http.StatusConflict || second.verdict != verdict.MayHaveRun {
		t.Errorf("retry: %d %s", second.status, second.verdict)
	}
	s.history.check()
}

func TestEntryKilledAfterDispatch(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	first := s.startWarning("storm-2", 500*time.Millisecond)
	s.nodes[0].entry.kill()
	<-first
	second := s.call(s.nodes[1], warningRequest("storm-2"))
	if second.status != http.StatusConflict || second.verdict != verdict.MayHaveRun {
		t.Errorf("second attempt: %d %s", second.status, second.verdict)
	}
	s.history.check()
}

func TestLedgerAnswersAreLost(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	for n := range 10 {
		s.platform.LoseResponses(n % 3)
		a := s.call(s.nodes[n%2], warningRequest(fmt.Sprintf("lost-%d", n)))
		b := s.call(s.nodes[(n+1)%2], warningRequest(fmt.Sprintf("lost-%d", n)))
		if a.status != http.StatusOK {
			t.Errorf("attempt %d: %d %s", n, a.status, a.body)
		}
		if b.status == http.StatusOK && b.header.Get("Idempotency-Replayed") == "" {
			t.Errorf("retry %d ran again", n)
		}
	}
	s.history.check()
}

// TestConcurrentAttempts sends the same keys to both entries at once.
func TestConcurrentAttempts(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	parallel(40, func(i int) { s.call(s.nodes[i%2], warningRequest(fmt.Sprintf("race-%d", i/8))) })
	s.history.check()
}

func TestPlatformDownRefusesKeyedRequestsAsNotRun(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	for n, fault := range []func(bool){s.platform.SetDown, s.platform.SetHang} {
		fault(true)
		a := s.call(s.nodes[0], warningRequest(fmt.Sprintf("down-%d", n)))
		if a.verdict != verdict.NotRun || a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("platform unreachable: %d %s, Retry-After %q", a.status, a.verdict, a.header.Get("Retry-After"))
		}
		fault(false)
		s.eventually("the same key runs once the platform is back", func() bool {
			return s.call(s.nodes[1], warningRequest(fmt.Sprintf("down-%d", n))).status == http.StatusOK
		})
	}
	s.history.check()
}

// TestCallerCannotForgeItsFirstAttempt checks that a key runs only once when a caller sets the request ID itself,
// as entries do among themselves: its retries must not pass for the first attempt.
func TestCallerCannotForgeItsFirstAttempt(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	q := warningRequest("forged")
	q.header = map[string]string{"Marbleroad-Hop": "me", "X-Request-Id": "01jforged"}
	for i := range 4 {
		s.call(s.nodes[i%2], q)
	}
	if n := s.history.runsByKey("forged"); n != 1 {
		t.Errorf("the key ran %d times", n)
	}
}
