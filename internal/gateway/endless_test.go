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

	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/test/standin/endless"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// answerEndless makes a VM answer all requests without end.
func answerEndless(vm *groupengine.VM, kind endless.Kind, pause time.Duration) {
	vm.Endless.Store(&endless.Mode{Kinds: []endless.Kind{kind}, Share: 1, Pause: pause})
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
	for _, kind := range []endless.Kind{endless.Chunks, endless.Unframed} {
		t.Run(string(kind), func(t *testing.T) {
			var waiting, begun, ended sync.WaitGroup
			waiting.Add(endlessAtOnce)
			begun.Add(endlessAtOnce)
			start := make(chan struct{})
			s := newTestSite(t, options{plain: vms, observe: func(o groupengine.Observation) {
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
				ended.Go(func() { readPart(ctx, t, s, fmt.Sprint(i), begun.Done) })
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
func readPart(ctx context.Context, t *testing.T, s *testSite, id string, begun func()) {
	const part = 2 << 20
	resp, err := s.trySend(ctx, http.MethodPost, "/once/x", map[string]string{"Attempt-Id": id})
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
