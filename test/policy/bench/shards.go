package bench

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ShardCase is a service some of whose callers hurt it: each request of the
// harmful team takes its upstream down for a while. The idea of giving each
// team its own few upstreams, so that few teams share all of them, is shuffle
// sharding, PAPER-case-study-global-fault-1be0.md.
type ShardCase struct {
	Upstreams int
	// PerTeam is how many upstreams a team may use; all of them without sharding.
	PerTeam int
	Teams   int
	// Down is how many seconds an upstream is away after a harmful request.
	Down int
	// Harmful is the harmful requests per second.
	Harmful float64
	// Load is the good requests per second as a part of the whole capacity;
	// two large teams have 30 % of it each.
	Load float64
}

// ShardResult says how the other teams fared.
type ShardResult struct {
	// Served is the part of the good requests that found room.
	Served float64
	// WorstTeam is the least such part over the good teams.
	WorstTeam float64
}

const (
	shardSeconds  = 600
	slotsPerShard = 10
	largeTeams    = 2
	largeShare    = 0.3
)

// shardOf returns the team's upstreams by rendezvous hashing.
func shardOf(team, upstreams, perTeam int) []int {
	all := make([]int, upstreams)
	for i := range all {
		all[i] = i
	}
	score := func(i int) uint64 { return xxhash.Sum64String(entryName(team) + "/" + entryName(i)) }
	sort.Slice(all, func(i, j int) bool { return score(all[i]) > score(all[j]) })
	return all[:perTeam]
}

// Shards runs a case in steps of a second: each upstream serves ten requests a
// second while it is up.
func Shards(c ShardCase, seed uint64) ShardResult {
	random := rand.New(rand.NewPCG(seed, seed))
	downUntil := make([]int, c.Upstreams)
	shards := make([][]int, c.Teams+1)
	for team := range shards {
		shards[team] = shardOf(team, c.Upstreams, c.PerTeam)
	}
	asked := make([]int, c.Teams)
	served := make([]int, c.Teams)
	for now := range shardSeconds {
		if random.Float64() < c.Harmful {
			hurt(shards[c.Teams], downUntil, now, c.Down, random)
		}
		room := make([]int, c.Upstreams)
		for i := range room {
			if downUntil[i] <= now {
				room[i] = slotsPerShard
			}
		}
		for _, team := range random.Perm(c.Teams) {
			n := c.demand(team)
			asked[team] += n
			served[team] += take(shards[team], room, n)
		}
	}
	out := ShardResult{WorstTeam: 1}
	totalAsked, totalServed := 0, 0
	for team := range asked {
		totalAsked += asked[team]
		totalServed += served[team]
		out.WorstTeam = min(out.WorstTeam, float64(served[team])/float64(max(asked[team], 1)))
	}
	out.Served = float64(totalServed) / float64(totalAsked)
	return out
}

func (c ShardCase) demand(team int) int {
	all := c.Load * float64(c.Upstreams*slotsPerShard)
	if team < largeTeams {
		return int(all * largeShare)
	}
	return max(int(all*(1-largeTeams*largeShare)/float64(c.Teams-largeTeams)), 1)
}

// hurt takes one upstream of the harmful team's shard down, if one is up.
func hurt(shard, downUntil []int, now, down int, random *rand.Rand) {
	for _, i := range random.Perm(len(shard)) {
		if downUntil[shard[i]] <= now {
			downUntil[shard[i]] = now + down
			return
		}
	}
}

// take serves up to n requests from the shard's upstreams, the emptiest first.
func take(shard, room []int, n int) int {
	served := 0
	for served < n {
		best := -1
		for _, i := range shard {
			if best < 0 || room[i] > room[best] {
				best = i
			}
		}
		if room[best] == 0 {
			break
		}
		room[best]--
		served++
	}
	return served
}
