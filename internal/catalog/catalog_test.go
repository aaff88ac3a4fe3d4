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
		t.Error("a route of another host")
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

// TestTopPriority is that of the most urgent route or team.
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

func TestBadCatalogsAreRefused(t *testing.T) {
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

// TestUnknownKindIsNonIdempotent: the zero value is the careful one.
func TestUnknownKindIsNonIdempotent(t *testing.T) {
	if (&Route{}).Repeatable() || (&Route{Kind: Stream}).Repeatable() || !(&Route{Kind: Stream, Resumable: true}).Repeatable() {
		t.Error("wrong kinds may be repeated")
	}
}

// script answers the keeper's calls in order and then fails for good.
type script struct {
	answers []answer
	calls   []string
	done    chan struct{}
}

type answer struct {
	c        *Catalog
	revision uint64
	err      error
}

func (s *script) next(call string) (Watched, error) {
	asked := time.Now()
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		select {
		case <-s.done:
		default:
			close(s.done)
		}
		return Watched{}, platform.ErrUnavailable
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return Watched{Catalog: a.c, Revision: a.revision, ProvenAt: asked}, a.err
}

func (s *script) Current(context.Context) (Watched, error) { return s.next("current") }
func (s *script) Changed(context.Context, uint64, time.Duration) (Watched, error) {
	return s.next("changed")
}

// TestVersionNeverFalls: also not through a new listing after lost history.
func TestVersionNeverFalls(t *testing.T) {
	s := &script{done: make(chan struct{}), answers: []answer{
		{err: platform.ErrNotFound},
		{c: build(t, 5, "/a/"), revision: 10},
		{c: build(t, 3, "/old/"), revision: 11},
		{err: platform.ErrCompacted},
		{c: build(t, 4, "/old/"), revision: 12},
		{c: build(t, 9, "/b/"), revision: 13},
	}}
	log, err := event.New(io.Discard, "error", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	k := NewKeeper(s, log, time.Millisecond)
	var adopted []uint64
	k.OnChange(func() { adopted = append(adopted, k.Catalog().Version()) })
	if k.ProvenAge(time.Now()) < time.Hour {
		t.Error("proven before the first reading")
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	<-s.done
	if err := k.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if len(adopted) != 2 || adopted[0] != 5 || adopted[1] != 9 {
		t.Errorf("adopted %v", adopted)
	}
	if s.calls[4] != "current" {
		t.Errorf("after lost history: %v", s.calls)
	}
}
