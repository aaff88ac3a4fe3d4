package cluster

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/transport"
)

// handler serves ClusterService.
type handler struct {
	Feed
	c *Cluster
}

// ShareState implements ClusterService.
func (h handler) ShareState(_ context.Context, r *connect.Request[marbleroadv1.ShareStateRequest]) (*connect.Response[marbleroadv1.ShareStateResponse], error) {
	return connect.NewResponse(h.c.respond(r.Msg)), nil
}

// rpcLink carries exchanges over Connect RPC.
type rpcLink struct {
	peers *transport.Peers
	http  *http.Client

	mu sync.Mutex
	// clients caches the clients by address, so that exchanges reuse them.
	clients map[string]marbleroadv1connect.ClusterServiceClient
}

func newRPCLink(peers *transport.Peers) *rpcLink {
	return &rpcLink{peers: peers, http: peers.Client(), clients: make(map[string]marbleroadv1connect.ClusterServiceClient)}
}

// Share implements Link.
func (l *rpcLink) Share(ctx context.Context, to Record, r *marbleroadv1.ShareStateRequest) (*marbleroadv1.ShareStateResponse, error) {
	response, err := l.client(to.Address).ShareState(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (l *rpcLink) client(address string) marbleroadv1connect.ClusterServiceClient {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clients[address] == nil {
		l.clients[address] = marbleroadv1connect.NewClusterServiceClient(bodylimit.RPCClient(l.http, maxShareBytes), l.peers.URL(address), transport.ClientOptions(maxShareBytes)...)
	}
	return l.clients[address]
}
