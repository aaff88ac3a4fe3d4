package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
)

const (
	// keyBound is how long keys are accepted after the configuration was verified, with a revocation bound of 5 s.
	keyBound = 4700 * time.Millisecond
	// lostVersion is a version that takes a key away, and that the store loses with a restore.
	lostVersion = 2
	// restoredAfter is the time from its publication to the restore, which does not come at the moment of an exchange.
	restoredAfter = 5050 * time.Millisecond
)

// honoursLostKeys reports whether a node accepts keys by a version from before the lost one.
func (n *virtualNode) honoursLostKeys() bool {
	version := n.cache.Version()
	return version > 0 && version < lostVersion && n.cache.VerifiedAge(clock.Now()) <= keyBound
}

// restartAfterARestore stops node 0, publishes a version that the store loses again, and starts the node as the store is
// back. observe is called every 5 ms after that, with the time since the start.
func restartAfterARestore(t *testing.T, n int, disturb func(f *virtualFleet), observe func(t *testing.T, node *virtualNode, since time.Duration)) {
	t.Helper()
	s := &virtualConfigurations{virtualStore: storeOfPlainVMs(), version: 1}
	runVirtualWith(t, n, s.virtualStore, s, func(t *testing.T, f *virtualFleet) {
		node := f.nodes[0]
		node.stop()
		f.disturb(func() { f.dead[node.record.Address] = true })
		s.publish()
		time.Sleep(restoredAfter)
		s.restore(1)
		f.disturb(func() {
			delete(f.dead, node.record.Address)
			disturb(f)
		})
		node.build(t)
		start := time.Now()
		node.start(t)
		for since := time.Duration(0); since < 8*time.Second; since += 5 * time.Millisecond {
			at(start, since, func() {
				if !t.Failed() {
					observe(t, node, since)
				}
			})
		}
	})
}

// reachability are the states in which a node that starts finds the others, by name.
var reachability = map[string]func(f *virtualFleet){
	"all live":          func(*virtualFleet) {},
	"every second dead": func(f *virtualFleet) { f.everySecond(f.dead) },
	"every second hung": func(f *virtualFleet) { f.everySecond(f.hung) },
}

func (f *virtualFleet) everySecond(state map[string]bool) {
	for i, node := range f.nodes {
		if i%2 == 1 {
			state[node.record.Address] = true
		}
	}
}

// TestNodeStartedAfterARestoreHonoursNoRevokedKey guards against keys that were taken away, at a node that starts while the
// store has lost that version and other nodes know it.
func TestNodeStartedAfterARestoreHonoursNoRevokedKey(t *testing.T) {
	for _, n := range []int{3, 8, 80} {
		for name, disturb := range reachability {
			t.Run(fmt.Sprintf("%d nodes, %s", n, name), func(t *testing.T) {
				restartAfterARestore(t, n, disturb, func(t *testing.T, node *virtualNode, since time.Duration) {
					if node.honoursLostKeys() {
						t.Errorf("version %d counts as the newest %s after the start", node.cache.Version(), since)
					}
					if since == time.Second && node.cache.VerifiedAge(clock.Now()) > keyBound {
						t.Errorf("keys are refused %s after the start", since)
					}
				})
			})
		}
	}
}

// TestNodeThatReachesNoOtherServes guards against a node that refuses keys for good, or starts late, because no other node
// answers: those that are recorded may all be gone.
func TestNodeThatReachesNoOtherServes(t *testing.T) {
	for _, n := range []int{1, 2, 8, 80} {
		for name, state := range map[string]func(f *virtualFleet) map[string]bool{
			"dead": func(f *virtualFleet) map[string]bool { return f.dead },
			"hung": func(f *virtualFleet) map[string]bool { return f.hung },
		} {
			t.Run(fmt.Sprintf("%d nodes, the others %s", n, name), func(t *testing.T) {
				disturb := func(f *virtualFleet) {
					f.isolated[f.nodes[0].record.ID] = true
					for _, other := range f.nodes[1:] {
						state(f)[other.record.Address] = true
					}
				}
				bound := 100 * time.Millisecond
				if name == "hung" && n > 1 {
					bound = surveyTimeout + 100*time.Millisecond
				}
				restartAfterARestore(t, n, disturb, func(t *testing.T, node *virtualNode, since time.Duration) {
					if since > bound && node.cache.VerifiedAge(clock.Now()) > keyBound {
						t.Errorf("keys are refused %s after the start", since)
					}
				})
			})
		}
	}
}

// TestRunningNodeBehindTheOthersHonoursNoRevokedKey guards against keys that were taken away while a node could reach nobody,
// once it reaches the store again, which has lost that version meanwhile, and other nodes, which have it.
func TestRunningNodeBehindTheOthersHonoursNoRevokedKey(t *testing.T) {
	for _, n := range []int{3, 8, 80} {
		t.Run(fmt.Sprintf("%d nodes", n), func(t *testing.T) {
			s := &virtualConfigurations{virtualStore: storeOfPlainVMs(), version: 1}
			runVirtualWith(t, n, s.virtualStore, s, func(t *testing.T, f *virtualFleet) {
				node := f.nodes[0]
				s.setAccess(node.record.ID, refused)
				f.disturb(func() { f.isolated[node.record.ID] = true })
				time.Sleep(time.Second)
				s.publish()
				time.Sleep(restoredAfter)
				s.restore(1)
				// What it hears in exchanges comes later than the store's word.
				f.disturb(func() { f.isolated, f.deaf = f.deaf, f.isolated })
				s.setAccess(node.record.ID, served)
				start := time.Now()
				for since := time.Duration(0); since < 4*time.Second; since += 5 * time.Millisecond {
					at(start, since, func() {
						if node.honoursLostKeys() && !t.Failed() {
							t.Errorf("version %d counts as the newest %s after the store is reached again", node.cache.Version(), since)
						}
					})
				}
				if node.cache.Version() != lostVersion {
					t.Errorf("version %d", node.cache.Version())
				}
			})
		})
	}
}

// TestConfigurationKnownToBeOldIsNotProven guards against keys that are accepted by the word of a restored store while a
// node hears from others that a newer version exists, which it can't fetch from them.
func TestConfigurationKnownToBeOldIsNotProven(t *testing.T) {
	s := &virtualConfigurations{virtualStore: storeOfPlainVMs(), version: 1}
	runVirtualWith(t, 8, s.virtualStore, s, func(t *testing.T, f *virtualFleet) {
		node := f.nodes[0]
		s.setAccess(node.record.ID, silent)
		f.disturb(func() { f.hung[node.record.ID] = true })
		for _, other := range f.nodes[1:] {
			f.disturb(func() { f.hung[other.record.ID] = true })
		}
		lost := time.Now()
		s.publish()
		time.Sleep(3 * time.Second)
		s.restore(1)
		s.setAccess(node.record.ID, served)
		time.Sleep(3 * time.Second)
		if version, age := node.cache.Version(), node.cache.VerifiedAge(clock.Now()); version != 1 || age < time.Since(lost) {
			t.Errorf("version %d was verified %s ago, %s after a newer one was accepted", version, age, time.Since(lost))
		}
		f.disturb(func() { clear(f.hung) })
		time.Sleep(2 * time.Second)
		if version, age := node.cache.Version(), node.cache.VerifiedAge(clock.Now()); version != lostVersion || age > 2*time.Second {
			t.Errorf("version %d was verified %s ago though it can be fetched", version, age)
		}
	})
}
