package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/wire"
)

const (
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// peersPerSecond bounds how many peers are read in a second, so that the
	// traffic of a node does not grow with the failure domain.
	peersPerSecond = 12
	// acrossInterval is the time between two readings of another failure domain.
	acrossInterval = 2 * time.Second
)

// peerLink is what this process knows about one peer's data. It belongs to
// the goroutine of the exchange that is running; busy guards that.
type peerLink struct {
	busy      bool
	lastAsked time.Time
	// answeredAt is when the peer last answered; before that, when it was first asked.
	answeredAt time.Time
	cursor     item.Cursor
	witnesses  wire.WitnessReader
}

// exchanger reads the peers in turn.
type exchanger struct {
	k *Control

	mu    sync.Mutex
	links map[string]*peerLink
}

func newExchanger(k *Control) *exchanger {
	return &exchanger{k: k, links: make(map[string]*peerLink)}
}

// granularity is how often the exchanger looks for peers that are due.
const granularity = 100 * time.Millisecond

func (x *exchanger) loop(ctx context.Context) {
	every(ctx, granularity, func() {
		peers := x.peers()
		interval := exchangeInterval(x.k.config.ExchangeInterval, len(peers))
		for _, p := range peers {
			x.start(ctx, p, interval)
		}
	})
}

// exchangeInterval stretches the interval when there are many peers.
func exchangeInterval(base time.Duration, peers int) time.Duration {
	return max(base, time.Duration(peers)*time.Second/peersPerSecond)
}

// peers lists the nodes to read, and the seeds that no known node covers.
func (x *exchanger) peers() []node.Record {
	out := x.k.duties.Load().peers
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

func (x *exchanger) start(ctx context.Context, p node.Record, interval time.Duration) {
	if p.FailureDomain != x.k.config.FailureDomain {
		interval = max(interval, acrossInterval)
	}
	x.mu.Lock()
	link := x.links[p.Control]
	if link == nil {
		link = &peerLink{answeredAt: clock.Now()}
		x.links[p.Control] = link
	}
	now := clock.Now()
	due := !link.busy && now.Sub(link.lastAsked) >= interval-granularity/2
	if due {
		link.busy = true
		link.lastAsked = now
	}
	x.mu.Unlock()
	if !due {
		return
	}
	x.k.work(ctx, func(ctx context.Context) {
		x.exchange(ctx, p.Control, link)
		x.mu.Lock()
		link.busy = false
		x.mu.Unlock()
	})
}

func (x *exchanger) exchange(ctx context.Context, address string, link *peerLink) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	k := x.k
	client := marbleroadv1connect.NewPeerServiceClient(k.client, k.parts.Peers.URL(address), bounded)
	asked := clock.Now()
	resp, err := client.Exchange(ctx, connect.NewRequest(&marbleroadv1.ExchangeRequest{
		NodeId:        k.config.NodeID,
		FailureDomain: k.config.FailureDomain,
		Items:         wire.CursorMessage(link.cursor),
		Digest:        k.items.Digest(),
		WitnessEpoch:  link.witnesses.Epoch(),
	}))
	k.parts.Metrics.Count("exchanges", 1)
	if err != nil {
		k.parts.Metrics.Count("exchanges.failed", 1)
		return
	}
	m := resp.Msg
	seen, err := link.witnesses.Read(m.GetWitnesses(), asked)
	if err != nil {
		return
	}
	for _, w := range seen {
		k.board.Record(w)
	}
	for _, it := range m.GetChanged() {
		k.adopt(wire.Item(it))
	}
	link.cursor = wire.Cursor(m.GetItems())
	x.mu.Lock()
	link.answeredAt = asked
	x.mu.Unlock()
	if m.GetTableLoaded() && k.platformDown.Load() {
		k.loaded.Store(true)
	}
	k.tell(peerAnswered{
		id:            m.GetNodeId(),
		failureDomain: m.GetFailureDomain(),
		asked:         asked,
		digest:        m.GetDigest(),
		entries:       m.GetEntries(),
		platformDown:  m.GetPlatformUnreachable(),
	})
}

// silentFor reports whether the peer at the address has been asked but has
// not answered for the given time.
func (x *exchanger) silentFor(address string, d time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	link := x.links[address]
	return link != nil && clock.Since(link.answeredAt) > d
}

// adopt takes a newer item and logs rows.
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
