package feed

import (
	"context"
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/transport"
)

const (
	// maxVersionFetches is how many nodes are asked for the document of a newer version, one after the other.
	maxVersionFetches = 3
	// maxSurveyLead is how long before the call that verified a result a survey may have begun that the result is compared
	// with. Nodes tell each other of newer versions meanwhile.
	maxSurveyLead = time.Second
	// surveyInterval is the minimum time between two surveys that begin before there is a result.
	surveyInterval = 2 * time.Second
)

// comparison keeps track of whether this process has compared its version of the configuration with those of other nodes
// since it started and since the platform's store was last restored: the store may have lost the newest version with the
// restore, and a process that starts can't know whether there was one. It is safe for concurrent use.
type comparison struct {
	mu sync.Mutex
	// comparedBefore is the era before which versions were compared; 0 if they were not since the start.
	comparedBefore uint64
	// survey is the last survey that began before there was a result to compare; nil once it was used.
	survey *earlySurvey
	// surveyedAt is when it began.
	surveyedAt time.Time
}

// earlySurvey is a survey that may still run. found is valid once done is closed.
type earlySurvey struct {
	done  chan struct{}
	found surveyed
}

// surveyed is what a survey has found.
type surveyed struct {
	// newest is the newest version of the nodes that answered; 0 if none has one. holders are the nodes that have it.
	newest  uint64
	holders []cluster.Record
}

// covers reports whether versions were compared in the era or a later one.
func (m *comparison) covers(era uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return era < m.comparedBefore
}

// record records that versions were compared in the era.
func (m *comparison) record(era uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.comparedBefore = max(m.comparedBefore, era+1)
}

// begin returns a new survey to run, or nil if one began within surveyInterval or versions were compared already.
func (m *comparison) begin(now time.Time) *earlySurvey {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.comparedBefore > 0 || !m.surveyedAt.IsZero() && now.Sub(m.surveyedAt) < surveyInterval {
		return nil
	}
	m.survey, m.surveyedAt = &earlySurvey{done: make(chan struct{})}, now
	return m.survey
}

// take returns the last survey if a result that was verified at that time may be compared with it, and nil otherwise. It is
// used once: a later result may be of another era.
func (m *comparison) take(verifiedAt time.Time) *earlySurvey {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.survey
	m.survey = nil
	if verifiedAt.Sub(m.surveyedAt) > maxSurveyLead {
		return nil
	}
	return s
}

// beginSurvey starts to ask other nodes for their versions at the start of this process, so that its first result needs not
// wait for it.
func (c *Catalog) beginSurvey(ctx context.Context) {
	s := c.comparison.begin(clock.Now())
	if s == nil {
		return
	}
	go func() {
		defer crash.Guard()
		defer close(s.done)
		s.found = c.askVersions(ctx)
	}()
}

// takeSurvey returns what the last survey found, or runs one if that began too long before verifiedAt.
func (c *Catalog) takeSurvey(ctx context.Context, verifiedAt time.Time) surveyed {
	s := c.comparison.take(verifiedAt)
	if s == nil {
		return c.askVersions(ctx)
	}
	select {
	case <-s.done:
		return s.found
	case <-ctx.Done():
		return surveyed{}
	}
}

// prove decides whether a result proves that the version in force is the newest. Before the first result of this process and
// after a restore of the platform's store, the nodes that can be reached are asked for their versions first; the result then
// has the newest one. A result proves nothing while a live node has a newer version. It is safe for concurrent use.
func (c *Catalog) prove(ctx context.Context, w catalog.WatchResult) catalog.WatchResult {
	era, _ := platform.SplitRevision(w.Revision)
	if !c.comparison.covers(era) {
		c.compare(ctx, era, &w)
	}
	w.Unproven = !c.comparison.covers(era) || c.knownVersion(w) < c.selector.newestVersion(clock.Now())
	return w
}

// compare compares a result with the versions of other nodes, and puts the newest one into it.
func (c *Catalog) compare(ctx context.Context, era uint64, w *catalog.WatchResult) {
	c.comparing.Lock()
	defer c.comparing.Unlock()
	if c.comparison.covers(era) {
		return
	}
	found := c.takeSurvey(ctx, w.VerifiedAt)
	c.catchUpWith(ctx, found, w)
	if ctx.Err() == nil && found.newest <= c.knownVersion(*w) {
		c.comparison.record(era)
	}
}

// knownVersion returns the newest version that this node has with a result.
func (c *Catalog) knownVersion(w catalog.WatchResult) uint64 {
	if w.Catalog == nil {
		return c.version()
	}
	return max(c.version(), w.Catalog.Version())
}

// catchUpWith puts the newest version that a survey found into a result, if it is newer than the result's and the one in
// force.
func (c *Catalog) catchUpWith(ctx context.Context, found surveyed, w *catalog.WatchResult) {
	known := c.knownVersion(*w)
	if found.newest <= known {
		return
	}
	for _, node := range found.holders[:min(len(found.holders), maxVersionFetches)] {
		asked := clock.Now()
		fetched, err := c.fetch(ctx, node, known, w.Revision)
		c.selector.log.Emit(event.VersionFetched).Uint64("newest", found.newest).Uint64("in_force", c.version()).Str("source", node.ID).
			Dur("took_ms", clock.Since(asked)).Err(err).Send()
		if err == nil && fetched.Catalog != nil {
			w.Catalog, w.Source = fetched.Catalog, node.ID
			return
		}
	}
}

// fetch asks a node for its version if that is above the known one; the result has no catalog if it is not. revision is the
// one up to which this node has seen all changes.
func (c *Catalog) fetch(ctx context.Context, node cluster.Record, known, revision uint64) (catalog.WatchResult, error) {
	ctx, progress := transport.WithProgress(ctx, catchUpTimeout, catchUpTimeout, maxTransfer)
	defer progress.Stop()
	got, _, err := c.ask(ctx, node, known, 0)
	clock.Sync()
	if err != nil {
		c.selector.markFailed(clock.Now(), node, err)
		return catalog.WatchResult{}, err
	}
	if got.GetVersion() <= known {
		return catalog.WatchResult{}, nil
	}
	return c.received(got, revision)
}
