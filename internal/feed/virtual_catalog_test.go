package feed

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// configurationOf is a virtual node's access to the operators' configuration. It implements catalog.Source. The store's
// revision is the version.
type configurationOf struct {
	store *virtualConfigurations
	node  string
}

// virtualConfigurations is the operators' configuration in the virtual store.
type virtualConfigurations struct {
	*virtualStore
	version uint64
	// history is the number of the oldest version from which a watch finds all changes.
	history uint64
}

func (s *virtualConfigurations) publish() { s.update(func() { s.version++ }) }

// restore takes the store back to an earlier version.
func (s *virtualConfigurations) restore(version uint64) {
	s.update(func() { s.era, s.version = s.era+1, version })
}

// call waits for the store's response to a call; ready reports, under the store's lock, whether it may be sent.
func (c configurationOf) call(ctx context.Context, wait time.Duration, ready func() bool) (catalog.WatchResult, error) {
	out := catalog.WatchResult{VerifiedAt: clock.Now()}
	time.Sleep(storeCallTime)
	deadline, timeout := time.NewTimer(wait), time.NewTimer(wait+storeTimeout)
	defer deadline.Stop()
	defer timeout.Stop()
	for waited := wait == 0; ; {
		c.store.mu.Lock()
		state, changed, answers := c.store.access[c.node], c.store.changed, ready()
		version, revision := c.store.version, platform.JoinRevision(c.store.era, c.store.version)
		c.store.mu.Unlock()
		switch {
		case state == refused:
			return out, platform.ErrUnavailable
		case state == served && (answers || waited):
			var err error
			out.Revision = revision
			out.Catalog, err = decodeVersion(strconv.AppendUint(nil, version, 10))
			return out, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-timeout.C:
			return out, platform.ErrUnavailable
		case <-ctx.Done():
			return out, ctx.Err()
		}
	}
}

// Current implements catalog.Source.
func (c configurationOf) Current(ctx context.Context, _ uint64) (catalog.WatchResult, error) {
	return c.call(ctx, 0, func() bool { return true })
}

// Changed implements catalog.Source.
func (c configurationOf) Changed(ctx context.Context, revision uint64, wait time.Duration) (catalog.WatchResult, error) {
	c.store.mu.Lock()
	era, number := platform.SplitRevision(revision)
	expired := c.store.access[c.node] == served && (number < c.store.history || era != c.store.era)
	c.store.mu.Unlock()
	if expired {
		return catalog.WatchResult{}, platform.ErrCompacted
	}
	return c.call(ctx, wait, func() bool { return c.store.version > number })
}

// versionBound is the time within which a new version must be in force at each node that reaches the others. Operators
// are promised 2 s; the rest is for nodes with a fraction of a processor.
const versionBound = 1500 * time.Millisecond

// checkVersion reports the nodes at which the store's version is not in force.
func (f *virtualFleet) checkVersion(t *testing.T, s *virtualConfigurations) {
	t.Helper()
	var late []string
	for _, node := range f.nodes {
		if node.cache.Version() < s.version {
			late = append(late, node.record.ID)
		}
	}
	if len(late) > 0 {
		t.Errorf("%d of %d nodes don't have version %d %s after it was accepted: %v", len(late), len(f.nodes), s.version, versionBound, late[:min(len(late), 12)])
	}
}

// changeTimes are the phases of the readers' calls at which a fault happens, and the times after it at which the operator
// changes the configuration.
var changeTimes = []struct{ phase, after time.Duration }{
	{0, 0},
	{400 * time.Millisecond, 0},
	{700 * time.Millisecond, 300 * time.Millisecond},
	{200 * time.Millisecond, 900 * time.Millisecond},
	{0, 3 * time.Second},
}

// playVersion makes a fault happen at a site of n nodes, and reports the nodes at which a version that is accepted some
// time later is not in force in time.
func playVersion(t *testing.T, n int, phase, after time.Duration, fault func(f *virtualFleet, s *virtualConfigurations)) {
	t.Helper()
	s := &virtualConfigurations{virtualStore: storeOfPlainVMs(), version: 1}
	runVirtualWith(t, n, s.virtualStore, s, func(t *testing.T, f *virtualFleet) {
		time.Sleep(phase)
		start := time.Now()
		fault(f, s)
		at(start, after, s.publish)
		at(start, after+versionBound, func() { f.checkVersion(t, s) })
	})
}

// forEachCut calls test for sites of 8 and 80 nodes in which the first nodes of each failure domain, which read the store
// for others, are not served by it.
func forEachCut(t *testing.T, test func(t *testing.T, n int, cut func(f *virtualFleet, s *virtualConfigurations))) {
	for _, n := range []int{8, 80} {
		for _, count := range []int{1, 2, 9} {
			if n == 8 && count > 1 {
				continue
			}
			for name, how := range map[string]access{"refused": refused, "silent": silent} {
				t.Run(fmt.Sprintf("%d nodes, %d of each domain %s", n, count, name), func(t *testing.T) {
					test(t, n, func(f *virtualFleet, s *virtualConfigurations) {
						for _, node := range f.nodes[:virtualDomains*count] {
							s.setAccess(node.record.ID, how)
						}
					})
				})
			}
		}
	}
}

// TestVersionReachesNodesWhoseReadersAreCutOff guards against a change that is not in force in time while the nodes
// that read the configuration for others don't reach the store: neither at these nodes nor at their followers.
func TestVersionReachesNodesWhoseReadersAreCutOff(t *testing.T) {
	forEachCut(t, func(t *testing.T, n int, cut func(f *virtualFleet, s *virtualConfigurations)) {
		for _, at := range changeTimes {
			t.Run(fmt.Sprintf("%s after %s", at.after, at.phase), func(t *testing.T) { playVersion(t, n, at.phase, at.after, cut) })
		}
	})
}

// TestSeriesOfVersionsReachesNodesWhoseReadersAreCutOff guards against nodes that follow each other, so that nobody reads the
// store for a second at a time: nodes that it refuses follow their followers.
func TestSeriesOfVersionsReachesNodesWhoseReadersAreCutOff(t *testing.T) {
	const changes, changeInterval = 24, 300 * time.Millisecond
	forEachCut(t, func(t *testing.T, n int, cut func(f *virtualFleet, s *virtualConfigurations)) {
		s := &virtualConfigurations{virtualStore: storeOfPlainVMs(), version: 1}
		runVirtualWith(t, n, s.virtualStore, s, func(t *testing.T, f *virtualFleet) {
			cut(f, s)
			time.Sleep(2 * time.Second)
			start := time.Now()
			const stepsToApply = int(versionBound / changeInterval)
			for step := range changes + stepsToApply {
				at(start, time.Duration(step)*changeInterval, func() {
					if step < changes {
						s.publish()
					}
					for _, node := range f.nodes {
						if due := min(step-stepsToApply, changes-1) + 2; int(node.cache.Version()) < due {
							t.Fatalf("%s has version %d, %s after version %d was accepted", node.record.ID, node.cache.Version(), versionBound, due)
						}
					}
				})
			}
		})
	})
}

// TestConfigurationStaysVerifiedWhileReadersAreCutOff guards against nodes that refuse keys, because they can't tell
// whether these were revoked, although other nodes know.
func TestConfigurationStaysVerifiedWhileReadersAreCutOff(t *testing.T) {
	// maxAge is how long keys are accepted after the configuration was verified, with a revocation bound of 5 s.
	const maxAge = 4700 * time.Millisecond
	forEachCut(t, func(t *testing.T, n int, cut func(f *virtualFleet, s *virtualConfigurations)) {
		s := &virtualConfigurations{virtualStore: storeOfPlainVMs(), version: 1}
		runVirtualWith(t, n, s.virtualStore, s, func(t *testing.T, f *virtualFleet) {
			start := time.Now()
			cut(f, s)
			for after := time.Duration(0); after < 12*time.Second; after += time.Second {
				at(start, after, func() {
					for _, node := range f.nodes {
						if age := node.cache.VerifiedAge(clock.Now()); age > maxAge {
							t.Fatalf("%s after the cut, %s verified its configuration %s ago", after, node.record.ID, age)
						}
					}
				})
			}
		})
	})
}

// TestListReachesNodesWhoseReadersAreCutOff guards against nodes that send requests to a VM long after it left, because the
// store does not serve them, although other nodes know.
func TestListReachesNodesWhoseReadersAreCutOff(t *testing.T) {
	forEachCut(t, func(t *testing.T, n int, cut func(f *virtualFleet, s *virtualConfigurations)) {
		for _, notice := range []bool{true, false} {
			t.Run(fmt.Sprintf("notice %t", notice), func(t *testing.T) {
				s := &virtualConfigurations{virtualStore: storeOfPlainVMs(), version: 1}
				runVirtualWith(t, n, s.virtualStore, s, func(t *testing.T, f *virtualFleet) {
					start := time.Now()
					cut(f, s)
					const left = 3 * time.Second
					at(start, left, func() { s.leave(7, notice) })
					f.checkGone(t, start, "vm-07", left, 0)
				})
			})
		}
	})
}

// TestNodeStartsThoughTheStoreRefusesIt guards against nodes that get neither a configuration nor a list when they start
// while the store does not serve them, although other nodes have both.
func TestNodeStartsThoughTheStoreRefusesIt(t *testing.T) {
	for _, n := range []int{8, 80} {
		for name, how := range map[string]access{"refused": refused, "silent": silent} {
			t.Run(fmt.Sprintf("%d nodes, %s", n, name), func(t *testing.T) {
				s := &virtualConfigurations{virtualStore: storeOfPlainVMs(), version: 1}
				s.access["n000"] = how
				runVirtualWith(t, n, s.virtualStore, s, func(t *testing.T, f *virtualFleet) {
					if node := f.nodes[0]; node.cache.Version() != 1 || node.directory.Snapshot() == nil {
						t.Errorf("version %d, list read: %t", node.cache.Version(), node.directory.Snapshot() != nil)
					}
				})
			})
		}
	}
}
