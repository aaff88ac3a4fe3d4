package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	_ "github.com/marbleroad/marbleroad/test/seed"
	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

const (
	// streamEvents is the number of events of a complete stream.
	streamEvents = 6
	// waitLimit is the timeout of every wait in a test.
	waitLimit = 20 * time.Second
)

// sum adds up a counter over VMs.
func sum(vms []*groupengine.VM, counter func(*groupengine.VM) int64) int64 {
	n := int64(0)
	for _, vm := range vms {
		n += counter(vm)
	}
	return n
}

func requestsReceived(vm *groupengine.VM) int64 { return vm.Received.Load() }
func requestsRun(vm *groupengine.VM) int64      { return vm.Executed.Load() }

// TestTargetAndHeaders: the target is forwarded unchanged, the key is not forwarded, and the team is
// determined by the key, whatever the caller sends.
func TestTargetAndHeaders(t *testing.T) {
	s := newTestSite(t, options{})
	for _, target := range []string{"/read/a%2Fb//c/../d?x=%20&y", "/read/a;b?", "/read/%7e/\"q\""} {
		resp := s.send(t, http.MethodGet, target, map[string]string{"Tenant": "other", "Connection": "X-Hop", "X-Hop": "1", "X-Own": "2"})
		if resp.StatusCode != http.StatusOK || body(t, resp) != "answer of api to "+target {
			t.Errorf("%s: %d", target, resp.StatusCode)
		}
	}
	for _, vm := range s.plain {
		headers, _ := vm.Requests()
		for _, h := range headers {
			if h.Get("Api-Key") != "" || h.Get("Tenant") != "team" || h.Get("X-Hop") != "" || h.Get("X-Own") != "2" || h.Get("Deadline-Ms") == "" {
				t.Errorf("header at the upstream: %v", h)
			}
		}
	}
}

// checkStream reads a stream and requires every event once, in order.
func checkStream(t *testing.T, resp *http.Response) {
	t.Helper()
	next := 1
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if id != fmt.Sprint(next) {
				t.Fatalf("event %s, want %d", id, next)
			}
			next++
		}
	}
	if lines.Err() != nil || next != streamEvents+1 {
		t.Fatalf("stream ended before event %d: %v", next, lines.Err())
	}
}

// TestStreamContinuesAtAnotherHead: a stream that is truncated within an event, stalls, or carries the ID of
// another request continues at another head within the same response.
func TestStreamContinuesAtAnotherHead(t *testing.T) {
	for name, fault := range map[string]func(*groupengine.VM){
		"truncated":  func(vm *groupengine.VM) { vm.TruncateAfter.Store(3) },
		"stalled":    func(vm *groupengine.VM) { vm.StallAfter.Store(3) },
		"mismatched": func(vm *groupengine.VM) { vm.WrongAttemptID.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestSite(t, options{})
			for range 6 {
				fault(s.heads[0])
				resp := s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"})
				if resp.StatusCode != http.StatusOK || !strings.HasPrefix(resp.Header.Get("Response-Seal"), "seal-of-head-") {
					t.Fatalf("status %d", resp.StatusCode)
				}
				checkStream(t, resp)
			}
		})
	}
}

// TestTruncatedStreamNeverLooksComplete: if no other head is left, the caller's connection is broken.
func TestTruncatedStreamNeverLooksComplete(t *testing.T) {
	s := newTestSite(t, options{})
	for _, vm := range s.heads {
		vm.TruncateAfter.Store(2)
	}
	resp := s.send(t, http.MethodPost, "/stream/x", map[string]string{"Model": "m"})
	if data, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("a truncated stream looks complete: %q", data)
	}
}

// TestNonIdempotentIsSentOnce: a non-idempotent request must be sent once, whatever happens to it, and the
// response must not claim that it has not run.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	s := newTestSite(t, options{})
	for _, vm := range s.plain {
		vm.WrongAttemptID.Store(true)
	}
	resp := s.send(t, http.MethodPost, "/once/x", nil)
	if n := sum(s.plain, requestsReceived); n != 1 || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("sent %d times, status %d", n, resp.StatusCode)
	}
}

// TestUnavailableOnlyIfNotRun: the status is 503 only if no upstream has run the request, and comes with a
// retry delay, which may have a fraction.
func TestUnavailableOnlyIfNotRun(t *testing.T) {
	s := newTestSite(t, options{})
	for _, vm := range append(s.plain, s.heads...) {
		vm.Refuse.Store(true)
	}
	for _, target := range []string{"/once/x", "/read/x", "/stream/x"} {
		resp := s.send(t, http.MethodPost, target, map[string]string{"Model": "m"})
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("%s: status %d, retry after %q", target, resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	if n := sum(append(s.plain, s.heads...), requestsRun); n != 0 {
		t.Errorf("%d refused requests ran", n)
	}
}

func TestGatewayErrors(t *testing.T) {
	s := newTestSite(t, options{})
	cases := []struct {
		target string
		header map[string]string
		status int
	}{
		{"/nowhere/x", nil, http.StatusNotFound},
		{"/read", nil, http.StatusNotFound},
		{"/read/x", map[string]string{"Api-Key": "wrong"}, http.StatusUnauthorized},
		{"/public/x", map[string]string{"Api-Key": "wrong"}, http.StatusOK},
		{"/public/x", map[string]string{"X-Large": strings.Repeat("x", 2000)}, http.StatusRequestHeaderFieldsTooLarge},
		{"/stream/x", map[string]string{"Model": "unknown"}, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		if resp := s.send(t, http.MethodGet, c.target, c.header); resp.StatusCode != c.status {
			t.Errorf("%s: %d, want %d", c.target, resp.StatusCode, c.status)
		}
	}
}

// TestNoConfigurationYet: a node without a configuration rejects requests as temporarily unavailable, not
// as having no route.
func TestNoConfigurationYet(t *testing.T) {
	s := newTestSite(t, options{noConfiguration: true})
	if resp := s.send(t, http.MethodGet, "/read/x", nil); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d", resp.StatusCode)
	}
	if ok, _ := s.server.Ready(); ok {
		t.Error("ready without a configuration")
	}
}

// TestKeysNeedVerifiedCatalog: while the store is unreachable for longer than the bound, keys are
// rejected. Public routes, and the routes themselves, stay in use.
func TestKeysNeedVerifiedCatalog(t *testing.T) {
	s := newTestSite(t, options{revokeBound: 400 * time.Millisecond})
	s.store.SetDown(true)
	waitFor(t, "keys to be refused", func() bool {
		return s.send(t, http.MethodGet, "/read/x", nil).StatusCode == http.StatusServiceUnavailable
	})
	if resp := s.send(t, http.MethodGet, "/public/x", nil); resp.StatusCode != http.StatusOK {
		t.Errorf("public route: %d", resp.StatusCode)
	}
	s.store.SetDown(false)
	waitFor(t, "keys to be accepted again", func() bool {
		return s.send(t, http.MethodGet, "/read/x", nil).StatusCode == http.StatusOK
	})
}

// TestConfigurationFollowsNewerVersions: a newer version is applied, an older one never.
func TestConfigurationFollowsNewerVersions(t *testing.T) {
	s := newTestSite(t, options{})
	next := configuration(7)
	next["tenants"] = []any{map[string]any{"name": "team", "api-keys": []string{"new"}}}
	s.store.Put("config", "main", next)
	waitFor(t, "the old key to be refused", func() bool {
		return s.send(t, http.MethodGet, "/read/x", nil).StatusCode == http.StatusUnauthorized
	})
	s.store.Put("config", "main", configuration(3))
	after := s.store.Revision()
	s.store.Put("servers", "ignored", map[string]any{"service": "none"})
	waitFor(t, "the watch to pass the older version", func() bool { return s.store.Revision() > after && s.store.Calls("/-/objects/config") > 8 })
	if resp := s.send(t, http.MethodGet, "/read/x", nil); resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("an older version was applied: %d", resp.StatusCode)
	}
}

// TestLeavingVMGetsNoNewRequests: a VM gets no new requests once it reports that it leaves, or is no
// longer listed.
func TestLeavingVMGetsNoNewRequests(t *testing.T) {
	s := newTestSite(t, options{})
	s.plain[0].Drain()
	s.store.Delete("servers", "plain-1")
	waitFor(t, "both VMs to be removed", func() bool {
		return s.send(t, http.MethodGet, "/read/x", nil).StatusCode == http.StatusServiceUnavailable
	})
}

// TestCallerLeaves: when the caller disconnects, the request to the upstream is canceled.
func TestCallerLeaves(t *testing.T) {
	s := newTestSite(t, options{})
	left := make(chan struct{})
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	}))
	t.Cleanup(slow.Close)
	for i := range s.plain {
		s.store.Delete("servers", fmt.Sprintf("plain-%d", i))
	}
	s.store.Put("servers", "slow", map[string]any{"service": "api", "addr": strings.TrimPrefix(slow.URL, "http://"), "zone": "a", "slots": 8, "state": "ready", "version": "v1", "warmup-left-ms": 0, "seq": 1})
	waitFor(t, "only the slow VM to be listed", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		resp, err := s.trySend(ctx, http.MethodPost, "/once/x", nil)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err != nil
	})
	select {
	case <-left:
	case <-time.After(waitLimit):
		t.Error("the upstream still runs the request of a caller that left")
	}
}

// TestLargeBody: a body that is too large is rejected before it is read.
func TestLargeBody(t *testing.T) {
	s := newTestSite(t, options{})
	req, err := http.NewRequest(http.MethodPost, s.url+"/once/x", strings.NewReader(strings.Repeat("x", 1001)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "r1")
	req.Header.Set("Api-Key", "key")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge || sum(s.plain, requestsReceived) != 0 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// TestSlowBodyIsRefused: if the body does not arrive before the deadline, the request is rejected as not
// run.
func TestSlowBodyIsRefused(t *testing.T) {
	s := newTestSite(t, options{})
	c, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitLimit))
	_, err = io.WriteString(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: r1\r\nApi-Key: key\r\nDeadline-Ms: 150\r\nContent-Length: 9\r\n\r\nhalf")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusRequestTimeout || sum(s.plain, requestsReceived) != 0 {
		t.Errorf("status %d after %d sends", resp.StatusCode, sum(s.plain, requestsReceived))
	}
}
