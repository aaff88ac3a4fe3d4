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
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/wait"
)

const (
	// recordsTimeout is how long a read waits for the records of the other nodes, which determine the
	// sources. Up to as much again is added at random, so that nodes that wait for the platform do not
	// all give up when it becomes reachable again.
	recordsTimeout = 3 * time.Second
	// recordsPollInterval is the time between two checks for the records.
	recordsPollInterval = 10 * time.Millisecond
	// sourceWait is how long a source may take until it has the requested object, and
	// sourceStallTimeout how long its response may then stall.
	sourceWait         = 1200 * time.Millisecond
	sourceStallTimeout = 800 * time.Millisecond
	// maxTransfer bounds a complete response of a source: a list and a configuration over a link that
	// the source shares with all its callers.
	maxTransfer = 4 * time.Second
	// maxUnrefreshedAge is the age of a response's verification above which the platform is queried
	// for later changes.
	maxUnrefreshedAge = 2 * time.Second
	// pollInterval is the time between two checks for the next source to query. Sources that start at
	// the same time may not be listening yet.
	pollInterval = 100 * time.Millisecond
)

// errSourceEmpty means that a source does not have the requested object, or an older one than requested.
var errSourceEmpty = errors.New("the other node does not have it yet")

// errNoneAvailable means that no other node has the requested object, and that this node leaves it to
// others to read it.
var errNoneAvailable = noCall("the nodes that read the platform for this one do not have it yet")

// firstRead reads one large object of the platform at a node that has no version of it, or one whose history is gone. With many
// nodes, a few of each failure domain read it from the platform and the others read it from them: when
// all nodes start at once, the platform's link could not transfer it to each.
type firstRead[T any] struct {
	// object names the object in log lines.
	object   string
	selector *Leader
	// renewal is true if this node has an older version, whose history is gone.
	renewal bool
	// begin is called once the sources are known; nil for nothing.
	begin func(context.Context)
	// fromPeer reads the object from another node, which may wait that long until it has it.
	// fromPlatform reads it from the platform.
	fromPeer     func(context.Context, cluster.Record, time.Duration) (T, error)
	fromPlatform func(context.Context) (T, error)
}

// read returns the object from another node, or from the platform when this node is one of its
// readers.
func (r firstRead[T]) read(ctx context.Context) (T, error) {
	r.selector.awaitRecords(ctx)
	if r.begin != nil {
		r.begin(ctx)
	}
	if rank, ranked := r.selector.rank(); ranked && rank >= firstReaders {
		got, err := r.readFromPeers(ctx, r.picker(rank))
		if !errors.Is(err, errReadLocally) {
			return got, err
		}
	}
	got, err := r.fromPlatform(ctx)
	if !errors.Is(err, platform.ErrUnavailable) {
		return got, err
	}
	// The platform may refuse this node and serve others.
	other, otherErr := r.readFromPeers(ctx, newFallbackPicker(r.selector.self, r.selector.reachable(clock.Now())))
	if otherErr == nil {
		return other, nil
	}
	return got, err
}

// picker returns the picker for a node of the given rank.
func (r firstRead[T]) picker(rank int) *picker {
	if r.renewal {
		return newRenewalPicker(r.selector.self, r.selector.domain(), rank)
	}
	return newPicker(r.selector.self, r.selector.domain(), rank)
}

// peerResponse is the outcome of one request to a source.
type peerResponse[T any] struct {
	source string
	value  T
	err    error
}

// readFromPeers queries sources until one has the object. It returns errReadLocally when this node
// must read it from the platform itself.
func (r firstRead[T]) readFromPeers(ctx context.Context, sources *picker) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := clock.Now()
	responses := make(chan peerResponse[T])
	// connected is true once the connection to the source that was queried last is established.
	connected := new(atomic.Bool)
	var zero T
	for ctx.Err() == nil {
		elapsed := clock.Since(start)
		if finished, err := sources.done(elapsed); finished {
			return zero, err
		}
		if source, ok := sources.next(elapsed, connected.Load()); ok {
			connected = new(atomic.Bool)
			traced := withConnected(ctx, connected)
			go func() {
				defer crash.Guard()
				got, err := r.readFrom(traced, source, sources.wait)
				select {
				case responses <- peerResponse[T]{source.ID, got, err}:
				case <-ctx.Done():
				}
			}()
		}
		response, ok := receive(ctx, responses, pollInterval)
		if !ok {
			continue
		}
		sources.recordResponse(response.source, response.err)
		if response.err == nil {
			return response.value, nil
		}
		if !sources.once {
			wait.Sleep(ctx, pollInterval)
		}
	}
	return zero, ctx.Err()
}

// withConnected returns a context whose call sets connected when it has a connection.
func withConnected(ctx context.Context, connected *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
}

// receive waits up to timeout for a value.
func receive[T any](ctx context.Context, from <-chan T, timeout time.Duration) (T, bool) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case v := <-from:
		return v, true
	case <-timer.C:
	case <-ctx.Done():
	}
	var zero T
	return zero, false
}

// readFrom reads the object from one source within the bounds of its response.
func (r firstRead[T]) readFrom(ctx context.Context, source cluster.Record, wait time.Duration) (T, error) {
	ctx, progress := transport.WithProgress(ctx, wait+sourceStallTimeout, sourceStallTimeout, wait+maxTransfer)
	defer progress.Stop()
	requestedAt := clock.Now()
	got, err := r.fromPeer(ctx, source, wait)
	r.selector.log.Emit(event.SourceQueried).Str("of", r.object).Str("source", source.ID).Dur("took_ms", clock.Since(requestedAt)).Err(err).Send()
	return got, errors.Wrapf(err, "ask %s", source.ID)
}

// awaitRecords waits for the records of the nodes. Without them, a node does not know which sources to
// query. If each node then read for itself, all would do so at the moment at which the platform
// becomes reachable again.
func (l *Leader) awaitRecords(ctx context.Context) {
	for deadline := clock.Now().Add(recordsTimeout + rand.N(recordsTimeout)); clock.Now().Before(deadline); wait.Sleep(ctx, recordsPollInterval) {
		if _, known := l.nodes.DomainNodes(); known || ctx.Err() != nil {
			return
		}
	}
}

// domain returns the nodes of the failure domain, the preferred ones first.
func (l *Leader) domain() []cluster.Record {
	records, _ := l.nodes.DomainNodes()
	return records
}

// reachable returns the nodes of the failure domain, the preferred ones first, and then the live nodes of the others.
func (l *Leader) reachable(now time.Time) []cluster.Record {
	out := slices.Clone(l.domain())
	for _, p := range l.nodes.Live(now) {
		if !slices.ContainsFunc(out, func(r cluster.Record) bool { return r.ID == p.ID }) {
			out = append(out, p.Record)
		}
	}
	return out
}

// rank returns this node's rank among the nodes of its failure domain; false when it reads everything
// for itself, because there are few nodes or nothing is known of them.
func (l *Leader) rank() (int, bool) {
	records, known := l.nodes.DomainNodes()
	if !known || l.nodes.Size() <= maxIndependentNodes {
		return 0, false
	}
	rank := slices.IndexFunc(records, func(r cluster.Record) bool { return r.ID == l.self.ID })
	return rank, rank >= 0
}

// listFrom reads the list of upstream VMs from another node that has one of a later revision than newerThan.
func (l *Leader) listFrom(ctx context.Context, source cluster.Record, newerThan uint64, wait time.Duration) (fleet.WatchResult, error) {
	requestedAt := clock.Now()
	era, number := sentRevision(newerThan)
	resp, err := l.client(source).FollowFleet(ctx, connect.NewRequest(&marbleroadv1.FollowFleetRequest{
		NewerThan: number, Era: era, WaitMs: uint32(wait.Milliseconds())}))
	clock.Sync()
	switch {
	case err != nil:
		return fleet.WatchResult{}, err
	case resp.Msg.GetCompacted():
		return fleet.WatchResult{}, errSourceEmpty
	}
	listed := watched(resp.Msg, requestedAt.Add(milliseconds(resp.Msg.GetProvenAfterMs())), newerThan)
	if newerThan != 0 && listed.Revision <= newerThan {
		return fleet.WatchResult{}, errSourceEmpty
	}
	return listed, nil
}
