package control

import (
	"context"
	"strings"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/internal/wire"
)

// viewHandler serves entries.
type viewHandler struct{ k *Control }

// GetView implements ViewService.
func (h viewHandler) GetView(_ context.Context, r *connect.Request[marbleroadv1.GetViewRequest]) (*connect.Response[marbleroadv1.GetViewResponse], error) {
	k := h.k
	m := r.Msg
	now := clock.Now()
	k.tell(entryAsked{id: m.GetEntryId(), at: now, demand: m.GetDemand()})
	changed, next := k.items.Since(wire.Cursor(m.GetItems()), m.GetDigest(), k.concernsDomain)
	d := k.duties.Load()
	out := &marbleroadv1.GetViewResponse{
		Items:       wire.CursorMessage(next),
		Changed:     wire.Items(changed),
		Witnesses:   wire.WitnessTable(k.board.Sorted(anyVM), now, m.GetWitnessEpoch()),
		LiveEntries: uint32(d.liveEntries),
		AllEntries:  uint32(d.allEntries),
		TableLoaded: k.loaded.Load(),
	}
	for subject, byEntry := range d.shares {
		if rate, ok := byEntry[m.GetEntryId()]; ok {
			out.Shares = append(out.Shares, &marbleroadv1.TeamDemand{Team: subject, Rate: rate})
		}
	}
	return connect.NewResponse(out), nil
}

func anyVM(string) bool { return true }

// concernsDomain reports whether an item matters inside this failure domain.
func (k *Control) concernsDomain(key string) bool {
	domain := k.config.FailureDomain
	return concernsAll(key) ||
		strings.HasPrefix(key, item.PlanPrefix+domain+"/") ||
		strings.HasPrefix(key, item.DrainPrefix+domain+"/") ||
		key == view.MembersKey(domain)
}

// concernsAll reports whether an item matters in every failure domain.
func concernsAll(key string) bool {
	return strings.HasPrefix(key, item.TablePrefix) || strings.HasPrefix(key, item.NodePrefix)
}

// peerHandler serves other control processes.
type peerHandler struct{ k *Control }

// Exchange implements PeerService. Peers of the same failure domain also get
// plans, drains, membership and the VMs that this process probes itself.
func (h peerHandler) Exchange(_ context.Context, r *connect.Request[marbleroadv1.ExchangeRequest]) (*connect.Response[marbleroadv1.ExchangeResponse], error) {
	k := h.k
	m := r.Msg
	now := clock.Now()
	same := m.GetFailureDomain() == k.config.FailureDomain
	keep := concernsAll
	if same {
		keep = k.concernsDomain
	}
	changed, next := k.items.Since(wire.Cursor(m.GetItems()), m.GetDigest(), keep)
	d := k.duties.Load()
	out := &marbleroadv1.ExchangeResponse{
		NodeId:              k.config.NodeID,
		FailureDomain:       k.config.FailureDomain,
		Digest:              k.items.Digest(),
		Items:               wire.CursorMessage(next),
		Changed:             wire.Items(changed),
		TableLoaded:         k.loaded.Load(),
		PlatformUnreachable: k.platformDown.Load(),
	}
	if !same {
		if d.wholeDomain != nil {
			out.Entries = []*marbleroadv1.EntryDemand{d.wholeDomain}
		}
		return connect.NewResponse(out), nil
	}
	own := k.probed.recent(now.Add(-k.config.Window))
	out.Witnesses = wire.WitnessTable(k.board.Sorted(func(vm string) bool { return own[vm] }), now, m.GetWitnessEpoch())
	out.Entries = d.entries
	return connect.NewResponse(out), nil
}
