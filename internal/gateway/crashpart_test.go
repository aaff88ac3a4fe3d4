package gateway_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// partCrasher terminates the VMs that begin an answer to a request with a marked prompt part.
type partCrasher struct {
	site *testSite
	// parts holds the marked parts.
	parts   []string
	crashed sync.Map
	crashes atomic.Int64
	// received counts the requests with a marked part that reached VMs.
	received atomic.Int64
	// crash terminates a VM; nil for testSite.crash.
	crash func(id string)
	// harmless is true while the marked parts terminate nothing.
	harmless atomic.Bool
}

func (c *partCrasher) observe(o groupengine.Observation) {
	marked := false
	for _, part := range c.parts {
		marked = marked || strings.Contains(o.PromptParts, part+":")
	}
	switch {
	case !marked || c.harmless.Load():
	case o.Kind == groupengine.RequestReceived:
		c.received.Add(1)
	case o.Kind == groupengine.RequestExecuted:
		if _, before := c.crashed.LoadOrStore(o.VM, true); !before {
			c.crashes.Add(1)
			if c.crash != nil {
				c.crash(o.VM)
			} else {
				c.site.crash(o.VM)
			}
		}
		panic(http.ErrAbortHandler)
	}
}

// fetchWithParts requests a stream for a prompt with the given shared parts and a last part of its own. It returns
// the status and the body of the response, and the status 0 unless a response came and was complete.
func (s *testSite) fetchWithParts(id string, parts ...string) (status int, body string) {
	prompt := ""
	for _, part := range parts {
		prompt += part + ":40,"
	}
	resp, err := s.trySend(context.Background(), http.MethodPost, "/stream/"+id, map[string]string{"Attempt-Id": id, "Model": "m",
		"Prompt-Prefix": prompt + fmt.Sprintf("%x:300", id)})
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Sprintf("%s after %q", err, data)
	}
	return resp.StatusCode, string(data)
}

// TestPromptPartThatCrashesUpstreams: requests that were all different shared a part of their prompts, and each
// crashed the head that began to answer it. The quarantine counted whole requests, so that none of them was seen
// twice: all heads ended, and the sound requests beside them had no upstream.
func TestPromptPartThatCrashesUpstreams(t *testing.T) {
	for name, test := range map[string]struct {
		parts []string
		// before is the number of requests with the part that are answered before it crashes upstreams.
		before int
	}{
		"one part":                      {parts: []string{"bad0"}},
		"two parts":                     {parts: []string{"bad0", "bad1"}},
		"a part that was answered once": {parts: []string{"bad0"}, before: 10},
	} {
		t.Run(name, func(t *testing.T) {
			parts := test.parts
			const heads, callers, arrivals, maxCrashes = 40, 16, 40, 6
			c := &partCrasher{parts: parts}
			s := newTestSite(t, options{heads: heads, pause: 5 * time.Millisecond, prefill: 50 * time.Millisecond, observe: c.observe})
			c.site = s
			shared := func(n int) string { return fmt.Sprintf("a%d", n%8) }
			var served, failed atomic.Int64
			stop := s.startPartCallers(callers, shared, &served, func(status int, body string) {
				t.Logf("a sound request got status %d, %s", status, body)
				failed.Add(1)
			})
			c.harmless.Store(true)
			for i := range test.before {
				if status, body := s.fetchWithParts(fmt.Sprintf("b%d", i), shared(i), parts[0]); status != http.StatusOK {
					t.Fatalf("status %d, %s", status, body)
				}
			}
			c.harmless.Store(false)
			random := rand.New(rand.NewPCG(1, 1))
			var running sync.WaitGroup
			for i := range arrivals {
				running.Go(func() { s.fetchWithParts(fmt.Sprintf("c%d", i), shared(i), parts[i%len(parts)]) })
				time.Sleep(20*time.Millisecond + time.Duration(random.Int64N(int64(80*time.Millisecond))))
			}
			running.Wait()
			stop()
			if n := c.crashes.Load(); n > int64(maxCrashes*len(parts)) {
				t.Errorf("%d of %d heads terminated under %d prompt parts, at most %d expected", n, heads, len(parts), maxCrashes*len(parts))
			}
			before := c.received.Load()
			for i := range 10 {
				if status, _ := s.fetchWithParts(fmt.Sprintf("d%d", i), shared(i), parts[i%len(parts)]); status != http.StatusServiceUnavailable {
					t.Errorf("a request with the part got status %d, want %d", status, http.StatusServiceUnavailable)
				}
			}
			if n := c.received.Load() - before; n > 0 {
				t.Errorf("%d requests with the part reached upstreams after the quarantine", n)
			}
			if n := failed.Load(); n > 0 {
				t.Errorf("%d of %d sound requests were not served", n, n+served.Load())
			}
		})
	}
}

// TestRetryWaitsForTheEndOfItsUpstream: a process that dies may close its connections before its port. The request went on
// to the next head before the end of the first one was known, so that it was no trial there, and cost one head more.
func TestRetryWaitsForTheEndOfItsUpstream(t *testing.T) {
	const maxCrashes = 3
	c := &partCrasher{parts: []string{"bad0"}}
	s := newTestSite(t, options{heads: 12, prefill: 10 * time.Millisecond, observe: c.observe})
	c.site, c.crash = s, s.crashConnectionsFirst
	gateway.CheckPortsWith(s.server, &net.Dialer{Timeout: waitLimit, Control: s.checkPort})
	for i := range 4 {
		if status, body := s.fetchWithParts(fmt.Sprintf("c%d", i), "bad0"); status == http.StatusOK {
			t.Errorf("a request with the part was served: %s", body)
		}
	}
	if n := c.crashes.Load(); n > maxCrashes {
		t.Errorf("%d heads terminated, at most %d expected", n, maxCrashes)
	}
}

// startPartCallers starts callers that request one stream after the other, each prompt with a shared part, until
// stop is called.
func (s *testSite) startPartCallers(callers int, shared func(int) string, served *atomic.Int64, failed func(status int, body string)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if status, body := s.fetchWithParts(fmt.Sprintf("o%d-%d", i, n), shared(i+n)); status == http.StatusOK {
					served.Add(1)
				} else {
					failed(status, body)
				}
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}
