package feed

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/cluster"
)

// Knowledge returns what this node knows of the platform's state, for the states that nodes exchange.
func (s *Server) Knowledge(now time.Time) *marbleroadv1.PlatformKnowledge {
	return &marbleroadv1.PlatformKnowledge{
		Version:       s.Cache.Version(),
		VersionReadMs: reportedAge(now, s.Cache.ReadAt()),
		ListReadMs:    reportedAge(now, s.Directory.ReadAt()),
	}
}

// reportedAge returns the time since a call was sent, in milliseconds; nil after a minute, and if there was no call.
func reportedAge(now, sentAt time.Time) *uint32 {
	const maxAge = time.Minute
	age := now.Sub(sentAt)
	if sentAt.IsZero() || age > maxAge {
		return nil
	}
	ms := uint32(max(age, 0)/time.Millisecond) + 1
	return &ms
}

// newestVersion returns the newest version of the configuration that a live node has; 0 if none is known.
func (l *Leader) newestVersion(now time.Time) uint64 {
	newest := uint64(0)
	for _, p := range l.nodes.Live(now) {
		newest = max(newest, p.State.GetPlatform().GetVersion())
	}
	return newest
}

// nodesWith returns the live nodes whose knowledge of the platform satisfies the condition, in the order in which this
// node asks them: those of its failure domain first, and otherwise each node has an order of its own. Nodes that failed
// this one recently are left out. has is called with the knowledge and the age of the state that reported it.
func (l *Leader) nodesWith(now time.Time, has func(k *marbleroadv1.PlatformKnowledge, age time.Duration) bool) []cluster.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []cluster.Record
	for _, p := range l.nodes.Live(now) {
		if p.State.GetStopping() || now.Before(l.failedUntil[p.ID]) || !has(p.State.GetPlatform(), now.Sub(p.LastSeen)) {
			continue
		}
		out = append(out, p.Record)
	}
	order := func(r cluster.Record) uint64 { return xxhash.Sum64String(r.ID + "/" + l.self.ID) }
	slices.SortFunc(out, func(a, b cluster.Record) int {
		switch aLocal, bLocal := a.FailureDomain == l.self.FailureDomain, b.FailureDomain == l.self.FailureDomain; {
		case aLocal && !bLocal, aLocal == bLocal && order(a) < order(b):
			return -1
		}
		return 1
	})
	return out
}

// versionRead and listRead return how long ago a node reported to have read the configuration and the list, in
// milliseconds; nil if it did not.
func versionRead(k *marbleroadv1.PlatformKnowledge) *uint32 {
	if k == nil {
		return nil
	}
	return k.VersionReadMs
}

func listRead(k *marbleroadv1.PlatformKnowledge) *uint32 {
	if k == nil {
		return nil
	}
	return k.ListReadMs
}
