package feed

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/fleet"
	port "github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/platform"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

// entryOf returns the store's entry of a plain upstream VM.
func entryOf(state string) map[string]any {
	return map[string]any{"service": "s", "addr": "10.0.0.1:80", "zone": "x", "slots": 3, "state": state, "version": "1", "warmup-left-ms": 0, "seq": 1}
}

// followedStore starts a leader that reads from a store and a follower of it.
func followedStore(t *testing.T) (store *objectstore.Store, leader, follower *fleet.Directory) {
	t.Helper()
	store = objectstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	source := func() fleet.Source {
		return platform.NewDirectory(platform.NewStore(server.URL, &http.Transport{}, time.Second), false)
	}
	leader = startDirectory(t, source())
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewClusterServiceHandler(handler{&Server{Directory: leader, Cache: catalog.NewCache(nil, testLog(t), 0)}}))
	peers := httptest.NewServer(mux)
	t.Cleanup(peers.Close)
	nodes := largeCluster{cluster.Record{ID: "a", FailureDomain: "x", Address: strings.TrimPrefix(peers.URL, "http://")}}
	selector := NewLeader(cluster.Record{ID: "b", FailureDomain: "x"}, nodes, func() bool { return false }, testLog(t),
		peers.Client(), func(address string) string { return "http://" + address })
	waitFor(t, "the leader's list", func() bool { return leader.Snapshot() != nil })
	follower = startDirectory(t, NewFleet(source(), selector))
	waitFor(t, "the follower's list", func() bool { return follower.Snapshot() != nil })
	return store, leader, follower
}

func startDirectory(t *testing.T, source fleet.Source) *fleet.Directory {
	t.Helper()
	d := fleet.NewDirectory(source, testLog(t), 200*time.Millisecond, func() time.Duration { return time.Millisecond })
	if err := d.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.Stop(t.Context()) })
	return d
}

func isDraining(d *fleet.Directory, id string) func() bool {
	return func() bool {
		vm := d.Snapshot().VMs[id]
		return vm != nil && vm.Draining
	}
}

// TestRestoredStoreHidesLeavingVMFromFollowers guards against followers that keep a revision of the history that
// a restore of the store has replaced. Their leader has read the list anew at a lower revision, and they take
// its changes up to their own for known ones: a VM that leaves keeps receiving requests.
func TestRestoredStoreHidesLeavingVMFromFollowers(t *testing.T) {
	store, leader, follower := followedStore(t)
	store.Put("servers", "leaver", entryOf("ready"))
	copied := time.Now()
	for i := range 20 {
		store.Put("servers", fmt.Sprintf("vm-%d", i), entryOf("ready"))
	}
	waitFor(t, "the follower to have all VMs", func() bool { return len(follower.Snapshot().VMs) == 21 })
	store.Restore(copied)
	waitFor(t, "the leader to read the restored store", func() bool { return len(leader.Snapshot().VMs) == 1 })
	store.Put("servers", "leaver", entryOf("draining"))
	waitFor(t, "the leader to learn that the VM is leaving", isDraining(leader, "leaver"))
	waitFor(t, "the follower to learn that the VM is leaving", isDraining(follower, "leaver"))
}

// outdatedLeader responds as a leader whose list is of an era, without any changes.
type outdatedLeader struct {
	handler
	era *uint64
}

// FollowFleet implements marbleroadv1connect.ClusterServiceHandler.
func (l outdatedLeader) FollowFleet(context.Context, *connect.Request[marbleroadv1.FollowFleetRequest]) (*connect.Response[marbleroadv1.FollowFleetResponse], error) {
	return connect.NewResponse(&marbleroadv1.FollowFleetResponse{Revision: 9, Era: l.era}), nil
}

// countedSource counts the watches of the platform.
type countedSource struct {
	fleet.Source
	watches int
}

// Watch implements fleet.Source.
func (s *countedSource) Watch(_ context.Context, revision uint64, _ time.Duration) (fleet.WatchResult, error) {
	s.watches++
	return fleet.WatchResult{Revision: revision}, nil
}

// TestLeaderOfAnOlderEraIsNotFollowed guards against responses that verify a list of the lost history, from a leader that
// has not noticed the restore. A leader of a version without eras is followed.
func TestLeaderOfAnOlderEraIsNotFollowed(t *testing.T) {
	era := func(n uint64) *uint64 { return &n }
	for name, test := range map[string]struct {
		era     *uint64
		watches int
	}{"older": {era(1), 1}, "same": {era(2), 0}, "none": {nil, 0}} {
		mux := http.NewServeMux()
		mux.Handle(marbleroadv1connect.NewClusterServiceHandler(outdatedLeader{era: test.era}))
		peers := httptest.NewServer(mux)
		nodes := largeCluster{cluster.Record{ID: "a", FailureDomain: "x", Address: strings.TrimPrefix(peers.URL, "http://")}}
		selector := NewLeader(cluster.Record{ID: "b", FailureDomain: "x"}, nodes, func() bool { return false }, testLog(t),
			peers.Client(), func(address string) string { return "http://" + address })
		source := &countedSource{}
		w, err := NewFleet(source, selector).Watch(t.Context(), port.JoinRevision(2, 5), 0)
		if err != nil || source.watches != test.watches || w.Relayed == (test.watches > 0) {
			t.Errorf("%s era: %d calls of the platform, relayed %t, %v", name, source.watches, w.Relayed, err)
		}
		if test.watches == 0 && w.Revision != port.JoinRevision(2, 9) {
			t.Errorf("%s era: revision %x", name, w.Revision)
		}
		peers.Close()
	}
}
