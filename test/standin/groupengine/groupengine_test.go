package groupengine_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

const (
	streamEvents = 20
	waitLimit    = 20 * time.Second
)

// group is an open group of a head and a member, whose streams the test can hold up.
type group struct {
	head, member *groupengine.VM
	url          string
	memberLost   atomic.Bool
}

func newGroup(t *testing.T) *group {
	t.Helper()
	g := &group{}
	store := objectstore.New()
	find := func(id string) *groupengine.VM {
		switch {
		case id == "head":
			return g.head
		case g.memberLost.Load():
			return nil
		}
		return g.member
	}
	newVM := func(id string) *groupengine.VM {
		return groupengine.New(groupengine.Config{ID: id, Service: "llm", Events: streamEvents, EventInterval: time.Millisecond, FindVM: find, StallBound: time.Hour}, store)
	}
	g.head, g.member = newVM("head"), newVM("member")
	for _, vm := range []*groupengine.VM{g.member, g.head} {
		server := httptest.NewServer(vm)
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		g.url = server.URL
		g.order(t, `{"op":"join","group":"g","epoch":1,"model":"m","members":["head","member"]}`, http.StatusAccepted)
		waitFor(t, "readiness", func() bool { return vm.State() == "ready" })
	}
	g.order(t, `{"op":"open","group":"g","epoch":1}`, http.StatusAccepted)
	return g
}

// hold holds up the head's streams, or lets them go on.
func (g *group) hold(on bool) {
	g.memberLost.Store(on)
	g.head.CheckMembers(time.Now())
	g.memberLost.Store(false)
}

// order sends an order to the VM that was started last, the head, and checks the response's status.
func (g *group) order(t *testing.T, body string, want int) {
	t.Helper()
	resp, err := http.Post(g.url+"/-/order", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		t.Fatalf("order %s: status %d, want %d", body, resp.StatusCode, want)
	}
}

// send sends a request to the head.
func (g *group) send(t *testing.T) *http.Response {
	t.Helper()
	resp, err := http.Post(g.url+"/stream/x", "text/plain", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// active returns the number of requests that the head reports.
func (g *group) active(t *testing.T) int {
	t.Helper()
	resp, err := http.Get(g.url + "/-/report")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var report struct {
		Active int `json:"active"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		t.Fatal(err)
	}
	return report.Active
}

// startStalledStream starts a stream that runs and waits until the test lets it go on. The channel receives its
// response, or nil for none.
func (g *group) startStalledStream(t *testing.T) <-chan *http.Response {
	t.Helper()
	g.hold(true)
	started := make(chan *http.Response, 1)
	go func() {
		resp, err := http.Post(g.url+"/stream/x", "text/plain", http.NoBody)
		if err != nil {
			resp = nil
		}
		started <- resp
	}()
	waitFor(t, "a stream to run", func() bool { return g.head.Executed.Load() == 1 })
	return started
}

// TestClosingHeadFinishesItsStreams guards against a head that is ready for other orders while streams run: a "leave"
// that follows such a "close" ends them, which no planned closing does at the users' VMs.
func TestClosingHeadFinishesItsStreams(t *testing.T) {
	g := newGroup(t)
	resp := g.startStalledStream(t)
	g.order(t, `{"op":"close","close-mode":"queue","group":"g","epoch":1}`, http.StatusAccepted)
	if state, n := g.head.State(), g.active(t); state != "closing" || n != 1 {
		t.Errorf("state %q with %d active, want closing with 1", state, n)
	}
	g.order(t, `{"op":"close","close-mode":"queue","group":"g","epoch":1}`, http.StatusOK)
	if refused := g.send(t); refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("Not-Executed") == "" {
		t.Errorf("a request to the closing head got %d", refused.StatusCode)
	}
	g.hold(false)
	checkWhole(t, <-resp)
	waitFor(t, "the head to be ready", func() bool { return g.head.State() == "ready" && g.active(t) == 0 })
	g.order(t, `{"op":"open","group":"g","epoch":1}`, http.StatusAccepted)
	checkWhole(t, g.send(t))
}

// TestIdleHeadClosesAtOnce guards against a head that waits for a stream that it never had.
func TestIdleHeadClosesAtOnce(t *testing.T) {
	g := newGroup(t)
	checkWhole(t, g.send(t))
	waitFor(t, "the stream to finish", func() bool { return g.active(t) == 0 })
	g.order(t, `{"op":"close","close-mode":"queue","group":"g","epoch":1}`, http.StatusAccepted)
	if state := g.head.State(); state != "ready" {
		t.Errorf("state %q, want ready", state)
	}
}

// TestOrdersThatEndStreams guards against streams that outlive the orders that end them, at an open head and at a
// closing one.
func TestOrdersThatEndStreams(t *testing.T) {
	closing := `{"op":"close","close-mode":"queue","group":"g","epoch":1}`
	preempt := `{"op":"close","close-mode":"preempt","group":"g","epoch":1}`
	leave := `{"op":"leave","group":"g","epoch":1}`
	for name, c := range map[string]struct {
		orders []string
		status int
		state  string
	}{
		"preempt":               {[]string{preempt}, http.StatusAccepted, "ready"},
		"preempt while closing": {[]string{closing, preempt}, http.StatusAccepted, "ready"},
		"leave":                 {[]string{leave}, http.StatusOK, ""},
		"leave while closing":   {[]string{closing, leave}, http.StatusOK, ""},
		"join elsewhere":        {[]string{`{"op":"join","group":"h","epoch":2,"model":"m","members":["other","head"]}`}, http.StatusAccepted, "*"},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			resp := g.startStalledStream(t)
			for i, body := range c.orders {
				status := http.StatusAccepted
				if i == len(c.orders)-1 {
					status = c.status
				}
				g.order(t, body, status)
			}
			if state := g.head.State(); c.state != "*" && state != c.state {
				t.Errorf("state %q, want %q", state, c.state)
			}
			if n := g.active(t); n != 0 {
				t.Errorf("%d active, want 0", n)
			}
			g.hold(false)
			if got := <-resp; got != nil {
				if text, err := io.ReadAll(got.Body); err == nil {
					t.Errorf("the stream ended well with %q", text)
				}
			}
		})
	}
}

// TestDrainedMemberRemainsWhileItsHeadHasWork guards against a stand-in that ends streams by its drains: the head of a
// member that stopped listening accepts nothing new and finishes what it has.
func TestDrainedMemberRemainsWhileItsHeadHasWork(t *testing.T) {
	g := newGroup(t)
	resp := g.startStalledStream(t)
	g.member.Drain()
	g.member.StopListening()
	if !g.member.GroupHasWork() {
		t.Error("the head has no work")
	}
	if refused := g.send(t); refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get("Not-Executed") == "" {
		t.Errorf("a request to the head got %d", refused.StatusCode)
	}
	g.hold(false)
	checkWhole(t, <-resp)
	waitFor(t, "the head to have no work", func() bool { return !g.member.GroupHasWork() })
}

func checkWhole(t *testing.T, resp *http.Response) {
	t.Helper()
	if resp == nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("response %v", resp)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil || !strings.Contains(string(text), fmt.Sprintf("id: %d\n", streamEvents)) {
		t.Errorf("the stream ended early: %q, error %v", text, err)
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timeout while waiting for %s", what)
}

// TestHealthShowsADeparture checks that a VM without an entry answers health checks as one that leaves.
func TestHealthShowsADeparture(t *testing.T) {
	v := groupengine.New(groupengine.Config{ID: "vm-1"}, objectstore.New())
	status := func() int {
		w := httptest.NewRecorder()
		v.ServeHTTP(w, httptest.NewRequest(http.MethodGet, groupengine.HealthPath, nil))
		if id := w.Header().Get("Instance-Id"); id != "vm-1" {
			t.Errorf("the check is answered by %q", id)
		}
		return w.Code
	}
	if got := status(); got != http.StatusOK {
		t.Errorf("a VM that serves answers %d", got)
	}
	v.DeleteEntry()
	if got := status(); got != http.StatusServiceUnavailable {
		t.Errorf("a VM that leaves answers %d", got)
	}
}
