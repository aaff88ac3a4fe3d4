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

// crasher terminates the VMs that run a request whose path contains the given text.
type crasher struct {
	site *testSite
	// path marks the requests.
	path string
	// crashed holds the IDs of the terminated VMs, crashes is their number.
	crashed sync.Map
	crashes atomic.Int64
}

func (c *crasher) observe(o groupengine.Observation) {
	if o.Kind != groupengine.RequestExecuted || !strings.Contains(o.Target, c.path) {
		return
	}
	if _, before := c.crashed.LoadOrStore(o.VM, true); !before {
		c.crashes.Add(1)
	}
	c.site.crash(o.VM)
	panic(http.ErrAbortHandler)
}

// fetchStream requests a stream and returns an error unless the response is complete.
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

// startCallers starts callers that request one stream after the other until stop is called. failed is
// called for each stream that is not served completely.
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

// TestCrashingRequestIsQuarantined: a request crashed each head that ran it. Its caller sent it again and
// again, each time as a new request to any node, and each time it went to as many heads as its route
// allows attempts. 31 heads terminated under it, until the model had none left: no state about the request
// outlived a call. The streams that were interrupted with it moved to the remaining heads and were
// interrupted again. The request must be recognized by its fingerprint, and the termination of a VM by its
// closed port.
//
//	41.12 5008 request=0d7cb18b7b3880ed send=1 group=gb83gae9e-10 upstream-broken
//	41.38 5008 request=0d7cb18b7b3880ed send=2 group=gasyoucrn-24 upstream-broken
//	42.06 5008 request=9811b0f001ab8976 send=1 group=gb83gae9e-13 upstream-broken
//	42.33 5008 request=9811b0f001ab8976 send=2 group=gasyoucrn-27 upstream-broken
//	43.96 5008 send=3 group=gasyoucrn-32 upstream-broken: 45 streams at once, no head is left
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const heads, arrivals, callers, maxCrashes = 12, 10, 8, 4
	c := &crasher{path: "/crash/"}
	s := newTestSite(t, options{heads: heads, pause: 10 * time.Millisecond, observe: c.observe})
	c.site = s
	var failed atomic.Int64
	stopOthers := s.startCallers(callers, func(i, n int) string { return fmt.Sprintf("/stream/%d/%d", i, n) }, func(err error) {
		t.Logf("a request that only shared a VM with the crashing one: %v", err)
		failed.Add(1)
	})
	for i := range arrivals {
		if err := s.fetchStream(fmt.Sprintf("c%d", i), "/stream/crash/1"); err == nil {
			t.Error("the crashing request was served")
		}
	}
	stopOthers()
	if n := c.crashes.Load(); n > maxCrashes {
		t.Errorf("%d of %d heads terminated under one request, at most %d expected", n, heads, maxCrashes)
	}
	if n := failed.Load(); n > 0 {
		t.Errorf("%d harmless requests were not served", n)
	}
}

// TestManyCrashingRequests: several such requests run at the same time. Each terminates some heads, and
// the streams beside them are interrupted several times. These must be served nevertheless, and none of
// them must be quarantined.
func TestManyCrashingRequests(t *testing.T) {
	const heads, requests, arrivals, callers, maxCrashes = 60, 6, 8, 8, 6 * 4
	c := &crasher{path: "/crash/"}
	s := newTestSite(t, options{heads: heads, pause: 10 * time.Millisecond, observe: c.observe})
	c.site = s
	var failed atomic.Int64
	// The same requests are repeated, so that a quarantine of one of them would show.
	stopOthers := s.startCallers(callers, func(i, _ int) string { return fmt.Sprintf("/stream/%d", i) }, func(err error) {
		t.Logf("a harmless request: %v", err)
		failed.Add(1)
	})
	var crashing sync.WaitGroup
	for i := range requests {
		crashing.Go(func() {
			for n := range arrivals {
				if err := s.fetchStream(fmt.Sprintf("c%d-%d", i, n), fmt.Sprintf("/stream/crash/%d", i)); err == nil {
					t.Error("a crashing request was served")
				}
			}
		})
	}
	crashing.Wait()
	time.Sleep(100 * time.Millisecond)
	stopOthers()
	if n := c.crashes.Load(); n > maxCrashes {
		t.Errorf("%d heads terminated under %d requests, at most %d expected", n, requests, maxCrashes)
	}
	if n := failed.Load(); n > 0 {
		t.Errorf("%d harmless requests were not served", n)
	}
}

// TestRequestSurvivesUpstreamCrashes: the VMs of a request may terminate one after the other for reasons
// unrelated to it, as often as its route allows attempts. It must be served nevertheless, and not be
// quarantined.
func TestRequestSurvivesUpstreamCrashes(t *testing.T) {
	const crashes, requestsBefore = 2, 3
	var s *testSite
	var count atomic.Int64
	s = newTestSite(t, options{heads: 6, observe: func(o groupengine.Observation) {
		if o.Kind != groupengine.RequestExecuted {
			return
		}
		if n := count.Add(1); n > requestsBefore && n <= requestsBefore+crashes {
			s.crash(o.VM)
			panic(http.ErrAbortHandler)
		}
	}})
	for i := range requestsBefore + 5 {
		// The first requests earn the credit for the repeats.
		if err := s.fetchStream(fmt.Sprintf("r%d", i), "/stream/again"); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
	}
}
