package catalog

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

func build(t *testing.T, version uint64, prefixes ...string) *Catalog {
	t.Helper()
	c := Content{Version: version, Services: []Service{{Name: "s"}, {Name: "p"}}}
	for _, prefix := range prefixes {
		c.Routes = append(c.Routes, Route{Name: prefix, Host: "h", Prefix: prefix, Targets: []Target{{Service: "s", Weight: 1}}})
	}
	out, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestLongestPrefixWins(t *testing.T) {
	c := build(t, 1, "/a/", "/a/b/", "/a/b/c/")
	for path, want := range map[string]string{
		"/a/x": "/a/", "/a/b/": "/a/b/", "/a/b": "/a/", "/a/b/c/d": "/a/b/c/", "/a//b/c/": "/a/", "/a/b/../": "/a/b/", "/a%2Fb/": "", "/a": "", "/": "",
	} {
		got := ""
		if r := c.Match("h", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: route %q, want %q", path, got, want)
		}
	}
	if c.Match("other", "/a/") != nil {
		t.Error("the path matched a route of another host")
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 0}, {"c", 10}}}
	for draw, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "c", 0.999: "c"} {
		if got := r.Pick(draw); got != want {
			t.Errorf("draw %g: %s, want %s", draw, got, want)
		}
	}
}

// TestTopPriority checks that a service's top priority is that of its most urgent route or of any team.
func TestTopPriority(t *testing.T) {
	zero := 0
	c := Content{Services: []Service{{Name: "s"}, {Name: "p"}}, Routes: []Route{
		{Prefix: "/a/", Priority: 3, Targets: []Target{{"s", 1}}},
		{Prefix: "/b/", Priority: 1, Targets: []Target{{"s", 1}}},
		{Prefix: "/c/", Priority: 2, Targets: []Target{{"p", 1}}},
	}}
	got, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	if s, p := got.Service("s").TopPriority, got.Service("p").TopPriority; s != 1 || p != 2 {
		t.Errorf("by routes: %d and %d", s, p)
	}
	c.Keys = map[string]Team{"k": {Name: "t", Priority: &zero}}
	if got, err = New(c); err != nil || got.Service("p").TopPriority != 0 {
		t.Errorf("by a team: %v", err)
	}
}

// TestInvalidCatalogsAreRejected checks that New returns ErrInvalid for a route with an invalid prefix,
// without a target service, or with an unknown one.
func TestInvalidCatalogsAreRejected(t *testing.T) {
	for name, r := range map[string]Route{
		"no slash":   {Prefix: "/a", Targets: []Target{{"s", 1}}},
		"no service": {Prefix: "/a/"},
		"unknown":    {Prefix: "/a/", Targets: []Target{{"x", 1}}},
	} {
		if _, err := New(Content{Routes: []Route{r}, Services: []Service{{Name: "s"}}}); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestUnknownKindIsNonIdempotent checks that requests of a route without a known kind are not repeated.
func TestUnknownKindIsNonIdempotent(t *testing.T) {
	if (&Route{}).Repeatable() || (&Route{Kind: Stream}).Repeatable() || !(&Route{Kind: Stream, Resumable: true}).Repeatable() {
		t.Error("Repeatable is wrong for a kind")
	}
}

// script returns scripted responses to the cache's calls in order; every later call fails.
type script struct {
	responses []response
	calls     []string
	done      chan struct{}
}

type response struct {
	catalog  *Catalog
	revision uint64
	err      error
}

func (s *script) next(call string) (WatchResult, error) {
	sentAt := time.Now()
	s.calls = append(s.calls, call)
	if len(s.responses) == 0 {
		select {
		case <-s.done:
		default:
			close(s.done)
		}
		return WatchResult{}, platform.ErrUnavailable
	}
	r := s.responses[0]
	s.responses = s.responses[1:]
	return WatchResult{Catalog: r.catalog, Revision: r.revision, VerifiedAt: sentAt}, r.err
}

func (s *script) Current(context.Context, uint64) (WatchResult, error) { return s.next("current") }
func (s *script) Changed(context.Context, uint64, time.Duration) (WatchResult, error) {
	return s.next("changed")
}

// TestVersionNeverDecreases checks that an older version is never adopted, neither from a watch
// nor from the read that follows a compacted history.
func TestVersionNeverDecreases(t *testing.T) {
	s := &script{done: make(chan struct{}), responses: []response{
		{err: platform.ErrNotFound},
		{catalog: build(t, 5, "/a/"), revision: 10},
		{catalog: build(t, 3, "/old/"), revision: 11},
		{err: platform.ErrCompacted},
		{catalog: build(t, 4, "/old/"), revision: 12},
		{catalog: build(t, 9, "/b/"), revision: 13},
	}}
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	c := NewCache(s, log, time.Millisecond)
	var adopted []uint64
	c.OnChange(func() { adopted = append(adopted, c.Catalog().Version()) })
	if c.VerifiedAge(time.Now()) < time.Hour {
		t.Error("the catalog counts as verified before the first read")
	}
	if err := c.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	<-s.done
	if err := c.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if len(adopted) != 2 || adopted[0] != 5 || adopted[1] != 9 {
		t.Errorf("adopted versions %v, want 5 and 9", adopted)
	}
	if s.calls[4] != "current" {
		t.Errorf("calls %v: want a read after the compacted history", s.calls)
	}
}
