package feed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/wait"
)

const (
	// recordsLimit is how long a node that starts waits for the records of the others; it
	// takes a few calls to the platform.
	recordsLimit = 400 * time.Millisecond
	// recordsPause is the time between two looks for them.
	recordsPause = 10 * time.Millisecond
	// listWait is how long a source may take to have a list that is young enough.
	listWait = 1200 * time.Millisecond
	// listMargin is added to it for the way of the list over a narrow link.
	listMargin = 800 * time.Millisecond
	// sourcesLimit is for how long sources are asked before a node reads for itself, and
	// sourcesPause the time between two rounds: sources that start at the same time may not
	// listen yet.
	sourcesLimit = 2500 * time.Millisecond
	sourcesPause = 100 * time.Millisecond
)

// errNoSource means that no other node has the list.
var errNoSource = errors.New("no other node has the list of upstream VMs")

// List implements fleet.Source. With many nodes a few of each failure domain read the whole list
// from the platform, and the others have it from them: when all nodes start at once, the
// platform's link could not carry a list for each.
func (f *Fleet) List(ctx context.Context) (fleet.Watched, error) {
	f.awaitRecords(ctx)
	if !f.leader.readsLists() {
		listed, err := f.listOfOthers(ctx)
		if err == nil {
			return listed, nil
		}
		if err := f.calls.allowed(clock.Now()); err != nil {
			return fleet.Watched{}, err
		}
	}
	listed, err := f.own.List(ctx)
	f.calls.ended(clock.Now(), err)
	return listed, err
}

// listOfOthers asks the sources one after the other, and again those that fail.
func (f *Fleet) listOfOthers(ctx context.Context) (fleet.Watched, error) {
	for end := clock.Now().Add(sourcesLimit); clock.Now().Before(end); wait.Sleep(ctx, sourcesPause) {
		for _, source := range f.leader.sources() {
			if listed, err := f.askSource(ctx, source); err == nil || ctx.Err() != nil {
				return listed, err
			}
		}
	}
	return fleet.Watched{}, errNoSource
}

// awaitRecords has the first list wait for the nodes' records, which say whom to ask.
func (f *Fleet) awaitRecords(ctx context.Context) {
	if f.recordsAwaited {
		return
	}
	f.recordsAwaited = true
	for end := clock.Now().Add(recordsLimit); clock.Now().Before(end); wait.Sleep(ctx, recordsPause) {
		if _, known := f.leader.nodes.Sources(); known || ctx.Err() != nil {
			return
		}
	}
}

func (f *Fleet) askSource(ctx context.Context, source cluster.Record) (fleet.Watched, error) {
	asked := clock.Now()
	listed, err := f.listOf(ctx, source)
	f.leader.log.Emit(event.ListAsked).Str("source", source.ID).Int("vms", len(listed.Changes)).Uint64("revision", listed.Revision).
		Dur("took_ms", clock.Since(asked)).Err(err).Send()
	return listed, err
}

// listOf asks one source for its list.
func (f *Fleet) listOf(ctx context.Context, source cluster.Record) (fleet.Watched, error) {
	ctx, cancel := context.WithTimeout(ctx, listWait+listMargin)
	defer cancel()
	asked := clock.Now()
	resp, err := f.leader.client(source).FollowFleet(ctx, connect.NewRequest(&marbleroadv1.FollowFleetRequest{
		WaitMs: uint32(listWait.Milliseconds())}))
	clock.Sync()
	switch {
	case err != nil:
		return fleet.Watched{}, errors.Wrapf(err, "ask %s for the list", source.ID)
	case resp.Msg.GetCompacted():
		return fleet.Watched{}, errors.Wrapf(errNoSource, "ask %s", source.ID)
	}
	out := watched(resp.Msg, asked.Add(milliseconds(resp.Msg.GetProvenAfterMs())))
	if age := clock.Since(out.ProvenAt); age > fleetQuestion.mostAge+listMargin {
		return fleet.Watched{}, errors.Wrapf(errLeader, "its proof is %s old", age)
	}
	return out, nil
}

// readsLists reports whether this node reads whole lists from the platform itself: it is one of few
// nodes or a source of the others, or nothing is known of the others.
func (l *Leader) readsLists() bool {
	records, known := l.nodes.Sources()
	return !known || len(records) == 0 || l.nodes.Size() <= followNodes || slices.ContainsFunc(records, l.isSelf)
}

func (l *Leader) isSelf(r cluster.Record) bool { return r.ID == l.self.ID }

// sources are the nodes to ask for the whole list, in the order in which this node asks them.
func (l *Leader) sources() []cluster.Record {
	records, _ := l.nodes.Sources()
	order := func(r cluster.Record) uint64 { return xxhash.Sum64String(r.ID + "/" + l.self.ID) }
	return slices.SortedFunc(slices.Values(records), func(a, b cluster.Record) int { return cmp.Compare(order(a), order(b)) })
}
