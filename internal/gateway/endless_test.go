package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/test/standin/endless"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

const upstreamEjected = 5005

// answerEndless makes a VM answer all requests without end.
func answerEndless(vm *groupengine.VM, kind endless.Kind, pause time.Duration) {
	vm.Endless.Store(&endless.Mode{Kinds: []endless.Kind{kind}, Share: 1, Pause: pause})
}

// brokenKinds are answers that are known as broken before their caller gets any part of them.
var brokenKinds = append([]endless.Kind{endless.ChunkSize, endless.ChunkExtension, endless.SmallChunks, endless.Trailers, endless.ErrorBody}, endless.Heads...)

// TestRequestAnsweredWithoutEndGoesOnElsewhere guards against callers that get no answer, or a wrong one, as an upstream
// sends bytes that are no answer. The upstream must count as failing.
func TestRequestAnsweredWithoutEndGoesOnElsewhere(t *testing.T) {
	// Which VM gets a request is drawn at random; 64 requests reach a given one of two.
	const requests = 64
	for _, kind := range brokenKinds {
		t.Run(string(kind), func(t *testing.T) {
			log := &logBuffer{}
			s := newTestSite(t, options{log: log})
			answerEndless(s.plain[0], kind, 0)
			for i := range requests {
				target := fmt.Sprintf("/read/%d", i)
				resp := s.send(t, http.MethodGet, target, map[string]string{"Attempt-Id": target})
				if got := body(t, resp); resp.StatusCode != http.StatusOK || got != "answer of api to "+target {
					t.Fatalf("status %d, body %q", resp.StatusCode, got)
				}
			}
			if len(log.events(t, upstreamEjected)) == 0 {
				t.Error("the upstream was not ejected")
			}
		})
	}
}

// TestStreamWithoutEndGoesOnElsewhere is the same for streams, also for an event without end.
func TestStreamWithoutEndGoesOnElsewhere(t *testing.T) {
	const requests = 16
	for _, kind := range append([]endless.Kind{endless.Line, endless.Event, endless.Comments}, brokenKinds...) {
		t.Run(string(kind), func(t *testing.T) {
			log := &logBuffer{}
			s := newTestSite(t, options{log: log})
			answerEndless(s.heads[0], kind, 0)
			for i := range requests {
				checkStream(t, s.send(t, http.MethodPost, fmt.Sprintf("/stream/%d", i), map[string]string{"Model": "m", "Attempt-Id": fmt.Sprint(i)}))
			}
			if len(log.events(t, upstreamEjected)) == 0 {
				t.Error("the upstream was not ejected")
			}
		})
	}
}

// TestSurplusReachesNoCaller guards against surplus bytes in the answer to a later request.
func TestSurplusReachesNoCaller(t *testing.T) {
	s := newTestSite(t, options{})
	answerEndless(s.plain[0], endless.Surplus, 0)
	for i := range 64 {
		target := fmt.Sprintf("/read/%d", i)
		got := body(t, s.send(t, http.MethodGet, target, map[string]string{"Attempt-Id": target}))
		if got != "ok" && got != "answer of api to "+target {
			t.Fatalf("body %q", got)
		}
	}
}

// TestAnswerWithoutEndEndsAtTheDeadline guards against answers that hold their caller for ever, or that look whole when
// the deadline cuts them. The upstream must count as failing.
func TestAnswerWithoutEndEndsAtTheDeadline(t *testing.T) {
	for _, c := range []struct {
		kind   endless.Kind
		target string
		pause  time.Duration
		// alive is true if the answer has events, which show that the upstream works.
		alive bool
	}{
		{endless.Chunks, "/once/", 0, false},
		{endless.Unframed, "/once/", 0, false},
		{endless.Chunks, "/once/", 50 * time.Millisecond, false},
		{endless.StatusLine, "/once/", 50 * time.Millisecond, false},
		{endless.ErrorBody, "/once/", 50 * time.Millisecond, false},
		{endless.Event, "/stream/", 50 * time.Millisecond, false},
		{endless.Events, "/stream/", 0, true},
		{endless.Events, "/stream/", time.Millisecond, true},
	} {
		t.Run(fmt.Sprint(c.kind, c.pause), func(t *testing.T) {
			log := &logBuffer{}
			s := newTestSite(t, options{log: log})
			for _, vm := range append(s.plain, s.heads...) {
				answerEndless(vm, c.kind, c.pause)
			}
			const requests = 12
			for i := range requests {
				target := fmt.Sprint(c.target, i)
				resp := s.send(t, http.MethodPost, target, map[string]string{"Model": "m", "Attempt-Id": target, "Deadline-Ms": "300"})
				data, err := io.ReadAll(resp.Body)
				if err == nil && resp.StatusCode < http.StatusInternalServerError {
					t.Fatalf("status %d and %d bytes look whole", resp.StatusCode, len(data))
				}
			}
			if len(log.events(t, upstreamEjected)) == 0 && !c.alive {
				t.Error("no upstream was ejected")
			}
			waitFor(t, "the requests to end", func() bool { return gateway.InFlight(s.server) == 0 })
		})
	}
}

// TestForwardedCallAnsweredWithoutEndFails guards against bytes of another node that are no answer.
func TestForwardedCallAnsweredWithoutEndFails(t *testing.T) {
	for _, kind := range append([]endless.Kind{endless.ChunkSize, endless.ChunkExtension, endless.Trailers}, endless.Heads...) {
		t.Run(string(kind), func(t *testing.T) {
			mode := &endless.Mode{Kinds: []endless.Kind{kind}, Share: 1}
			other := newOtherNode(t, "other", func(w http.ResponseWriter, r *http.Request, e forward.Envelope) {
				if !strings.Contains(r.RequestURI, "endless") {
					answer(w, r, e)
					return
				}
				forward.MarkResponse(w.Header(), e.Request)
				mode.Answer(w, e.Request)
			})
			s := cutOffSite(t, options{}, other)
			resp := s.send(t, http.MethodPost, "/read/endless", nil)
			if got := body(t, resp); resp.StatusCode != http.StatusBadGateway || strings.Contains(got, "xxx") {
				t.Errorf("status %d, body %q", resp.StatusCode, got)
			}
		})
	}
}

// TestErrorAnswerWithoutEndIsBroken guards against an error answer that keeps its caller until the deadline.
func TestErrorAnswerWithoutEndIsBroken(t *testing.T) {
	s := newTestSite(t, options{})
	for _, vm := range s.plain {
		answerEndless(vm, endless.ErrorBody, 0)
	}
	resp := s.send(t, http.MethodPost, "/once/x", nil)
	if got := body(t, resp); resp.StatusCode != http.StatusBadGateway || strings.Contains(got, "xxx") {
		t.Errorf("status %d with %d bytes", resp.StatusCode, len(got))
	}
}

const (
	// endlessAtOnce is the number of answers without end that a node must bear at a time.
	endlessAtOnce = 300
	// maxHeapGrowth is a tenth of the memory of a node, which has 284 MB.
	maxHeapGrowth = 28 << 20
)

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestAnswersWithoutEndTakeLittleMemory guards against the end of a node by answers without end whose callers don't read
// them, and against buffers that such answers keep from other requests. The memory is compared with that of as many
// requests that wait for their answers.
func TestAnswersWithoutEndTakeLittleMemory(t *testing.T) {
	// A plain VM is sent at least 12 requests at a time.
	const vms = 40
	const timeout = 2 * time.Minute
	for _, kind := range []endless.Kind{endless.Chunks, endless.Unframed} {
		t.Run(string(kind), func(t *testing.T) {
			var waiting, begun, ended sync.WaitGroup
			waiting.Add(endlessAtOnce)
			begun.Add(endlessAtOnce)
			start := make(chan struct{})
			s := newTestSite(t, options{plain: vms, timeout: timeout, observe: func(o groupengine.Observation) {
				if o.Kind == groupengine.RequestExecuted {
					waiting.Done()
					<-start
				}
			}})
			for _, vm := range s.plain {
				answerEndless(vm, kind, 0)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range endlessAtOnce {
				ended.Go(func() {
					readPart(ctx, t, s, map[string]string{"Attempt-Id": fmt.Sprint(i), "Deadline-Ms": fmt.Sprint(timeout.Milliseconds())}, begun.Done)
				})
			}
			waiting.Wait()
			before := heapInUse()
			close(start)
			begun.Wait()
			if growth := heapInUse() - before; growth > maxHeapGrowth {
				t.Errorf("%d answers without end take %d bytes", endlessAtOnce, growth)
			}
			if n := gateway.BufferedBytes(s.server); n > 0 {
				t.Errorf("%d bytes are reserved", n)
			}
			cancel()
			ended.Wait()
		})
	}
}

// readPart sends a request, reads the part of its answer that the node buffers and more, calls begun and keeps the
// connection until ctx ends.
func readPart(ctx context.Context, t *testing.T, s *testSite, header map[string]string, begun func()) {
	const part = 2 << 20
	resp, err := s.trySend(ctx, http.MethodPost, "/once/x", header)
	if err != nil {
		t.Error(err)
		begun()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err := io.CopyN(io.Discard, resp.Body, part); err != nil {
		t.Errorf("status %d, %d bytes: %v", resp.StatusCode, n, err)
	}
	begun()
	<-ctx.Done()
}
