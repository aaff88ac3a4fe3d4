package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/wire"
)

const (
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// peersPerSecond bounds how many peers are queried in a second, so that the traffic of a
	// node does not grow with the failure domain.
	peersPerSecond = 12
	// remoteDomainInterval is the minimum time between two exchanges with another failure
	// domain.
	remoteDomainInterval = 2 * time.Second
)

// peerLink holds the progress of the exchanges with one peer. The goroutine of the running
// exchange owns cursor and witnessReader; busy ensures that there is only one.
type peerLink struct {
	busy        bool
	lastRequest time.Time
	// lastResponse is when the last request that the peer answered was sent; until there is
	// one, the time of the link's creation.
	lastResponse  time.Time
	cursor        item.Cursor
	witnessReader wire.WitnessReader
}

// exchanger queries each peer at its interval.
type exchanger struct {
	k *Control

	mu    sync.Mutex
	links map[string]*peerLink
}

func newExchanger(k *Control) *exchanger {
	return &exchanger{k: k, links: make(map[string]*peerLink)}
}

// exchangePollInterval is how often the exchanger checks which peers are due.
const exchangePollInterval = 100 * time.Millisecond

func (x *exchanger) loop(ctx context.Context) {
	every(ctx, exchangePollInterval, func() {
		peers := x.peers()
		interval := exchangeInterval(x.k.config.ExchangeInterval, len(peers))
		for _, p := range peers {
			x.startExchange(ctx, p, interval)
		}
	})
}

// exchangeInterval returns the time between two exchanges with a peer. It grows with the number
// of peers.
func exchangeInterval(base time.Duration, peers int) time.Duration {
	return max(base, time.Duration(peers)*time.Second/peersPerSecond)
}

// peers lists the nodes to query, and the seeds that are not the address of a known node.
func (x *exchanger) peers() []node.Record {
	out := x.k.tickResult.Load().peers
	covered := map[string]bool{x.k.config.Advertise: true}
	for _, p := range out {
		covered[p.Control] = true
	}
	var seeds []node.Record
	for _, address := range x.k.config.Seeds {
		if !covered[address] {
			seeds = append(seeds, node.Record{FailureDomain: x.k.config.FailureDomain, Control: address})
		}
	}
	return append(seeds, out...)
}

// startExchange starts an exchange with the peer if one is due and none is running.
func (x *exchanger) startExchange(ctx context.Context, p node.Record, interval time.Duration) {
	if p.FailureDomain != x.k.config.FailureDomain {
		interval = max(interval, remoteDomainInterval)
	}
	x.mu.Lock()
	link := x.links[p.Control]
	if link == nil {
		link = &peerLink{lastResponse: clock.Now()}
		x.links[p.Control] = link
	}
	now := clock.Now()
	due := !link.busy && now.Sub(link.lastRequest) >= interval-exchangePollInterval/2
	if due {
		link.busy = true
		link.lastRequest = now
	}
	x.mu.Unlock()
	if !due {
		return
	}
	x.k.startWorker(ctx, func(ctx context.Context) {
		x.exchange(ctx, p.Control, link)
		x.mu.Lock()
		link.busy = false
		x.mu.Unlock()
	})
}

// exchange queries one peer, adopts its items and probe results, and reports to the state
// actor.
func (x *exchanger) exchange(ctx context.Context, address string, link *peerLink) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	k := x.k
	requestedAt := clock.Now()
	resp, err := k.peerClient(address).Exchange(ctx, connect.NewRequest(&marbleroadv1.ExchangeRequest{
		NodeId:        k.config.NodeID,
		FailureDomain: k.config.FailureDomain,
		Items:         wire.CursorMessage(link.cursor),
		Digest:        k.items.Digest(),
		WitnessEpoch:  link.witnessReader.Epoch(),
	}))
	k.parts.Metrics.Count("exchanges", 1)
	if err != nil {
		k.parts.Metrics.Count("exchanges.failed", 1)
		return
	}
	m := resp.Msg
	results, err := link.witnessReader.Read(m.GetWitnesses(), requestedAt)
	if err != nil {
		return
	}
	for _, w := range results {
		k.registry.Record(w)
	}
	for _, it := range m.GetChanged() {
		k.adopt(wire.Item(it))
	}
	link.cursor = wire.Cursor(m.GetItems())
	x.mu.Lock()
	link.lastResponse = requestedAt
	x.mu.Unlock()
	if m.GetTableLoaded() && k.platformDown.Load() {
		k.markRead(&k.tableRead)
		k.markRead(&k.nodesRead)
	}
	k.sendToState(exchangeCompleted{
		id:            m.GetNodeId(),
		failureDomain: m.GetFailureDomain(),
		requestedAt:   requestedAt,
		digest:        m.GetDigest(),
		entries:       m.GetEntries(),
		platformDown:  m.GetPlatformUnreachable(),
	})
}

// peerOptions limits and decompresses the responses of peers.
var peerOptions = bodylimit.RPCOptions(transport.MaxMessageBytes)

// peerClient returns a client of another control daemon.
func (k *Control) peerClient(address string) marbleroadv1connect.PeerServiceClient {
	client := bodylimit.RPCClient(k.client, transport.MaxMessageBytes)
	return marbleroadv1connect.NewPeerServiceClient(client, k.parts.Peers.URL(address), peerOptions)
}

// unresponsiveFor reports whether the peer at the address has been queried but has not
// responded for longer than the given time.
func (x *exchanger) unresponsiveFor(address string, d time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	link := x.links[address]
	return link != nil && clock.Since(link.lastResponse) > d
}

// adopt stores an item if it is newer than the known one, and logs it if it is a table row.
func (k *Control) adopt(it item.Item) {
	if !k.items.Adopt(it) {
		return
	}
	k.parts.Metrics.Count("items.adopted", 1)
	if !strings.HasPrefix(it.Key, item.TablePrefix) {
		return
	}
	k.parts.Log.Emit(event.RowAdopted).Str("key", it.Key).Uint64("version", it.Version).Send()
}
