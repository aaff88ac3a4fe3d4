package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// fleetQuery bounds how the list is followed. A leader reads it slightly less often than every half
// second.
var fleetQuery = query{wait: 400 * time.Millisecond, maxAge: 1200 * time.Millisecond}

const (
	// IdleWatchPause is the time between two watches of a node that forms no groups.
	IdleWatchPause = 500 * time.Millisecond
	// leaderWait is how long a watch of a node that others follow waits for changes. Two waits and the
	// pause between them are the maximum age of its verification, which must stay below what its
	// followers accept.
	leaderWait = 250 * time.Millisecond
)

// Fleet reads the list of upstream VMs from the leader, else from the platform. It implements
// fleet.Source.
type Fleet struct {
	source   fleet.Source
	selector *Leader
	calls    platformCalls
	// evacuations reads the evacuated failure domains; nil if failure domains can't be evacuated.
	evacuations fleet.EvacuationSource
}

// NewFleet returns a source that reads from the leader, and falls back to the platform's source.
func NewFleet(source fleet.Source, selector *Leader) *Fleet {
	return &Fleet{source: source, selector: selector, calls: platformCalls{selector: selector}}
}

// WithEvacuations makes the source read the evacuated failure domains too.
func (f *Fleet) WithEvacuations(source fleet.EvacuationSource) *Fleet {
	f.evacuations = source
	return f
}

var (
	_ fleet.Source           = (*Fleet)(nil)
	_ fleet.EvacuationSource = (*Fleet)(nil)
)

// Evacuations implements fleet.EvacuationSource.
func (f *Fleet) Evacuations(ctx context.Context) (fleet.Evacuations, error) {
	return f.evacuations.Evacuations(ctx)
}

// WatchEvacuations implements fleet.EvacuationSource.
func (f *Fleet) WatchEvacuations(ctx context.Context, known fleet.Evacuations, wait time.Duration) (fleet.Evacuations, error) {
	return f.evacuations.WatchEvacuations(ctx, known, wait)
}

// ReadsEvacuations implements fleet.EvacuationSource. A node that follows no leader reads for itself.
func (f *Fleet) ReadsEvacuations() bool {
	_, follows := f.selector.pick(clock.Now())
	return !follows
}

// List implements fleet.Source. With many nodes, most of them read the list from others.
func (f *Fleet) List(ctx context.Context, newerThan uint64) (fleet.WatchResult, error) {
	listed, err := firstRead[fleet.WatchResult]{
		object:   "list",
		selector: f.selector,
		renewal:  newerThan != 0,
		fromPeer: func(ctx context.Context, source cluster.Record, wait time.Duration) (fleet.WatchResult, error) {
			return f.selector.listFrom(ctx, source, newerThan, wait)
		},
		fromPlatform: func(ctx context.Context) (fleet.WatchResult, error) { return f.source.List(ctx, newerThan) },
	}.read(ctx)
	if err != nil || clock.Since(listed.VerifiedAt) <= maxUnrefreshedAge {
		return listed, err
	}
	return f.refresh(ctx, listed)
}

// refresh adds later changes to another node's list. That node may be disconnected from the platform;
// if this one is too, it uses the list as it is.
func (f *Fleet) refresh(ctx context.Context, listed fleet.WatchResult) (fleet.WatchResult, error) {
	since, err := f.source.Watch(ctx, listed.Revision, 0)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return f.source.List(ctx, listed.Revision)
	case err != nil:
		f.selector.log.Emit(event.UnverifiedStateAdopted).Str("of", "list").Dur("age_ms", clock.Since(listed.VerifiedAt)).Err(err).Send()
		return listed, nil
	}
	since.Changes = fleet.Merge(listed.Changes, since.Changes)
	since.Relayed = listed.Relayed
	since.RetainUntil = listed.RetainUntil
	since.Evacuations = listed.Evacuations
	return since, nil
}

// errLeaderOutdated means that the leader has not noticed yet that the platform's store was restored.
var errLeaderOutdated = errors.Mark(errors.New("the leader's list is from before the store's last restore"), errLeaderUnusable)

// Watch implements fleet.Source. A node that neither the platform nor a leader serves follows another node, so that it
// hears of changes.
func (f *Fleet) Watch(ctx context.Context, revision uint64, wait time.Duration) (fleet.WatchResult, error) {
	w, err := f.changed(ctx, revision, wait)
	if errors.Is(err, platform.ErrUnavailable) && ctx.Err() == nil {
		return f.relayed(ctx, revision, wait, err)
	}
	f.calls.relayed.Store(false)
	return w, err
}

// Relayed reports whether this node follows one that is none of its leaders.
func (f *Fleet) Relayed() bool { return f.calls.relayed.Load() }

// changed asks the leaders for changes, else waits for them at the platform.
func (f *Fleet) changed(ctx context.Context, revision uint64, wait time.Duration) (fleet.WatchResult, error) {
	q := fleetQuery
	q.wait = min(q.wait, wait)
	response, verifiedAt, err := followFirst(ctx, f.selector, q, func(ctx context.Context, leader cluster.Record, wait time.Duration) (*marbleroadv1.FollowFleetResponse, time.Duration, error) {
		response, verifiedAfter, err := f.ask(ctx, leader, revision, wait)
		if err == nil && response.GetRelayed() {
			err = errLeaderRelayed
		}
		return response, verifiedAfter, err
	})
	switch {
	case errors.Is(err, errNoLeader):
		return f.watch(ctx, revision, f.selector.watchWait(wait))
	case err != nil:
		return f.watch(ctx, revision, wait)
	}
	return f.result(response, verifiedAt, revision)
}

// relayed asks nodes that read the platform, after this node's own call failed with cause.
func (f *Fleet) relayed(ctx context.Context, revision uint64, wait time.Duration, cause error) (fleet.WatchResult, error) {
	q := fleetQuery
	q.wait = f.calls.relayWait(min(q.wait, wait))
	response, verifiedAt, err := followRelay(ctx, &f.calls, "list", cause, q, listRead, func(ctx context.Context, node cluster.Record) (*marbleroadv1.FollowFleetResponse, time.Duration, error) {
		return f.ask(ctx, node, revision, q.wait)
	})
	if err != nil {
		return fleet.WatchResult{}, err
	}
	return f.result(response, verifiedAt, revision)
}

// ask asks another node for changes after the revision, for which it may wait. ask also returns when the answer was
// verified, relative to the time of the request. A node that has read a store that was restored since responds that
// the history of this node's revision is gone.
func (f *Fleet) ask(ctx context.Context, node cluster.Record, revision uint64, wait time.Duration) (*marbleroadv1.FollowFleetResponse, time.Duration, error) {
	era, number := sentRevision(revision)
	resp, err := f.selector.client(node).FollowFleet(ctx, connect.NewRequest(&marbleroadv1.FollowFleetRequest{
		Revision: number, Era: era, WaitMs: uint32(wait.Milliseconds())}))
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable {
		return nil, 0, errors.Mark(err, errLeaderUnusable)
	}
	if err != nil {
		return nil, 0, err
	}
	return resp.Msg, milliseconds(resp.Msg.GetProvenAfterMs()), f.checkEra(revision, resp.Msg)
}

// result decodes another node's response; revision is that of this node's list.
func (f *Fleet) result(response *marbleroadv1.FollowFleetResponse, verifiedAt time.Time, revision uint64) (fleet.WatchResult, error) {
	if response.GetCompacted() {
		return fleet.WatchResult{}, platform.ErrCompacted
	}
	w := watched(response, verifiedAt, revision)
	w.Revision = max(w.Revision, revision)
	return w, nil
}

// checkEra returns errLeaderOutdated if a response is from before a restore that this node knows of. Such a
// response proves nothing, and what the leader calls changes is in part undone.
func (f *Fleet) checkEra(known uint64, response *marbleroadv1.FollowFleetResponse) error {
	knownEra, _ := platform.SplitRevision(known)
	if response.Era == nil || response.GetEra() >= knownEra {
		return nil
	}
	f.selector.log.Emit(event.LeaderOutdated).EmbedObject(platform.LogRevision(known)).Uint64("leader_era", response.GetEra()).Send()
	return errLeaderOutdated
}

// watched decodes another node's response; known is the revision of this node's list.
func watched(response *marbleroadv1.FollowFleetResponse, verifiedAt time.Time, known uint64) fleet.WatchResult {
	revision := func(number uint64) uint64 { return receivedRevision(response.Era, number, known) }
	out := fleet.WatchResult{Revision: revision(response.GetRevision()), VerifiedAt: verifiedAt, Relayed: true}
	if response.RetainMs != nil {
		out.RetainUntil = clock.Now().Add(milliseconds(response.GetRetainMs()))
	}
	for _, c := range response.GetChanges() {
		change := decodeChange(c)
		change.VM.Revision = revision(change.VM.Revision)
		out.Changes = append(out.Changes, change)
	}
	if e := response.GetEvacuations(); e != nil {
		out.Evacuations = &fleet.Evacuations{Domains: e.GetFailureDomains(), Revision: revision(e.GetRevision())}
	}
	return out
}

// watch waits for changes at the platform itself. It fails at once while this node backs off from the
// platform after a failed call.
func (f *Fleet) watch(ctx context.Context, revision uint64, wait time.Duration) (fleet.WatchResult, error) {
	if err := f.calls.allowed(clock.Now()); err != nil {
		return fleet.WatchResult{}, err
	}
	w, err := f.source.Watch(ctx, revision, f.calls.wait(wait))
	f.calls.finished(clock.Now(), err)
	return w, err
}

// milliseconds returns n milliseconds as a duration.
func milliseconds[N uint32 | int32](n N) time.Duration { return time.Duration(n) * time.Millisecond }

// errUnknownState marks a VM whose state this version of the program does not know; a newer version
// may have sent it.
var errUnknownState = errors.New("the state within the group is not known")

func decodeChange(c *marbleroadv1.FleetChange) fleet.Change {
	out := fleet.Change{VM: decodeVM(c.GetVm()), Removed: c.GetRemoved()}
	if out.VM.State > fleet.Broken {
		out = fleet.Change{VM: fleet.VM{ID: out.VM.ID, Revision: out.VM.Revision}, Err: errUnknownState}
	}
	return out
}

func decodeVM(m *marbleroadv1.UpstreamVM) fleet.VM {
	return fleet.VM{
		ID:            m.GetId(),
		Born:          m.GetBorn(),
		Count:         m.GetCount(),
		Revision:      m.GetRevision(),
		Address:       m.GetAddress(),
		Service:       m.GetService(),
		FailureDomain: m.GetFailureDomain(),
		Fabric:        m.GetFabric(),
		Slots:         int(m.GetSlots()),
		Draining:      m.GetDraining(),
		Staged:        m.GetStaged(),
		WarmupLeft:    milliseconds(m.GetWarmupMs()),
		Membership: fleet.Membership{
			Group:      m.GetGroup(),
			Generation: m.GetGeneration(),
			Rank:       int(m.GetRank()),
			State:      fleet.State(m.GetState()),
			Model:      m.GetModel(),
		},
	}
}

// encodeVM encodes an entry for a response of the given era.
func encodeVM(vm fleet.VM, era uint64) *marbleroadv1.UpstreamVM {
	return &marbleroadv1.UpstreamVM{
		Id:            vm.ID,
		Born:          vm.Born,
		Count:         vm.Count,
		Revision:      sentEntryRevision(vm.Revision, era),
		Address:       vm.Address,
		Service:       vm.Service,
		FailureDomain: vm.FailureDomain,
		Fabric:        vm.Fabric,
		Slots:         uint32(vm.Slots),
		Draining:      vm.Draining,
		Staged:        vm.Staged,
		Group:         vm.Group,
		Generation:    vm.Generation,
		Rank:          uint32(vm.Rank),
		State:         uint32(vm.State),
		Model:         vm.Model,
		WarmupMs:      uint32(max(clock.Until(vm.WarmUntil), 0).Milliseconds()),
	}
}
