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
	// firstReaders is how many nodes of a failure domain read large objects from the platform at once, the
	// fittest ones; mostReaders is up to how many do when these do not get them.
	firstReaders = 4
	mostReaders  = 16
	// readersStep is the time after which twice as many nodes read: the first ones may be cut off,
	// or refused by the platform.
	readersStep = time.Second
	// askedPatience is how long a source may take before another one is asked beside it,
	// connectPatience the same for one that can't be connected to yet: it may be without power.
	askedPatience   = 600 * time.Millisecond
	connectPatience = 200 * time.Millisecond
	// askingLimit is for how long others are asked, briefLimit the same by a node that the platform did not
	// answer: it tries that again soon.
	askingLimit = 4 * time.Second
	briefLimit  = 400 * time.Millisecond
)

// errOwnTurn means that this node is to read from the platform itself.
var errOwnTurn = errors.New("no other node has it, and this one may read it from the platform")

// readers is how many nodes of a failure domain read from the platform that long after a start.
func readers(elapsed time.Duration) int {
	n := firstReaders
	for ; elapsed >= readersStep && n < mostReaders; elapsed -= readersStep {
		n *= 2
	}
	return n
}

// picker decides whom a node asks for something that it lacks. Its methods are pure and belong to one goroutine.
type picker struct {
	// rank is this node's place in the failure domain, which says when it is to read for itself.
	rank int
	// brief is true for a node that asks all others, and does not wait for its turn.
	brief bool
	// limit is for how long others are asked, wait how long each may take until it has an answer.
	limit, wait time.Duration
	// order are the possible sources, the fittest first, without this node.
	order []source
	// lastAsked is when a source was last asked, counted from the beginning.
	lastAsked time.Duration
	pending   int
	// heard is true once a source has answered that it does not have it: it is not this node that is cut off.
	heard bool
}

// source is one node that may be asked.
type source struct {
	cluster.Record
	// place is the node's rank in the failure domain.
	place   int
	tries   int
	pending bool
	// mix differs between those who ask, so that they spread over the sources.
	mix uint64
}

// newPicker is for a node of that rank, which waits for those that read before it.
func newPicker(self cluster.Record, domain []cluster.Record, rank int) *picker {
	p := &picker{rank: rank, limit: askingLimit, wait: sourceWait, lastAsked: -askedPatience}
	p.take(self, domain)
	return p
}

// newBriefPicker is for a node that could not read for itself.
func newBriefPicker(self cluster.Record, domain []cluster.Record) *picker {
	p := &picker{brief: true, limit: briefLimit, lastAsked: -askedPatience}
	p.take(self, domain)
	return p
}

// take notes the possible sources.
func (p *picker) take(self cluster.Record, domain []cluster.Record) {
	for place, r := range domain[:min(len(domain), mostReaders)] {
		if r.ID != self.ID {
			p.order = append(p.order, source{Record: r, place: place, mix: xxhash.Sum64String(r.ID + "/" + self.ID)})
		}
	}
}

// next chooses the node to ask now; false while there is none, or the one that was asked last may yet
// answer. Connected tells whether that one could be connected to.
func (p *picker) next(elapsed time.Duration, connected bool) (cluster.Record, bool) {
	patience := connectPatience
	if connected {
		patience = askedPatience
	}
	if p.pending > 0 && elapsed-p.lastAsked < patience {
		return cluster.Record{}, false
	}
	s := p.best(elapsed)
	if s == nil {
		return cluster.Record{}, false
	}
	s.tries++
	s.pending = true
	p.pending++
	p.lastAsked = elapsed
	return s.Record, true
}

// best is the source to ask first; nil while there is none.
func (p *picker) best(elapsed time.Duration) *source {
	var best *source
	for i := range p.order {
		s := &p.order[i]
		if s.pending || !p.brief && s.place >= readers(elapsed) {
			continue
		}
		if best == nil || s.before(best) {
			best = s
		}
	}
	return best
}

// before orders sources by who is asked first: those asked less often; of these the ones that began to
// read last, since the earlier ones did not help.
func (s *source) before(other *source) bool {
	if s.tries != other.tries {
		return s.tries < other.tries
	}
	if mine, its := s.wave(), other.wave(); mine != its {
		return mine > its
	}
	return s.mix < other.mix
}

// wave is after how many steps the node begins to read.
func (s *source) wave() int {
	wave := 0
	for n := firstReaders; n <= s.place; n *= 2 {
		wave++
	}
	return wave
}

// answered takes the end of a question.
func (p *picker) answered(id string, err error) {
	i := slices.IndexFunc(p.order, func(s source) bool { return s.ID == id })
	p.order[i].pending = false
	p.pending--
	p.heard = p.heard || errors.Is(err, errNoSource) || connect.IsWireError(err)
}

// over reports whether the node stops asking, and why: it is among those that read by now, or nobody
// answers it. A node whose sources answer, and have nothing either, leaves the platform to them.
func (p *picker) over(elapsed time.Duration) (bool, error) {
	switch {
	case !p.brief && p.rank < readers(elapsed):
		return true, errOwnTurn
	case elapsed < p.limit:
		return false, nil
	case p.heard:
		return true, errNotTaken
	}
	return true, errOwnTurn
}
