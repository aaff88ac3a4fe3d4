package feed

import (
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/wait"
)

const (
	// recordsLimit is how long a reading waits for the records of the other nodes, which say whom
	// to ask; up to as much comes on top at random, so that nodes which wait for the platform do not
	// all give up when it is back.
	recordsLimit = 3 * time.Second
	// recordsPause is the time between two looks for them.
	recordsPause = 10 * time.Millisecond
	// sourceWait is how long a source may take to have what it is asked for, and sourcePause how
	// long its answer may then stand still.
	sourceWait  = 1200 * time.Millisecond
	sourcePause = 800 * time.Millisecond
	// mostTransfer bounds a whole answer of a source: a list and a configuration over a link that
	// the source shares with all who ask it.
	mostTransfer = 4 * time.Second
	// youngProof is the age of an answer's proof above which the platform is asked what came since.
	youngProof = 2 * time.Second
	// tick is the time between two looks at who is to be asked next: sources that start at the
	// same time may not listen yet.
	tick = 100 * time.Millisecond
)

// errNoSource means that a source does not have what it was asked for.
var errNoSource = errors.New("the other node does not have it")

// errNotTaken means that no other node has what was asked for, and that this node leaves it to others to
// read it.
var errNotTaken = errors.Mark(errors.New("the nodes that read the platform for this one do not have it yet"), platform.ErrUnavailable)

// firstRead is how one large object of the platform is read by a node that has nothing of it. With many nodes,
// a few of each failure domain read it from the platform and the others have it from them: when all
// nodes start at once, the platform's link could not carry it to each.
type firstRead[T any] struct {
	// of names the object in lines.
	of     string
	leader *Leader
	// ask reads it from another node, which may wait that long until it has it; own reads it from the
	// platform.
	ask func(context.Context, cluster.Record, time.Duration) (T, error)
	own func(context.Context) (T, error)
}

// read returns the object from another node, or from the platform when that is up to this node.
func (w firstRead[T]) read(ctx context.Context) (T, error) {
	w.leader.awaitRecords(ctx)
	rank, ranked := w.leader.rank()
	if !ranked {
		return w.own(ctx)
	}
	if rank >= firstReaders {
		got, err := w.readFromOthers(ctx, newPicker(w.leader.self, w.leader.domain(), rank))
		if !errors.Is(err, errOwnTurn) {
			return got, err
		}
	}
	got, err := w.own(ctx)
	if !errors.Is(err, platform.ErrUnavailable) {
		return got, err
	}
	// The platform may refuse this node and serve others.
	other, otherErr := w.readFromOthers(ctx, newBriefPicker(w.leader.self, w.leader.domain()))
	if otherErr == nil {
		return other, nil
	}
	return got, err
}

// answer is what one source said.
type answer[T any] struct {
	source string
	got    T
	err    error
}

// readFromOthers asks sources until one has the object. errOwnTurn means that this node is to read it itself.
func (w firstRead[T]) readFromOthers(ctx context.Context, sources *picker) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := clock.Now()
	answers := make(chan answer[T])
	// connected tells whether the source that was asked last could be connected to.
	connected := new(atomic.Bool)
	var none T
	for ctx.Err() == nil {
		elapsed := clock.Since(begun)
		if ended, err := sources.over(elapsed); ended {
			return none, err
		}
		if source, ok := sources.next(elapsed, connected.Load()); ok {
			connected = new(atomic.Bool)
			traced := withConnected(ctx, connected)
			go func() {
				got, err := w.askOne(traced, source, sources.wait)
				select {
				case answers <- answer[T]{source.ID, got, err}:
				case <-ctx.Done():
				}
			}()
		}
		a, ok := receive(ctx, answers, tick)
		if !ok {
			continue
		}
		sources.answered(a.source, a.err)
		if a.err == nil {
			return a.got, nil
		}
		wait.Sleep(ctx, tick)
	}
	return none, ctx.Err()
}

// withConnected returns a context whose call notes that it has a connection.
func withConnected(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
}

// receive waits up to most for a value.
func receive[T any](ctx context.Context, from <-chan T, most time.Duration) (T, bool) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case v := <-from:
		return v, true
	case <-timer.C:
	case <-ctx.Done():
	}
	var none T
	return none, false
}

// askOne asks one source within the bounds of its answer.
func (w firstRead[T]) askOne(ctx context.Context, source cluster.Record, wait time.Duration) (T, error) {
	ctx, progress := transport.WithProgress(ctx, wait+sourcePause, sourcePause, wait+mostTransfer)
	defer progress.Stop()
	asked := clock.Now()
	got, err := w.ask(ctx, source, wait)
	w.leader.log.Emit(event.SourceAsked).Str("of", w.of).Str("source", source.ID).Dur("took_ms", clock.Since(asked)).Err(err).Send()
	return got, errors.Wrapf(err, "ask %s", source.ID)
}

// awaitRecords waits for the nodes' records. Without them a node does not know whom to ask; if each
// then read for itself, all would do so at the moment at which the platform is back.
func (l *Leader) awaitRecords(ctx context.Context) {
	for end := clock.Now().Add(recordsLimit + rand.N(recordsLimit)); clock.Now().Before(end); wait.Sleep(ctx, recordsPause) {
		if _, known := l.nodes.DomainNodes(); known || ctx.Err() != nil {
			return
		}
	}
}

// domain are the nodes of the failure domain, the fittest first.
func (l *Leader) domain() []cluster.Record {
	records, _ := l.nodes.DomainNodes()
	return records
}

// rank is this node's place among the nodes of its failure domain; false when it reads everything for
// itself, since there are few nodes or nothing is known of them.
func (l *Leader) rank() (int, bool) {
	records, known := l.nodes.DomainNodes()
	if !known || l.nodes.Size() <= followNodes {
		return 0, false
	}
	rank := slices.IndexFunc(records, func(r cluster.Record) bool { return r.ID == l.self.ID })
	return rank, rank >= 0
}

// listOf asks a source for the list of upstream VMs.
func (l *Leader) listOf(ctx context.Context, source cluster.Record, wait time.Duration) (fleet.WatchResult, error) {
	asked := clock.Now()
	resp, err := l.client(source).FollowFleet(ctx, connect.NewRequest(&marbleroadv1.FollowFleetRequest{
		WaitMs: uint32(wait.Milliseconds())}))
	clock.Sync()
	switch {
	case err != nil:
		return fleet.WatchResult{}, err
	case resp.Msg.GetCompacted():
		return fleet.WatchResult{}, errNoSource
	}
	return watched(resp.Msg, asked.Add(milliseconds(resp.Msg.GetProvenAfterMs()))), nil
}
