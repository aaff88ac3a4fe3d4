package bench

import (
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// ShardCase is a service with a harmful team, each of whose requests takes its
// upstream down for a while. Shuffle sharding gives each team a small set of
// upstreams, so that few teams share all of theirs with the harmful one; see
// PAPER-case-study-global-fault-1be0.md.
type ShardCase struct {
	Upstreams int
	// PerTeam is the number of upstreams that a team may use; all of them without
	// sharding.
	PerTeam int
	Teams   int
	// DownSeconds is how long an upstream is down after a harmful request.
	DownSeconds int
	// Harmful is the number of harmful requests per second.
	Harmful float64
	// Load is the rate of the other teams' requests as a fraction of the total
	// capacity; two large teams send 30 % of that load each.
	Load float64
}

// ShardResult holds which fraction of the other teams' requests was served.
type ShardResult struct {
	// Served is the fraction of all their requests that found capacity.
	Served float64
	// WorstTeam is the minimum of that fraction over those teams.
	WorstTeam float64
}

const (
	shardSeconds = 600
	// capacityPerUpstream is the number of requests per second that an upstream serves.
	capacityPerUpstream = 10
	// Each of the largeTeams sends largeShare of the load, the other teams the rest in equal parts.
	largeTeams = 2
	largeShare = 0.3
)

// shardOf returns the team's upstreams by rendezvous hashing.
func shardOf(team, upstreams, perTeam int) []int {
	all := make([]int, upstreams)
	for i := range all {
		all[i] = i
	}
	score := func(i int) uint64 { return xxhash.Sum64String(indexName(team) + "/" + indexName(i)) }
	sort.Slice(all, func(i, j int) bool { return score(all[i]) > score(all[j]) })
	return all[:perTeam]
}

// Shards simulates a case in steps of one second: each upstream serves
// capacityPerUpstream requests while it is up.
func Shards(c ShardCase, seed uint64) ShardResult {
	random := rand.New(rand.NewPCG(seed, seed))
	downUntil := make([]int, c.Upstreams)
	shards := make([][]int, c.Teams+1)
	for team := range shards {
		shards[team] = shardOf(team, c.Upstreams, c.PerTeam)
	}
	requested := make([]int, c.Teams)
	served := make([]int, c.Teams)
	for now := range shardSeconds {
		if random.Float64() < c.Harmful {
			takeDown(shards[c.Teams], downUntil, now, c.DownSeconds, random)
		}
		capacity := make([]int, c.Upstreams)
		for i := range capacity {
			if downUntil[i] <= now {
				capacity[i] = capacityPerUpstream
			}
		}
		for _, team := range random.Perm(c.Teams) {
			n := c.demand(team)
			requested[team] += n
			served[team] += serveFrom(shards[team], capacity, n)
		}
	}
	out := ShardResult{WorstTeam: 1}
	totalRequested, totalServed := 0, 0
	for team := range requested {
		totalRequested += requested[team]
		totalServed += served[team]
		out.WorstTeam = min(out.WorstTeam, float64(served[team])/float64(max(requested[team], 1)))
	}
	out.Served = float64(totalServed) / float64(totalRequested)
	return out
}

func (c ShardCase) demand(team int) int {
	all := c.Load * float64(c.Upstreams*capacityPerUpstream)
	if team < largeTeams {
		return int(all * largeShare)
	}
	return max(int(all*(1-largeTeams*largeShare)/float64(c.Teams-largeTeams)), 1)
}

// takeDown takes one upstream of the harmful team's shard down, if one is up.
func takeDown(shard, downUntil []int, now, down int, random *rand.Rand) {
	for _, i := range random.Perm(len(shard)) {
		if downUntil[shard[i]] <= now {
			downUntil[shard[i]] = now + down
			return
		}
	}
}

// serveFrom serves up to n requests from the shard's upstreams, those with the
// most free capacity first, and returns how many were served.
func serveFrom(shard, capacity []int, n int) int {
	served := 0
	for served < n {
		mostFree := -1
		for _, i := range shard {
			if mostFree < 0 || capacity[i] > capacity[mostFree] {
				mostFree = i
			}
		}
		if capacity[mostFree] == 0 {
			break
		}
		capacity[mostFree]--
		served++
	}
	return served
}
