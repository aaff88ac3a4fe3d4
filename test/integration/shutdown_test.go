package integration

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestShutdownStoresOutcomes checks that an entry that is stopped right after a response stores it before it exits,
// so that a retry at another entry gets the same response.
func TestShutdownStoresOutcomes(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	result := s.startWarning("last-words", 300*time.Millisecond)
	s.platform.SetDown(true)
	first := <-result
	if first.status != http.StatusOK {
		t.Fatalf("%d %s", first.status, first.body)
	}
	s.nodes[0].entry.signal(syscall.SIGTERM)
	s.eventually("the entry accepts no new requests", func() bool {
		return s.call(s.nodes[0], request{path: "/services/tiles/x", method: "GET"}).status != http.StatusOK
	})
	s.platform.SetDown(false)
	<-s.nodes[0].entry.exited
	second := s.call(s.nodes[1], warningRequest("last-words"))
	if second.status != http.StatusOK || second.body != first.body {
		t.Errorf("retry: %d %s", second.status, second.body)
	}
	s.history.check()
}

func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSlowDeployment(t, 100*time.Millisecond, "")
	const streams = 6
	before := s.executionCount()
	result := make(chan response, streams)
	for range streams {
		go func() { result <- s.call(s.nodes[0], request{stream: true}) }()
	}
	s.awaitExecutions(before, streams)
	s.nodes[0].control.signal(syscall.SIGTERM)
	s.nodes[0].entry.signal(syscall.SIGTERM)
	for range streams {
		if a := <-result; a.outcome != "done" {
			t.Errorf("a stream ended %q: %v", a.outcome, a.err)
		}
	}
	<-s.nodes[0].entry.exited
	<-s.nodes[0].control.exited
	for _, p := range []*process{s.nodes[0].entry, s.nodes[0].control} {
		if code := p.cmd.ProcessState.ExitCode(); code != 0 {
			t.Errorf("exit code %d", code)
		}
	}
	s.history.check()
}

// TestRepeatedStopSignalsOfAnEntryCutNothing is TestRepeatedSignalsCutNothing for the entry daemon.
func TestRepeatedStopSignalsOfAnEntryCutNothing(t *testing.T) {
	t.Parallel()
	s := newSlowDeployment(t, 100*time.Millisecond, "")
	before := s.executionCount()
	result := make(chan response, 1)
	go func() { result <- s.call(s.nodes[0], request{stream: true}) }()
	s.awaitExecutions(before, 1)
	for range 3 {
		s.nodes[0].entry.signal(syscall.SIGHUP)
		s.nodes[0].entry.signal(syscall.SIGTERM)
		s.eventually("the entry stops", func() bool { return !s.ready(s.nodes[0]) })
	}
	if a := <-result; a.outcome != "done" {
		t.Errorf("the stream ended %q: %v", a.outcome, a.err)
	}
	<-s.nodes[0].entry.exited
	s.history.check()
}

// TestRequestReadDuringEntryStopIsAnswered guards against a request that gets no response because the entry finishes
// reading it only after its stop has started: net/http's Shutdown drops such a request. On a node it was logged as:
//
//	5017 a connection ended with a request that was read and not handled stopping=true
func TestRequestReadDuringEntryStopIsAnswered(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	address := net.JoinHostPort(s.nodes[0].ip, strconv.Itoa(callerPort))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: x\r\n"); err != nil {
		t.Fatal(err)
	}
	s.nodes[0].entry.signal(syscall.SIGTERM)
	s.eventually("the listener closes", func() bool {
		other, err := net.Dial("tcp", address)
		if err == nil {
			_ = other.Close()
		}
		return err != nil
	})
	_, err = fmt.Fprintf(conn, "Authorization: Bearer %s\r\n\r\n", teamKey)
	resp, readErr := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || readErr != nil {
		t.Fatalf("no response: %v, %v", err, readErr)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, closes %t", resp.StatusCode, resp.Close)
	}
}

func TestShutdownLimitAndInterruptsEndStreamsExplicitly(t *testing.T) {
	t.Parallel()
	for name, overrides := range map[string]string{"limit": "entry:shutdown_limit = 200ms", "interrupt": ""} {
		s := newSlowDeployment(t, 200*time.Millisecond, overrides)
		before := s.executionCount()
		result := make(chan response, 1)
		go func() { result <- s.call(s.nodes[0], request{stream: true}) }()
		s.awaitExecutions(before, 1)
		// Waits past the first token, so that the response has started.
		time.Sleep(300 * time.Millisecond)
		s.nodes[0].entry.signal(syscall.SIGTERM)
		if name == "interrupt" {
			s.eventually("the entry stops", func() bool { return !s.ready(s.nodes[0]) })
			s.nodes[0].entry.signal(syscall.SIGINT)
		}
		if a := <-result; a.outcome != "error" {
			t.Errorf("%s: the stream ended %q", name, a.outcome)
		}
		<-s.nodes[0].entry.exited
		s.history.check()
	}
}

// ready reports whether the node's entry is ready.
func (s *deployment) ready(nd *node) bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/readyz", nd.ip, adminPort))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// TestRollingRestart restarts every daemon under load. The history checks that no rejected request ran and that every
// stream is complete or ends explicitly.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	stop := s.startLoad()
	for _, nd := range s.nodes {
		nd.entry.signal(syscall.SIGTERM)
		<-nd.entry.exited
		nd.control.signal(syscall.SIGTERM)
		<-nd.control.exited
		s.startNode(nd)
		s.eventually("the node serves again", func() bool { return s.ready(nd) && s.serves(nd) })
	}
	stop()
	s.history.check()
}

// restartWithSignals stops a node's daemons with repeated signals and starts them again.
func (s *deployment) restartWithSignals(nd *node) {
	for _, p := range []*process{nd.control, nd.entry} {
		s.signalUntilExit(p)
	}
	s.startNode(nd)
	s.eventually("the node serves again", func() bool { return s.ready(nd) && s.serves(nd) })
}

// signalUntilExit sends stop and reload signals in turn until the process has exited.
func (s *deployment) signalUntilExit(p *process) {
	const interval = 100 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		p.signal(syscall.SIGTERM)
		p.signal(syscall.SIGHUP)
		select {
		case <-p.exited:
			return
		case <-ticker.C:
		}
	}
}

// startKeepAliveCallers sends streamed and unstreamed requests to all nodes on persistent connections until stop is
// called. Each request has its own idempotency key.
func (s *deployment) startKeepAliveCallers(perNode int) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range perNode * len(s.nodes) {
		group.Go(func() {
			transport := &http.Transport{MaxIdleConnsPerHost: 1}
			defer transport.CloseIdleConnections()
			client := &http.Client{Timeout: callTimeout, Transport: transport}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				q := request{stream: (n+i)%2 == 0, timeout: 10 * time.Second, client: client, idempotencyKey: fmt.Sprintf("kept-%d-%d", i, n)}
				s.call(s.nodes[i%len(s.nodes)], q)
			}
		})
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// TestConcurrentRestartsCutNoResponse stops the daemons of both nodes with repeated signals, one node while the other
// is still stopping, while callers use persistent connections. Every request that started must get its complete
// response.
func TestConcurrentRestartsCutNoResponse(t *testing.T) {
	t.Parallel()
	const rounds = 2
	s := newSlowDeployment(t, 60*time.Millisecond, "")
	stop := s.startKeepAliveCallers(3)
	for range rounds {
		var restarts sync.WaitGroup
		for _, nd := range s.nodes {
			restarts.Go(func() { s.restartWithSignals(nd) })
			time.Sleep(300 * time.Millisecond)
		}
		restarts.Wait()
	}
	stop()
	s.history.check()
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	served := 0
	for _, a := range s.history.responses {
		switch cut := a.events != nil && a.outcome != "done"; {
		case cut || (a.err != nil && a.idempotencyKey != "" && s.history.runsByKey(a.idempotencyKey) > 0):
			t.Errorf("request %s (key %s) started and has no complete response: status %d, ended %q, %v", a.id, a.idempotencyKey, a.status, a.outcome, a.err)
		case a.status == http.StatusOK:
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
}
