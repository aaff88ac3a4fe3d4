package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// crasher ends the VMs that begin to run a request whose path names it.
type crasher struct {
	site *testSite
	// path marks the requests; of has the VM end for one only.
	path    string
	crashed sync.Map
	crashes atomic.Int64
}

func (c *crasher) observe(o groupengine.Observation) {
	if o.Kind != groupengine.Ran || !strings.Contains(o.Target, c.path) {
		return
	}
	if _, before := c.crashed.LoadOrStore(o.VM, true); !before {
		c.crashes.Add(1)
	}
	c.site.crash(o.VM)
	panic(http.ErrAbortHandler)
}

// wholeStream sends a stream's request and reports what was wrong with its answer.
func (s *testSite) fetchStream(id, target string) error {
	resp, err := s.trySend(context.Background(), http.MethodPost, target, map[string]string{"Attempt-Id": id, "Model": "m"})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !strings.Contains(string(data), fmt.Sprintf("id: %d\n", streamEvents)) {
		return fmt.Errorf("status %d, body %q", resp.StatusCode, data)
	}
	return nil
}

// keepAsking has callers send one stream's request after the other until the function that it returns
// is called; failed is told of each that is not served whole.
func (s *testSite) startCallers(callers int, target func(caller, n int) string, failed func(error)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if err := s.fetchStream(fmt.Sprintf("o%d-%d", i, n), target(i, n)); err != nil {
					failed(err)
				}
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// TestRequestThatCrashesUpstreamsEnds: a request crashed each head that began to run it. Its
// caller sent it again and again, each time as a new request to any node, and each time it was
// sent to as many heads as its route allows attempts: 31 heads ended under it, until none was left
// of the model. Nothing knew more of it than one call, and the streams that broke off with it went
// to the heads that were left, to break off once more. The fingerprint shows that it is one
// request, the closed port that the VM had ended.
//
//	41.12 5008 request=0d7cb18b7b3880ed send=1 group=gb83gae9e-10 upstream-broken
//	41.38 5008 request=0d7cb18b7b3880ed send=2 group=gasyoucrn-24 upstream-broken
//	42.06 5008 request=9811b0f001ab8976 send=1 group=gb83gae9e-13 upstream-broken
//	42.33 5008 request=9811b0f001ab8976 send=2 group=gasyoucrn-27 upstream-broken
//	43.96 5008 send=3 group=gasyoucrn-32 upstream-broken: 45 streams at once, no head is left
func TestRequestThatCrashesUpstreamsEnds(t *testing.T) {
	const heads, arrivals, callers, maxCrashes = 12, 10, 8, 4
	c := &crasher{path: "/crash/"}
	s := newTestSite(t, options{heads: heads, pause: 10 * time.Millisecond, observe: c.observe})
	c.site = s
	var failed atomic.Int64
	stopOthers := s.startCallers(callers, func(i, n int) string { return fmt.Sprintf("/stream/%d/%d", i, n) }, func(err error) {
		t.Logf("a request that only shared a VM with the one that crashes: %v", err)
		failed.Add(1)
	})
	for i := range arrivals {
		if err := s.fetchStream(fmt.Sprintf("c%d", i), "/stream/crash/1"); err == nil {
			t.Error("the request that crashes its upstreams was served")
		}
	}
	stopOthers()
	if n := c.crashes.Load(); n > maxCrashes {
		t.Errorf("%d of %d heads ended under one request, at most %d expected", n, heads, maxCrashes)
	}
	if n := failed.Load(); n > 0 {
		t.Errorf("%d requests that did nothing were not served", n)
	}
}

// TestManyRequestsThatCrashUpstreams: several such requests at once. Each of them ends some heads, and
// the streams that run beside them meet one end after the other; they are served all the same, and
// none of them is held for the cause.
func TestManyRequestsThatCrashUpstreams(t *testing.T) {
	const heads, requests, arrivals, callers, maxCrashes = 60, 6, 8, 8, 6 * 4
	c := &crasher{path: "/crash/"}
	s := newTestSite(t, options{heads: heads, pause: 10 * time.Millisecond, observe: c.observe})
	c.site = s
	var failed atomic.Int64
	// The same requests again and again, so that what were held against them would show.
	stopOthers := s.startCallers(callers, func(i, _ int) string { return fmt.Sprintf("/stream/%d", i) }, func(err error) {
		t.Logf("beside them: %v", err)
		failed.Add(1)
	})
	var crashing sync.WaitGroup
	for i := range requests {
		crashing.Go(func() {
			for n := range arrivals {
				if err := s.fetchStream(fmt.Sprintf("c%d-%d", i, n), fmt.Sprintf("/stream/crash/%d", i)); err == nil {
					t.Error("a request that crashes its upstreams was served")
				}
			}
		})
	}
	crashing.Wait()
	time.Sleep(100 * time.Millisecond)
	stopOthers()
	if n := c.crashes.Load(); n > maxCrashes {
		t.Errorf("%d heads ended under %d requests, at most %d expected", n, requests, maxCrashes)
	}
	if n := failed.Load(); n > 0 {
		t.Errorf("%d requests that did nothing were not served", n)
	}
}

// TestUpstreamsThatCrashCostNoAnswer: a request may meet VMs that end one after the other by
// themselves, more often than its route allows attempts. It is served nevertheless, and nothing
// is held against it.
func TestUpstreamsThatCrashCostNoAnswer(t *testing.T) {
	const crashes, uneventful = 2, 3
	var s *testSite
	var count atomic.Int64
	s = newTestSite(t, options{heads: 6, observe: func(o groupengine.Observation) {
		if o.Kind != groupengine.Ran {
			return
		}
		if n := count.Add(1); n > uneventful && n <= uneventful+crashes {
			s.crash(o.VM)
			panic(http.ErrAbortHandler)
		}
	}})
	for i := range uneventful + 5 {
		// The first ones earn the credit for the repeats.
		if err := s.fetchStream(fmt.Sprintf("r%d", i), "/stream/again"); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
	}
}
