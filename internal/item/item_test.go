package item

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

// TestNeverReverts checks sets that exchange items in any order against an oracle that only has the
// highest version of each key.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		sets := make([]*Set, nodes)
		cursors := make([][]Cursor, nodes)
		for i := range sets {
			sets[i] = NewSet(uint64(i + 1))
			cursors[i] = make([]Cursor, nodes)
		}
		incarnation := uint64(nodes)
		highest := make(map[string]uint64)
		seen := make([]map[string]uint64, nodes)
		for i := range seen {
			seen[i] = make(map[string]uint64)
		}
		key := rapid.SampledFrom([]string{"table/teams/a", "table/teams/b", "plan/x/f"})
		node := rapid.IntRange(0, nodes-1)
		pull := func(to, from int) {
			changed, next := sets[from].Since(cursors[to][from], sets[to].Digest(), func(string) bool { return true })
			for _, it := range changed {
				sets[to].Adopt(it)
			}
			cursors[to][from] = next
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				k, n := key.Draw(t, "key"), node.Draw(t, "node")
				highest[k]++
				sets[n].Adopt(Item{Key: k, Version: highest[k]})
			},
			"late copy": func(t *rapid.T) {
				k, n := key.Draw(t, "key"), node.Draw(t, "node")
				sets[n].Adopt(Item{Key: k, Version: rapid.Uint64Range(0, highest[k]).Draw(t, "version")})
			},
			"pull": func(t *rapid.T) {
				to, from := node.Draw(t, "to"), node.Draw(t, "from")
				if to != from {
					pull(to, from)
				}
			},
			"restart": func(t *rapid.T) {
				n := node.Draw(t, "node")
				// Items that only this node held are lost; the highest version is now the highest
				// one held by any node.
				incarnation++
				sets[n] = NewSet(incarnation)
				cursors[n] = make([]Cursor, nodes)
				seen[n] = make(map[string]uint64)
				for k := range highest {
					highest[k] = 0
					for _, s := range sets {
						it, _ := s.Get(k)
						highest[k] = max(highest[k], it.Version)
					}
				}
			},
			"": func(t *rapid.T) {
				for n, s := range sets {
					for k := range highest {
						it, _ := s.Get(k)
						if it.Version < seen[n][k] {
							t.Fatalf("node %d: the version of %s decreased from %d to %d", n, k, seen[n][k], it.Version)
						}
						seen[n][k] = it.Version
					}
				}
			},
		})
		for range nodes {
			for to := range sets {
				for from := range sets {
					if to != from {
						pull(to, from)
					}
				}
			}
		}
		for n, s := range sets {
			for k, want := range highest {
				if it, _ := s.Get(k); it.Version != want {
					t.Fatalf("node %d has %s at version %d, want %d", n, k, it.Version, want)
				}
			}
			if s.Digest() != sets[0].Digest() {
				t.Fatalf("digests differ after all sets exchanged items")
			}
		}
	})
}
