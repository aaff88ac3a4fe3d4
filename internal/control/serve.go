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

// viewHandler implements ViewService for entries.
type viewHandler struct{ k *Control }

// GetView implements ViewService. It returns the items and probe results that the entry lacks
// and the entry's shares, and records its demand.
func (h viewHandler) GetView(_ context.Context, r *connect.Request[marbleroadv1.GetViewRequest]) (*connect.Response[marbleroadv1.GetViewResponse], error) {
	k := h.k
	m := r.Msg
	now := clock.Now()
	k.sendToState(viewRequested{id: m.GetEntryId(), at: now, demand: m.GetDemand()})
	// Before the items: a table that is read in between must not count as read without its rows.
	d := k.tickResult.Load()
	changed, next := k.items.Since(wire.Cursor(m.GetItems()), m.GetDigest(), k.relevantToDomain)
	out := &marbleroadv1.GetViewResponse{
		Items:       wire.CursorMessage(next),
		Changed:     wire.Items(changed),
		Witnesses:   wire.WitnessTable(k.registry.Sorted(allVMs), now, m.GetWitnessEpoch()),
		LiveEntries: uint32(d.liveEntries),
		AllEntries:  uint32(d.allEntries),
		TableLoaded: d.loaded,
	}
	for subject, byEntry := range d.shares {
		if rate, ok := byEntry[m.GetEntryId()]; ok {
			out.Shares = append(out.Shares, &marbleroadv1.TeamDemand{Team: subject, Rate: rate})
		}
	}
	return connect.NewResponse(out), nil
}

// allVMs is the filter that selects the probe results of every VM.
func allVMs(string) bool { return true }

// relevantToDomain reports whether processes of this failure domain need an item.
func (k *Control) relevantToDomain(key string) bool {
	domain := k.config.FailureDomain
	return relevantToAll(key) ||
		strings.HasPrefix(key, item.PlanPrefix+domain+"/") ||
		strings.HasPrefix(key, item.DrainPrefix+domain+"/") ||
		key == view.MembersKey(domain)
}

// relevantToAll reports whether processes of every failure domain need an item.
func relevantToAll(key string) bool {
	return strings.HasPrefix(key, item.TablePrefix) || strings.HasPrefix(key, item.NodePrefix)
}

// peerHandler implements PeerService for other control processes.
type peerHandler struct{ k *Control }

// Exchange implements PeerService. Peers of the same failure domain also receive plans, drain
// orders, the membership list, the results of the probes that this process sent itself, and the
// demand of single entries. Other peers receive the failure domain's total demand.
func (h peerHandler) Exchange(_ context.Context, r *connect.Request[marbleroadv1.ExchangeRequest]) (*connect.Response[marbleroadv1.ExchangeResponse], error) {
	k := h.k
	m := r.Msg
	now := clock.Now()
	sameDomain := m.GetFailureDomain() == k.config.FailureDomain
	filter := relevantToAll
	if sameDomain {
		filter = k.relevantToDomain
	}
	// Before the items, as for a view.
	loaded, d := k.loaded(), k.tickResult.Load()
	changed, next := k.items.Since(wire.Cursor(m.GetItems()), m.GetDigest(), filter)
	out := &marbleroadv1.ExchangeResponse{
		NodeId:              k.config.NodeID,
		FailureDomain:       k.config.FailureDomain,
		Digest:              k.items.Digest(),
		Items:               wire.CursorMessage(next),
		Changed:             wire.Items(changed),
		TableLoaded:         loaded,
		PlatformUnreachable: k.platformDown.Load(),
	}
	if !sameDomain {
		if d.summedDemand != nil {
			out.Entries = []*marbleroadv1.EntryDemand{d.summedDemand}
		}
		return connect.NewResponse(out), nil
	}
	local := k.localProbes.recent(now.Add(-k.config.PresenceWindow))
	out.Witnesses = wire.WitnessTable(k.registry.Sorted(func(vm string) bool { return local[vm] }), now, m.GetWitnessEpoch())
	out.Entries = d.reportedDemand
	return connect.NewResponse(out), nil
}
