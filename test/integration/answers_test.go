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
