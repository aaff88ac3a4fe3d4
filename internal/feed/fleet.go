package feed

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// fleetQuestion is how the list is followed. A leader reads it every half second and a
// little.
var fleetQuestion = question{wait: 400 * time.Millisecond, mostAge: 1200 * time.Millisecond}

const (
	// IdleSettle is the time between two watches of a node that forms no groups.
	IdleSettle = 500 * time.Millisecond
	// leaderWait is how long a watch of a node that others follow waits for news: two waits and the
	// pause between them are the oldest that its proof gets, and must stay below what its followers
	// take.
	leaderWait = 250 * time.Millisecond
)

// Fleet reads the list of upstream VMs from the leader, else from the platform. It
// implements fleet.Source.
type Fleet struct {
	own    fleet.Source
	leader *Leader
	calls  own
}

// NewFleet returns a source over the platform's.
func NewFleet(source fleet.Source, leader *Leader) *Fleet {
	return &Fleet{own: source, leader: leader, calls: own{leader: leader}}
}

var _ fleet.Source = (*Fleet)(nil)

// List implements fleet.Source: with many nodes most have the list from others.
func (f *Fleet) List(ctx context.Context) (fleet.WatchResult, error) {
	listed, err := firstRead[fleet.WatchResult]{of: "list", leader: f.leader, ask: f.leader.listOf, own: f.own.List}.read(ctx)
	if err != nil || clock.Since(listed.VerifiedAt) <= youngProof {
		return listed, err
	}
	return f.refresh(ctx, listed)
}

// refresh adds to another node's list what has changed since. That node may be out of touch with the
// platform; if this one is too, it goes by what the other knows.
func (f *Fleet) refresh(ctx context.Context, listed fleet.WatchResult) (fleet.WatchResult, error) {
	since, err := f.own.Watch(ctx, listed.Revision, 0)
	switch {
	case errors.Is(err, platform.ErrCompacted):
		return f.own.List(ctx)
	case err != nil:
		f.leader.log.Emit(event.TakenUnproven).Str("of", "list").Dur("age_ms", clock.Since(listed.VerifiedAt)).Err(err).Send()
		return listed, nil
	}
	since.Changes = merge(listed.Changes, since.Changes)
	since.Relayed = listed.Relayed
	return since, nil
}

// merge is a list with later changes applied.
func merge(list, later []fleet.Change) []fleet.Change {
	last := make(map[string]fleet.Change, len(later))
	for _, c := range later {
		last[c.VM.ID] = c
	}
	out := make([]fleet.Change, 0, len(list)+len(last))
	for _, c := range list {
		if _, changed := last[c.VM.ID]; !changed {
			out = append(out, c)
		}
	}
	for _, c := range last {
		if !c.Removed {
			out = append(out, c)
		}
	}
	return out
}

// Watch implements fleet.Source.
func (f *Fleet) Watch(ctx context.Context, revision uint64, wait time.Duration) (fleet.WatchResult, error) {
	leader, ok := f.leader.pick(clock.Now())
	if !ok {
		return f.watch(ctx, revision, f.leader.ownWait(wait))
	}
	answer, provenAt, err := follow(ctx, f.leader, leader, fleetQuestion, func(ctx context.Context) (*marbleroadv1.FollowFleetResponse, time.Duration, error) {
		resp, err := f.leader.client(leader).FollowFleet(ctx, connect.NewRequest(&marbleroadv1.FollowFleetRequest{
			Revision: revision, WaitMs: uint32(fleetQuestion.wait.Milliseconds())}))
		if err != nil {
			return nil, 0, err
		}
		return resp.Msg, milliseconds(resp.Msg.GetProvenAfterMs()), nil
	})
	switch {
	case err != nil:
		return f.watch(ctx, revision, wait)
	case answer.GetCompacted():
		return fleet.WatchResult{}, platform.ErrCompacted
	}
	return watched(answer, provenAt), nil
}

// watched reads another node's answer.
func watched(answer *marbleroadv1.FollowFleetResponse, provenAt time.Time) fleet.WatchResult {
	out := fleet.WatchResult{Revision: answer.GetRevision(), VerifiedAt: provenAt, Relayed: true}
	for _, c := range answer.GetChanges() {
		out.Changes = append(out.Changes, toChange(c))
	}
	return out
}

// watch waits for changes at the platform itself, unless that is left to the leaders.
func (f *Fleet) watch(ctx context.Context, revision uint64, wait time.Duration) (fleet.WatchResult, error) {
	if err := f.calls.allowed(clock.Now()); err != nil {
		return fleet.WatchResult{}, err
	}
	w, err := f.own.Watch(ctx, revision, wait)
	f.calls.ended(clock.Now(), err)
	return w, err
}

func milliseconds[N uint32 | int32](n N) time.Duration { return time.Duration(n) * time.Millisecond }

// errState marks a VM whose state this program does not know; a newer one may have sent it.
var errState = errors.New("the state within the group is not known")

func toChange(c *marbleroadv1.FleetChange) fleet.Change {
	out := fleet.Change{VM: toVM(c.GetVm()), Removed: c.GetRemoved()}
	if out.VM.State > fleet.Broken {
		out = fleet.Change{VM: fleet.VM{ID: out.VM.ID, Revision: out.VM.Revision}, Err: errState}
	}
	return out
}

func toVM(m *marbleroadv1.UpstreamVM) fleet.VM {
	return fleet.VM{
		ID:            m.GetId(),
		Born:          m.GetBorn(),
		Revision:      m.GetRevision(),
		Address:       m.GetAddress(),
		Service:       m.GetService(),
		FailureDomain: m.GetFailureDomain(),
		Fabric:        m.GetFabric(),
		Slots:         int(m.GetSlots()),
		Draining:      m.GetDraining(),
		Staged:        m.GetStaged(),
		Membership: fleet.Membership{
			Group:      m.GetGroup(),
			Generation: m.GetGeneration(),
			Rank:       int(m.GetRank()),
			State:      fleet.State(m.GetState()),
			Model:      m.GetModel(),
		},
	}
}

func fromVM(vm fleet.VM) *marbleroadv1.UpstreamVM {
	return &marbleroadv1.UpstreamVM{
		Id:            vm.ID,
		Born:          vm.Born,
		Revision:      vm.Revision,
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
	}
}
