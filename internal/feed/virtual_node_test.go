package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// disturb changes which nodes can be reached.
func (f *virtualFleet) disturb(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *virtualFleet) isDead(address string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.dead[address]
}

// apart reports whether two nodes exchange no states.
func (f *virtualFleet) apart(a, b string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.isolated[a] || f.isolated[b] || f.deaf[a] || f.deaf[b]
}

// virtualLink carries the calls of one node.
type virtualLink struct {
	*virtualFleet
	from string
}

// RoundTrip implements http.RoundTripper: it calls the other node's handler.
func (f virtualLink) RoundTrip(r *http.Request) (*http.Response, error) {
	defer func() { _ = r.Body.Close() }()
	time.Sleep(time.Millisecond)
	f.mu.RLock()
	gone, hung, handler := f.dead[r.URL.Host] || f.isolated[f.from] || f.isolated[r.URL.Host], f.hung[r.URL.Host], f.handlers[r.URL.Host]
	f.mu.RUnlock()
	if hung {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if gone {
		return nil, fmt.Errorf("%s is not there", r.URL.Host)
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// build gives the node a new process that knows nothing.
func (n *virtualNode) build(t *testing.T) {
	t.Helper()
	log, store, configurations := testLog(t), n.site.store, n.site.configurations
	client := &http.Client{Transport: virtualLink{n.site, n.record.ID}}
	selector := NewLeader(n.record, n, func() bool { return false }, log, client, func(a string) string { return "http://" + a })
	list := NewFleet(listOf{store, n.record.ID}, selector)
	n.directory = fleet.NewDirectory(list, log, fleet.WatchWait, func() time.Duration { return IdleWatchPause })
	cache := catalog.NewCache(nil, log, 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard = make(map[string]cluster.Peer)
	n.server = &Server{Directory: n.directory, FleetRelayed: list.Relayed}
	if configurations != nil {
		source := NewCatalog(configurationOf{configurations, n.record.ID}, selector, func() uint64 { return cache.Version() }, decodeVersion)
		cache = catalog.NewCache(source, log, time.Second)
		n.catchUp = NewCatchUp(source, cache, log)
		n.server.CatalogRelayed = source.Relayed
	}
	n.cache, n.server.Cache = cache, cache
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewClusterServiceHandler(handler{n.server}))
	n.site.disturb(func() { n.site.handlers[n.record.Address] = mux })
}

func (n *virtualNode) services() []service {
	if n.site.configurations == nil {
		return []service{n.directory}
	}
	return []service{n.directory, n.cache, n.catchUp}
}

func (n *virtualNode) start(t *testing.T) {
	t.Helper()
	for _, s := range n.services() {
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func (n *virtualNode) stop() {
	for _, s := range n.services() {
		_ = s.Stop(context.Background())
	}
}
