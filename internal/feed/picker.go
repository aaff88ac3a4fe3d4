package feed

import (
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/cluster"
)

const (
	// firstReaders is how many nodes of a failure domain, the preferred ones, read large objects from
	// the platform at first. More read when these do not succeed, at most maxReaders.
	firstReaders = 4
	maxReaders   = 16
	// readersDoubling is the time after which twice as many nodes read. The first ones may be
	// partitioned, or refused by the platform.
	readersDoubling = time.Second
	// hedgeDelay is how long a source may take before another one is queried in parallel.
	// connectHedgeDelay is the same for a source without an established connection: it may be without
	// power.
	hedgeDelay        = 600 * time.Millisecond
	connectHedgeDelay = 200 * time.Millisecond
	// peerReadTimeout is how long other nodes are queried. fallbackTimeout is the same for a node that
	// the platform did not serve: it retries the platform soon.
	peerReadTimeout = 4 * time.Second
	fallbackTimeout = 400 * time.Millisecond
)

// errReadLocally means that this node must read from the platform itself.
var errReadLocally = errors.New("no other node has it, and this one may read it from the platform")

// readers returns how many nodes of a failure domain read from the platform at that time after a
// start.
func readers(elapsed time.Duration) int {
	n := firstReaders
	for ; elapsed >= readersDoubling && n < maxReaders; elapsed -= readersDoubling {
		n *= 2
	}
	return n
}

// picker selects the sources that a node queries for an object. Its methods are pure and must be
// called by one goroutine.
type picker struct {
	// rank is this node's rank in the failure domain, which determines when it reads for itself.
	rank int
	// fallback is true for a node that may query all other nodes from the start, and does not wait
	// until it may read itself.
	fallback bool
	// once is true for a node that has an older version and reaches the platform: it queries each of the first readers
	// once.
	once bool
	// limit is how long other nodes are queried, wait how long each may take until it has a response.
	limit, wait time.Duration
	// sources are the possible sources, the preferred ones first, without this node.
	sources []source
	// lastRequestAt is when a source was last queried, relative to the start.
	lastRequestAt time.Duration
	pending       int
	// sourceResponded is true once a source has responded that it does not have the object, so this
	// node is not partitioned.
	sourceResponded bool
}

// source is one node that may be queried.
type source struct {
	cluster.Record
	// rank is the node's rank in the failure domain.
	rank     int
	attempts int
	pending  bool
	// hash differs between the querying nodes, so that they spread over the sources.
	hash uint64
}

// newPicker returns a picker for a node of the given rank, which waits for those that read before it.
func newPicker(self cluster.Record, domain []cluster.Record, rank int) *picker {
	p := &picker{rank: rank, limit: peerReadTimeout, wait: sourceWait, lastRequestAt: -hedgeDelay}
	p.addSources(self, domain)
	return p
}

// newFallbackPicker returns a picker for a node that failed to read from the platform.
func newFallbackPicker(self cluster.Record, domain []cluster.Record) *picker {
	p := &picker{fallback: true, limit: fallbackTimeout, lastRequestAt: -hedgeDelay}
	p.addSources(self, domain)
	return p
}

// newRenewalPicker returns a picker for a node that has a version of the object whose history is gone.
func newRenewalPicker(self cluster.Record, domain []cluster.Record, rank int) *picker {
	p := newPicker(self, domain, rank)
	p.once = true
	return p
}

// addSources adds the possible sources.
func (p *picker) addSources(self cluster.Record, domain []cluster.Record) {
	for rank, r := range domain[:min(len(domain), maxReaders)] {
		if r.ID != self.ID {
			p.sources = append(p.sources, source{Record: r, rank: rank, hash: xxhash.Sum64String(r.ID + "/" + self.ID)})
		}
	}
}

// next returns the node to query now; false while there is none, or while the one that was queried
// last may still respond. connected reports whether the connection to that one is established.
func (p *picker) next(elapsed time.Duration, connected bool) (cluster.Record, bool) {
	delay := connectHedgeDelay
	if connected {
		delay = hedgeDelay
	}
	if p.pending > 0 && elapsed-p.lastRequestAt < delay {
		return cluster.Record{}, false
	}
	s := p.best(elapsed)
	if s == nil {
		return cluster.Record{}, false
	}
	s.attempts++
	s.pending = true
	p.pending++
	p.lastRequestAt = elapsed
	return s.Record, true
}

// best returns the source to query first; nil while there is none.
func (p *picker) best(elapsed time.Duration) *source {
	var best *source
	for i := range p.sources {
		s := &p.sources[i]
		if s.pending || !p.fallback && s.rank >= readers(elapsed) || p.once && s.attempts > 0 {
			continue
		}
		if best == nil || s.before(best) {
			best = s
		}
	}
	return best
}

// before reports whether a source is queried before another: those that were queried less often come
// first, and of these the ones that started to read last, since the earlier ones did not succeed.
func (s *source) before(other *source) bool {
	if s.attempts != other.attempts {
		return s.attempts < other.attempts
	}
	if wave, otherWave := s.wave(), other.wave(); wave != otherWave {
		return wave > otherWave
	}
	return s.hash < other.hash
}

// wave returns the number of doublings after which the node starts to read.
func (s *source) wave() int {
	wave := 0
	for n := firstReaders; n <= s.rank; n *= 2 {
		wave++
	}
	return wave
}

// recordResponse records the outcome of a request.
func (p *picker) recordResponse(id string, err error) {
	i := slices.IndexFunc(p.sources, func(s source) bool { return s.ID == id })
	p.sources[i].pending = false
	p.pending--
	p.sourceResponded = p.sourceResponded || errors.Is(err, errSourceEmpty) || connect.IsWireError(err)
}

// done reports whether the node stops querying, and why: it is one of the readers by now, each source was queried as
// often as it may be, or no source responds. If sources respond but do not have the object yet, the node leaves it to them to read the
// object, and stops with errNoneAvailable.
func (p *picker) done(elapsed time.Duration) (bool, error) {
	switch {
	case !p.fallback && p.rank < readers(elapsed):
		return true, errReadLocally
	case p.once && p.pending == 0 && p.best(elapsed) == nil:
		return true, errReadLocally
	case elapsed < p.limit:
		return false, nil
	case p.sourceResponded:
		return true, errNoneAvailable
	}
	return true, errReadLocally
}
