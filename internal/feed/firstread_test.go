package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// slowLink is a platform whose link transfers one large object at a time. A list or a configuration
// takes transferTime, and a call that would have to wait longer than callTimeout fails.
type slowLink struct {
	*fakePlatform
	lists, documents atomic.Int64

	linkMu sync.Mutex
	// freeAt is when the link has transferred everything requested so far.
	freeAt time.Time
}

const (
	transferTime = 20 * time.Millisecond
	callTimeout  = 700 * time.Millisecond
)

func newSlowLink() *slowLink {
	return &slowLink{fakePlatform: &fakePlatform{vms: map[string]fleet.VM{"v": {ID: "v", Address: "127.0.0.1:1", Service: "s"}}, revision: 1, version: 1}}
}

// transfer waits until the link has transferred one more large object.
func (n *slowLink) transfer() error {
	n.linkMu.Lock()
	now := time.Now()
	if n.freeAt.Before(now) {
		n.freeAt = now
	}
	n.freeAt = n.freeAt.Add(transferTime)
	wait := n.freeAt.Sub(now)
	n.linkMu.Unlock()
	time.Sleep(min(wait, callTimeout))
	if wait > callTimeout {
		return platform.ErrUnavailable
	}
	return nil
}

// List implements fleet.Source.
func (n *slowLink) List(context.Context, uint64) (fleet.WatchResult, error) {
	n.lists.Add(1)
	requestedAt := time.Now()
	if err := n.transfer(); err != nil {
		return fleet.WatchResult{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []fleet.Change
	for _, vm := range n.vms {
		out = append(out, fleet.Change{VM: vm})
	}
	return fleet.WatchResult{Changes: out, Revision: n.revision, VerifiedAt: requestedAt}, nil
}

// Watch implements fleet.Source; nothing changes.
func (n *slowLink) Watch(ctx context.Context, revision uint64, _ time.Duration) (fleet.WatchResult, error) {
	requestedAt := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(50 * time.Millisecond):
	}
	return fleet.WatchResult{Revision: revision, VerifiedAt: requestedAt}, nil
}

// slowLinkCatalog is the configuration of a slowLink.
type slowLinkCatalog struct{ *slowLink }

// Current implements catalog.Source.
func (n slowLinkCatalog) Current(context.Context, uint64) (catalog.WatchResult, error) {
	n.documents.Add(1)
	requestedAt := time.Now()
	if err := n.transfer(); err != nil {
		return catalog.WatchResult{}, err
	}
	c, err := decodeVersion([]byte("1"))
	return catalog.WatchResult{Catalog: c, Revision: 1, VerifiedAt: requestedAt}, err
}

// Changed implements catalog.Source; nothing changes.
func (n slowLinkCatalog) Changed(ctx context.Context, revision uint64, _ time.Duration) (catalog.WatchResult, error) {
	w, err := n.Watch(ctx, revision, 0)
	return catalog.WatchResult{Revision: w.Revision, VerifiedAt: w.VerifiedAt}, err
}

// startingNodes is a failure domain whose nodes all start at the same moment: no node has received a
// heartbeat yet, but the nodes' records are in the store.
type startingNodes struct{ records []cluster.Record }

func (n startingNodes) Size() int                     { return len(n.records) }
func (n startingNodes) Live(time.Time) []cluster.Peer { return nil }
func (n startingNodes) Others() []cluster.Record      { return n.records }

func (n startingNodes) DomainNodes() ([]cluster.Record, bool) { return n.records, true }

// startNodes starts the nodes of one failure domain at the same moment.
func startNodes(t *testing.T, link *slowLink, count int) []*node {
	t.Helper()
	domain := startingNodes{}
	servers := make([]*http.ServeMux, count)
	for i := range count {
		servers[i] = http.NewServeMux()
		server := httptest.NewServer(servers[i])
		t.Cleanup(server.Close)
		domain.records = append(domain.records, cluster.Record{ID: fmt.Sprintf("n%02d", i), FailureDomain: "x",
			Address: strings.TrimPrefix(server.URL, "http://")})
	}
	var nodes []*node
	for i, self := range domain.records {
		leader := NewLeader(self, domain, func() bool { return false }, testLog(t), http.DefaultClient, func(address string) string { return "http://" + address })
		n := &node{directory: fleet.NewDirectory(NewFleet(link, leader), testLog(t), time.Second, func() time.Duration { return time.Millisecond })}
		n.cache = catalog.NewCache(NewCatalog(slowLinkCatalog{link}, leader, func() uint64 { return n.cache.Version() }, decodeVersion), testLog(t), time.Second)
		servers[i].Handle(marbleroadv1connect.NewClusterServiceHandler(handler{&Server{Directory: n.directory, Cache: n.cache}}))
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		for _, s := range []service{n.directory, n.cache} {
			if err := s.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.Stop(context.Background()) })
		}
	}
	return nodes
}

func (n *node) hasList() bool          { s := n.directory.Snapshot(); return s != nil && s.VMs["v"] != nil }
func (n *node) hasConfiguration() bool { return n.cache.Version() == 1 }

func allNodesHave(nodes []*node, has func(*node) bool) bool {
	return !slices.ContainsFunc(nodes, func(n *node) bool { return !has(n) })
}

// TestAllNodesStartAtOnce: all 300 nodes were killed at the same moment, and each read the full list
// of 3,000 upstream VMs from the platform when it was reachable again. The platform's link could not
// transfer all of the lists, so that calls timed out, and a node whose page had failed started again
// with the first page. The nodes served again after 30 s. Of 295 nodes with 931 upstream VMs, 85
// failed once:
//
//	3001 of=directory error="read answer: context deadline exceeded"
func TestAllNodesStartAtOnce(t *testing.T) {
	link := newSlowLink()
	nodes := startNodes(t, link, 80)
	waitFor(t, "all nodes", func() bool { return allNodesHave(nodes, (*node).hasList) })
	if n := link.lists.Load(); n > int64(len(nodes)/4) {
		t.Errorf("%d nodes read the full list %d times from the platform", len(nodes), n)
	}
}

// TestDisconnectedSourceIsUsed: a node that the platform refused did not pass on its list.
func TestDisconnectedSourceIsUsed(t *testing.T) {
	s := &fakePlatform{vms: map[string]fleet.VM{"v": {ID: "v"}, "left": {ID: "left"}}, revision: 2, version: 1, changes: make([]fleet.Change, 2)}
	source := start(t, s, func(l *platformClient) (fleet.Source, func(func() uint64) catalog.Source) {
		return l, func(func() uint64) catalog.Source { return catalogSource{l} }
	})
	waitFor(t, "the source", func() bool { return source.directory.Snapshot() != nil && source.cache.Version() == 1 })
	source.platform.down.Store(true)
	s.remove("left")
	s.put(fleet.VM{ID: "new"})
	waitFor(t, "its verification to be old", func() bool {
		return source.directory.Snapshot().VerifiedAt.Add(maxUnrefreshedAge + 100*time.Millisecond).Before(time.Now())
	})
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewClusterServiceHandler(handler{&Server{Directory: source.directory, Cache: source.cache}}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	domain := domainNodes(domainRecords(60))
	domain[0].Address = strings.TrimPrefix(server.URL, "http://")
	for name, down := range map[string]bool{"connected": false, "disconnected": true} {
		t.Run(name, func(t *testing.T) {
			client := &platformClient{fakePlatform: s}
			client.down.Store(down)
			leader := NewLeader(domain[59], domain, func() bool { return false }, testLog(t), http.DefaultClient,
				func(address string) string { return "http://" + address })
			listed, err := leader.listFrom(context.Background(), domain[0], 0, 0)
			if err != nil {
				t.Fatal(err)
			}
			listed, err = NewFleet(client, leader).refresh(context.Background(), listed)
			var ids []string
			for _, c := range listed.Changes {
				ids = append(ids, c.VM.ID)
			}
			slices.Sort(ids)
			want := []string{"new", "v"}
			if down {
				want = []string{"left", "v"}
			}
			if err != nil || !slices.Equal(ids, want) {
				t.Errorf("lists %v, want %v; error %v", ids, want, err)
			}
			if recent := time.Since(listed.VerifiedAt) < time.Second; recent == down {
				t.Errorf("verified %v ago", time.Since(listed.VerifiedAt))
			}
		})
	}
}

// TestLargeConfigurationAtARestartOfAllNodes: each node read the configuration from the platform,
// whose link could not transfer so many.
func TestLargeConfigurationAtARestartOfAllNodes(t *testing.T) {
	link := newSlowLink()
	nodes := startNodes(t, link, 80)
	waitFor(t, "all nodes", func() bool { return allNodesHave(nodes, (*node).hasConfiguration) })
	if n := link.documents.Load(); n > int64(len(nodes)/4) {
		t.Errorf("%d nodes read the configuration %d times from the platform", len(nodes), n)
	}
}
