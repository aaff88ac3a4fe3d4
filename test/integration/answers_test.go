package integration

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/test/standin/engine"
	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
)

const (
	stopSignal = syscall.SIGSTOP
	contSignal = syscall.SIGCONT
)

func TestInterleavedAnswersAreNotMixed(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	parallel(40, func(i int) {
		for n := range 10 {
			s.call(s.nodes[i%2], ask{stream: (i+n)%2 == 0})
		}
	})
	s.history.check()
}

func TestBrokenStreamIsResumed(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	leader := s.members("obuda")[0]
	for n := 1; n <= 8; n++ {
		leader.engine.BreakAfter(n)
		a := s.call(s.nodes[n%2], ask{stream: true})
		if a.ended != "done" {
			t.Errorf("broken after %d events: ended %q with %d events", n, a.ended, len(a.events))
		}
	}
	s.history.check()
}

func slowSite(t *testing.T, token time.Duration, tune string) *site {
	t.Helper()
	sh := smallShape()
	sh.tune = tune
	sh.engineConfig.TokenTime = token
	s := newSite(t, sh)
	s.load(sh.domains, 4, 1)
	return s
}

// running waits until n runs have begun beyond those counted before.
func (s *site) running(before, n int) {
	s.t.Helper()
	s.eventually("the runs have begun", func() bool { return s.begun() >= before+n })
}

func (s *site) begun() int {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	return len(s.history.begins)
}

// TestStreamOutlastsTheBodyTimeout: a bound on reading the request must not end
// its answer.
func TestStreamOutlastsTheBodyTimeout(t *testing.T) {
	t.Parallel()
	s := slowSite(t, 150*time.Millisecond, "entry:body_timeout = 400ms")
	if a := s.call(s.nodes[0], ask{stream: true}); a.ended != "done" {
		t.Errorf("the stream ended %q after %d events: %s", a.ended, len(a.events), a.body)
	}
	s.history.check()
}

// TestSlowBodyIsRefused: a caller that trickles its body is refused in time.
func TestSlowBodyIsRefused(t *testing.T) {
	t.Parallel()
	s := slowSite(t, time.Millisecond, "entry:body_timeout = 300ms")
	conn, err := net.Dial("tcp", net.JoinHostPort(s.nodes[0].ip, strconv.Itoa(callerPort)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", teamKey)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

func TestUpstreamDiesInTheMiddle(t *testing.T) {
	t.Parallel()
	s := slowSite(t, 100*time.Millisecond, "")
	before := s.begun()
	got := make(chan answer, 1)
	go func() { got <- s.call(s.nodes[0], ask{stream: true}) }()
	s.running(before, 1)
	time.Sleep(150 * time.Millisecond)
	s.down(s.members("obuda")[0])
	a := <-got
	if a.ended != "error" || !strings.Contains(a.body, verdict.MayHaveRun.String()) {
		t.Errorf("the stream ended %q with %s", a.ended, a.body)
	}
	s.history.check()
}

// TestCallerComesBackToAnotherEntry kills the entry in the middle of a stream;
// the caller joins the same run elsewhere.
func TestCallerComesBackToAnotherEntry(t *testing.T) {
	t.Parallel()
	s := slowSite(t, 100*time.Millisecond, "")
	before := s.begun()
	got := make(chan answer, 1)
	go func() { got <- s.call(s.nodes[0], ask{stream: true}) }()
	s.running(before, 1)
	time.Sleep(250 * time.Millisecond)
	s.nodes[0].entry.kill()
	first := <-got
	if len(first.events) == 0 || first.ended == "done" {
		t.Fatalf("the first part has %d events and ended %q", len(first.events), first.ended)
	}
	second := s.call(s.nodes[1], ask{stream: true, header: map[string]string{"Last-Event-ID": first.lastID}})
	whole := append(first.events, second.events...)
	if second.ended != "done" || len(whole) != engine.DefaultConfig().Tokens+1 {
		t.Errorf("%d events in all, ended %q", len(whole), second.ended)
	}
	for n := 1; n < len(whole); n++ {
		if !strings.Contains(whole[n-1], engine.Token(first.id, n)) {
			t.Errorf("event %d holds %s", n, whole[n-1])
		}
	}
	if s.begun() != before+1 {
		t.Errorf("%d runs began for one request", s.begun()-before)
	}
}

func TestNotRunDidNotRun(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	var vms []*vm
	for _, v := range s.vms {
		if v.plain != nil {
			vms = append(vms, v)
		}
	}
	all := func(f func(*vm)) {
		for _, v := range vms {
			f(v)
		}
	}
	write := ask{path: "/services/warnings/issue", body: "hail", once: true, timeout: 700 * time.Millisecond}
	// Warm connections, so that some requests meet a reused one that breaks.
	parallel(8, func(i int) { s.call(s.nodes[i%2], ask{path: "/services/tiles/x", method: "GET"}) })
	for n := range 12 {
		q := write
		switch n % 4 {
		case 0:
			all(func(v *vm) { v.proxy.Break() })
		case 1:
			all(func(v *vm) { v.plain.BreakNext(1) })
		case 2:
			all(func(v *vm) { v.proxy.Set(faultproxy.LoseAnswers) })
		case 3:
			all(func(v *vm) { v.proxy.Set(faultproxy.LoseRequests) })
		}
		if n >= 6 {
			q.idem = fmt.Sprintf("key-%d", n)
		}
		a := s.call(s.nodes[n%2], q)
		if a.status != http.StatusOK && a.verdict == verdict.Ran {
			t.Errorf("failure %d says that it ran", a.status)
		}
		all(func(v *vm) {
			v.proxy.Set(faultproxy.Pass)
			v.proxy.Break()
			v.plain.BreakNext(0)
		})
		s.eventually("plain calls work", func() bool {
			return s.call(s.nodes[n%2], ask{path: "/services/tiles/x", method: "GET", timeout: time.Second}).status == http.StatusOK
		})
	}
	s.history.check()
}

// TestSpillThatFailsHalfWay: the other failure domain's entry gets the request
// and its answer is lost.
func TestSpillThatFailsHalfWay(t *testing.T) {
	t.Parallel()
	sh := smallShape()
	sh.domains = []string{"obuda", "csepel"}
	sh.nodes = 1
	sh.plains = 1
	s := newSite(t, sh)
	s.load(sh.domains, 4, 1)
	obuda, csepel := s.nodes[0], s.nodes[1]
	s.down(s.vms["obuda-tiles-1"])
	s.eventually("obuda spills to csepel", func() bool {
		return s.call(obuda, ask{path: "/services/warnings/x", once: true, body: "a"}).status == http.StatusOK
	})
	csepel.frontPeer.Set(faultproxy.LoseAnswers)
	a := s.call(obuda, ask{path: "/services/warnings/x", once: true, body: "b", timeout: time.Second})
	if a.verdict != verdict.MayHaveRun {
		t.Errorf("answer lost: got %d %s", a.status, a.verdict)
	}
	csepel.frontPeer.Close()
	a = s.call(obuda, ask{path: "/services/warnings/x", once: true, body: "c", timeout: time.Second})
	if a.verdict != verdict.NotRun || a.header.Get("Retry-After") == "" {
		t.Errorf("refused: got %d %s", a.status, a.verdict)
	}
	s.history.check()
}

// TestSpilledStreamEndsExplicitly breaks the way between two failure domains
// in the middle of a spilled stream: the caller gets whole events only and an
// explicit end.
func TestSpilledStreamEndsExplicitly(t *testing.T) {
	t.Parallel()
	sh := smallShape()
	sh.domains = []string{"obuda", "csepel"}
	sh.nodes = 1
	sh.engineConfig.TokenTime = 100 * time.Millisecond
	s := newSite(t, sh)
	s.load(sh.domains, 4, 1)
	for _, v := range s.vms {
		if v.engine != nil && v.member.FailureDomain == "obuda" {
			s.down(v)
		}
	}
	s.eventually("obuda spills whole streams", func() bool {
		return s.call(s.nodes[0], ask{stream: true}).ended == "done"
	})
	before := s.begun()
	got := make(chan answer, 1)
	go func() { got <- s.call(s.nodes[0], ask{stream: true}) }()
	s.running(before, 1)
	time.Sleep(250 * time.Millisecond)
	s.nodes[1].frontPeer.Break()
	if a := <-got; a.ended != "error" || len(a.events) == 0 {
		t.Errorf("ended %q after %d events", a.ended, len(a.events))
	}
	s.history.check()
}

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

func TestRetryElsewhereWhileTheFirstRuns(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	s.plainDelay(time.Second)
	before := s.plainRuns()
	first := make(chan answer, 1)
	go func() { first <- s.call(s.nodes[0], warning("storm-1")) }()
	s.eventually("the first try runs", func() bool { return s.plainRuns() > before })
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

// TestShutdownStoresOutcomes: an entry that stops right after its answer has
// stored it, so that a retry elsewhere gets it at once.
func TestShutdownStoresOutcomes(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	s.plainDelay(300 * time.Millisecond)
	before := s.plainRuns()
	got := make(chan answer, 1)
	go func() { got <- s.call(s.nodes[0], warning("last-words")) }()
	s.eventually("the request runs", func() bool { return s.plainRuns() > before })
	s.platform.SetDown(true)
	first := <-got
	if first.status != http.StatusOK {
		t.Fatalf("%d %s", first.status, first.body)
	}
	s.nodes[0].entry.signal(syscall.SIGTERM)
	s.eventually("the entry takes no new work", func() bool {
		return s.call(s.nodes[0], ask{path: "/services/tiles/x", method: "GET"}).status != http.StatusOK
	})
	s.platform.SetDown(false)
	<-s.nodes[0].entry.gone
	second := s.call(s.nodes[1], warning("last-words"))
	if second.status != http.StatusOK || second.body != first.body {
		t.Errorf("retry: %d %s", second.status, second.body)
	}
	s.history.check()
}

func TestEntryKilledAfterDispatch(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	s.plainDelay(500 * time.Millisecond)
	before := s.plainRuns()
	first := make(chan answer, 1)
	go func() { first <- s.call(s.nodes[0], warning("storm-2")) }()
	s.eventually("the first try runs", func() bool { return s.plainRuns() > before })
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

func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	s := slowSite(t, 100*time.Millisecond, "")
	const streams = 6
	before := s.begun()
	got := make(chan answer, streams)
	for range streams {
		go func() { got <- s.call(s.nodes[0], ask{stream: true}) }()
	}
	s.running(before, streams)
	s.nodes[0].control.signal(syscall.SIGTERM)
	s.nodes[0].entry.signal(syscall.SIGTERM)
	for range streams {
		if a := <-got; a.ended != "done" {
			t.Errorf("a stream ended %q: %v", a.ended, a.err)
		}
	}
	<-s.nodes[0].entry.gone
	<-s.nodes[0].control.gone
	for _, p := range []*process{s.nodes[0].entry, s.nodes[0].control} {
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("exit code %d", code)
		}
	}
	s.history.check()
}

func TestShutdownLimitAndSecondSignalEndStreamsExplicitly(t *testing.T) {
	t.Parallel()
	for name, tune := range map[string]string{"limit": "entry:shutdown_limit = 200ms", "second signal": ""} {
		s := slowSite(t, 200*time.Millisecond, tune)
		before := s.begun()
		got := make(chan answer, 1)
		go func() { got <- s.call(s.nodes[0], ask{stream: true}) }()
		s.running(before, 1)
		// Past the first token, so that the answer has begun.
		time.Sleep(300 * time.Millisecond)
		s.nodes[0].entry.signal(syscall.SIGTERM)
		if name == "second signal" {
			s.eventually("the entry stops", func() bool { return !s.ready(s.nodes[0]) })
			s.nodes[0].entry.signal(syscall.SIGTERM)
		}
		if a := <-got; a.ended != "error" {
			t.Errorf("%s: the stream ended %q", name, a.ended)
		}
		<-s.nodes[0].entry.gone
		s.history.check()
	}
}

func (s *site) ready(nd *node) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", nd.ip, adminPort))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// TestRollingRestart restarts every daemon under load; each caller that is
// refused comes back when told, and none is lost.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	s := groupSite(t, 4)
	stop := s.pressure()
	for _, nd := range s.nodes {
		nd.entry.signal(syscall.SIGTERM)
		<-nd.entry.gone
		nd.control.signal(syscall.SIGTERM)
		<-nd.control.gone
		s.startNode(nd)
		s.eventually("the node serves again", func() bool { return s.ready(nd) && s.serves(nd) })
	}
	stop()
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
