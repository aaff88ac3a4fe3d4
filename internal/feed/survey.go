package feed

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
)

const (
	// surveyAnswers is how many nodes with a configuration must answer if there are more than maxIndependentNodes; with
	// fewer, all are asked. Nodes that reach each other have the same version within a second.
	surveyAnswers = 3
	// surveyWidth is how many nodes of such a site are asked at once. Further ones take the place of those that fail, at most
	// maxSurveyed in all: records are left over from nodes that are gone.
	surveyWidth = 4
	maxSurveyed = 16
	// surveySettle is how long the others may take once a node with a configuration has answered. A round trip between
	// failure domains takes 3 ms; what takes longer is without power or cut off.
	surveySettle = 50 * time.Millisecond
	// surveyTimeout is how long a survey without any such answer takes. Nobody may have a configuration, and nodes whose
	// records are left over must not keep this one from serving.
	surveyTimeout = 400 * time.Millisecond
)

// survey decides which nodes are asked for their version of the configuration, and when the answers are enough. Its methods
// are pure and must be called by one goroutine.
type survey struct {
	candidates []cluster.Record
	// width is how many nodes are asked at once, wanted how many answers of nodes with a configuration are enough.
	width, wanted int
	// asked is the number of candidates that were asked, responded of those that have answered or failed, failed of the
	// latter, and informed of those that have a configuration.
	asked, responded, failed, informed int
}

// newSurvey returns a survey of the other nodes. With many, each node has an order of its own, which alternates between
// its failure domain and the others.
func newSurvey(self cluster.Record, others []cluster.Record) *survey {
	if len(others) < maxIndependentNodes {
		return &survey{candidates: others, width: len(others), wanted: len(others)}
	}
	others = slices.Clone(others)
	order := func(r cluster.Record) uint64 { return xxhash.Sum64String(r.ID + "/" + self.ID) }
	slices.SortFunc(others, func(a, b cluster.Record) int {
		if order(a) < order(b) {
			return -1
		}
		return 1
	})
	var local, foreign []cluster.Record
	for _, r := range others {
		if r.FailureDomain == self.FailureDomain {
			local = append(local, r)
		} else {
			foreign = append(foreign, r)
		}
	}
	s := &survey{width: surveyWidth, wanted: surveyAnswers}
	for i := 0; len(s.candidates) < maxSurveyed && i < len(others); i++ {
		for _, from := range [][]cluster.Record{local, foreign} {
			if i < len(from) {
				s.candidates = append(s.candidates, from[i])
			}
		}
	}
	return s
}

// next returns the node to ask now; false while there is none. Those that don't respond soon make room for others.
func (s *survey) next(elapsed time.Duration) (cluster.Record, bool) {
	width := s.width + s.failed
	if elapsed >= surveySettle {
		width += s.width
	}
	if s.asked >= min(width, len(s.candidates)) {
		return cluster.Record{}, false
	}
	s.asked++
	return s.candidates[s.asked-1], true
}

// record records the outcome of a request to a node: its version, or that it failed.
func (s *survey) record(version uint64, failed bool) {
	s.responded++
	if failed {
		s.failed++
	}
	if version > 0 {
		s.informed++
	}
}

// done reports whether the nodes that can be reached were asked.
func (s *survey) done(elapsed time.Duration) bool {
	switch {
	case s.informed >= s.wanted, s.responded >= min(s.width+s.failed, len(s.candidates)):
		return true
	case s.informed > 0:
		return elapsed >= surveySettle
	}
	return elapsed >= surveyTimeout
}

// pause returns the time until done may decide otherwise without a response.
func (s *survey) pause(elapsed time.Duration) time.Duration {
	if elapsed < surveySettle {
		return surveySettle - elapsed
	}
	return max(surveyTimeout-elapsed, 0)
}

// versionAnswer is another node's version of the configuration; zero if it has none.
type versionAnswer struct {
	node    cluster.Record
	version uint64
	err     error
}

// askVersions asks the nodes that can be reached for their versions.
func (c *Catalog) askVersions(ctx context.Context) surveyed {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newSurvey(c.selector.self, c.selector.nodes.Others())
	responses := make(chan versionAnswer, len(s.candidates))
	var found surveyed
	start := clock.Now()
	for elapsed := time.Duration(0); ctx.Err() == nil && !s.done(elapsed); elapsed = clock.Since(start) {
		for node, ok := s.next(elapsed); ok; node, ok = s.next(elapsed) {
			go func() {
				defer crash.Guard()
				responses <- c.versionAt(ctx, node)
			}()
		}
		if got, ok := receive(ctx, responses, s.pause(elapsed)); ok {
			s.record(got.version, got.err != nil)
			found.add(got)
		}
	}
	c.selector.log.Emit(event.VersionsCompared).Int("asked", s.asked).Int("answered", s.informed).Uint64("newest", found.newest).
		Dur("took_ms", clock.Since(start)).Send()
	return found
}

// add adds an answer.
func (f *surveyed) add(a versionAnswer) {
	switch {
	case a.version > f.newest:
		f.newest, f.holders = a.version, []cluster.Record{a.node}
	case a.version > 0 && a.version == f.newest:
		f.holders = append(f.holders, a.node)
	}
}

// versionAt asks another node for its version.
func (c *Catalog) versionAt(ctx context.Context, node cluster.Record) versionAnswer {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	// No version is newer than this one, so the answer holds no document.
	got, _, err := c.ask(ctx, node, math.MaxUint64, 0)
	if err != nil {
		return versionAnswer{node: node, err: err}
	}
	return versionAnswer{node: node, version: got.GetVersion()}
}
