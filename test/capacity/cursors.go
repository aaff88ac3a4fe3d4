package main

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
)

// viewCursors tracks, for each node's view client, the cursor up to which this tool has read the node's items, and the
// versions of the items.
type viewCursors struct {
	mu       sync.Mutex
	cursors  map[marbleroadv1connect.ViewServiceClient]*marbleroadv1.Cursor
	versions map[marbleroadv1connect.ViewServiceClient]map[string]uint64
}

var cursors = &viewCursors{
	cursors:  make(map[marbleroadv1connect.ViewServiceClient]*marbleroadv1.Cursor),
	versions: make(map[marbleroadv1connect.ViewServiceClient]map[string]uint64),
}

func (b *viewCursors) get(v marbleroadv1connect.ViewServiceClient) *marbleroadv1.Cursor {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cursors[v]
}

// record updates a client's cursor and versions from a response. An older response doesn't move the cursor back.
func (b *viewCursors) record(v marbleroadv1connect.ViewServiceClient, m *marbleroadv1.GetViewResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.versions[v] == nil {
		b.versions[v] = make(map[string]uint64)
	}
	for _, it := range m.GetChanged() {
		b.versions[v][it.GetKey()] = max(b.versions[v][it.GetKey()], it.GetVersion())
	}
	old := b.cursors[v]
	if old == nil || old.GetIncarnation() != m.GetItems().GetIncarnation() || old.GetSequence() < m.GetItems().GetSequence() {
		b.cursors[v] = m.GetItems()
	}
}

func (b *viewCursors) version(v marbleroadv1connect.ViewServiceClient, key string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.versions[v][key]
}

// peerStub simulates the nodes of all other failure domains. It responds to exchanges with the requester's own digest,
// so that no items have to be sent.
type peerStub struct{}

func newPeerStub() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(marbleroadv1connect.NewPeerServiceHandler(peerStub{}))
	return mux
}

// Exchange implements PeerService.
func (peerStub) Exchange(_ context.Context, r *connect.Request[marbleroadv1.ExchangeRequest]) (*connect.Response[marbleroadv1.ExchangeResponse], error) {
	return connect.NewResponse(&marbleroadv1.ExchangeResponse{
		NodeId:        "far-1-0",
		FailureDomain: "fd-1",
		Digest:        r.Msg.GetDigest(),
		Items:         &marbleroadv1.Cursor{Incarnation: 1, Sequence: 1},
		TableLoaded:   true,
		Entries:       []*marbleroadv1.EntryDemand{{FailureDomain: "fd-1"}},
	}), nil
}
