package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/verdict"
)

func (s *site) plainDelay(d time.Duration) {
	for _, v := range s.vms {
		if v.plain != nil {
			v.plain.SetDelay(d)
		}
	}
}

func (s *site) plainRuns() int {
	n := 0
	for _, v := range s.vms {
		if v.plain != nil {
			n += v.plain.Total()
		}
	}
	return n
}

func warning(key string) ask {
	return ask{path: "/services/warnings/issue", body: "hail over " + key, once: true, idem: key}
}

// beginWarning sends a keyed request to the first node, which takes the given
// time at its upstream, and returns once it runs there.
func (s *site) beginWarning(key string, takes time.Duration) chan answer {
	s.t.Helper()
	s.plainDelay(takes)
	before := s.plainRuns()
	got := make(chan answer, 1)
	go func() { got <- s.call(s.nodes[0], warning(key)) }()
	s.eventually("the request runs", func() bool { return s.plainRuns() > before })
	return got
}

func TestRetryElsewhereWhileTheFirstRuns(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	first := s.beginWarning("storm-1", time.Second)
	second := s.call(s.nodes[1], warning("storm-1"))
	if second.status != http.StatusConflict || second.verdict != verdict.MayHaveRun {
		t.Errorf("second try: %d %s", second.status, second.verdict)
	}
	a := <-first
	if a.status != http.StatusOK {
		t.Errorf("first try: %d", a.status)
	}
	s.eventually("a later try gets the first answer", func() bool {
		third := s.call(s.nodes[1], warning("storm-1"))
		return third.status == http.StatusOK && third.body == a.body && third.header.Get("Idempotency-Replayed") == "true"
	})
	other := warning("storm-1")
	other.body = "something else"
	if a := s.call(s.nodes[0], other); a.status != http.StatusUnprocessableEntity {
		t.Errorf("another body under the same key: %d", a.status)
	}
	s.history.check()
}

// TestBrokenKeyedStreamMayHaveRun: a retry of a keyed stream that broke off is
// not told that it ran.
func TestBrokenKeyedStreamMayHaveRun(t *testing.T) {
	t.Parallel()
	s := slowSite(t, 100*time.Millisecond, "")
	before := s.begun()
	q := ask{stream: true, once: true, idem: "stream-1"}
	got := make(chan answer, 1)
	go func() { got <- s.call(s.nodes[0], q) }()
	s.running(before, 1)
	time.Sleep(150 * time.Millisecond)
	s.down(s.members("obuda")[0])
	if first := <-got; first.ended != "error" {
		t.Errorf("the stream ended %q", first.ended)
	}
	second := s.call(s.nodes[1], q)
	if second.status != http.StatusConflict || second.verdict != verdict.MayHaveRun {
		t.Errorf("retry: %d %s", second.status, second.verdict)
	}
	s.history.check()
}

func TestEntryKilledAfterDispatch(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	first := s.beginWarning("storm-2", 500*time.Millisecond)
	s.nodes[0].entry.kill()
	<-first
	second := s.call(s.nodes[1], warning("storm-2"))
	if second.status != http.StatusConflict || second.verdict != verdict.MayHaveRun {
		t.Errorf("second try: %d %s", second.status, second.verdict)
	}
	s.history.check()
}

func TestLedgerAnswersAreLost(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	for n := range 10 {
		s.platform.LoseAnswers(n % 3)
		a := s.call(s.nodes[n%2], warning(fmt.Sprintf("lost-%d", n)))
		b := s.call(s.nodes[(n+1)%2], warning(fmt.Sprintf("lost-%d", n)))
		if a.status != http.StatusOK {
			t.Errorf("try %d: %d %s", n, a.status, a.body)
		}
		if b.status == http.StatusOK && b.header.Get("Idempotency-Replayed") == "" {
			t.Errorf("retry %d ran again", n)
		}
	}
	s.history.check()
}

// TestRacingTries sends the same keys at both entries at once.
func TestRacingTries(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	parallel(40, func(i int) { s.call(s.nodes[i%2], warning(fmt.Sprintf("race-%d", i/8))) })
	s.history.check()
}

func TestPlatformDownRefusesKeyedRequestsAsNotRun(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	for n, fault := range []func(bool){s.platform.SetDown, s.platform.SetHang} {
		fault(true)
		a := s.call(s.nodes[0], warning(fmt.Sprintf("down-%d", n)))
		if a.verdict != verdict.NotRun || a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Errorf("platform away: %d %s, Retry-After %q", a.status, a.verdict, a.header.Get("Retry-After"))
		}
		fault(false)
		s.eventually("the same key runs once the platform is back", func() bool {
			return s.call(s.nodes[1], warning(fmt.Sprintf("down-%d", n))).status == http.StatusOK
		})
	}
	s.history.check()
}

// TestCallerCannotPassAsItsFirstTry: a caller that names its own request ID,
// as entries do between them, still runs a key once.
func TestCallerCannotPassAsItsFirstTry(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	q := warning("forged")
	q.header = map[string]string{"Marbleroad-Hop": "me", "X-Request-Id": "01jforged"}
	for i := range 4 {
		s.call(s.nodes[i%2], q)
	}
	if n := s.history.runsByKey("forged"); n != 1 {
		t.Errorf("the key ran %d times", n)
	}
}
