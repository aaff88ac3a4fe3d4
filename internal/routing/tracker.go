package routing

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/view"
)

const (
	// durationSmoothing is the weight of the newest request duration in the average.
	durationSmoothing = 0.1
	// minDurations is how many requests an upstream must have finished before
	// its average duration is compared with its peers'.
	minDurations = 8
	// failuresToEject is how many consecutive failures eject an upstream.
	failuresToEject = 3
	// slowFactor is the multiple of the median duration from which on an upstream
	// is ejected as slow.
	slowFactor = 3
	// ejectionBase is the duration of the first ejection; it doubles each time.
	ejectionBase = 2 * time.Second
	// ejectionMax bounds the duration of an ejection.
	ejectionMax = 60 * time.Second
	// maxEjectedShare is the maximum fraction of a service's upstreams that may be
	// ejected at once.
	maxEjectedShare = 0.5
	// maxPrefixes is the capacity of the cache of prompt blocks.
	maxPrefixes = 8192
	// blockBytes is the length of a prompt block for prefix matching.
	blockBytes = 256
	// maxBlocks is the maximum number of blocks hashed per prompt.
	maxBlocks = 16
	// retryShare is the number of retries that each request sent to an upstream adds to
	// the retry budget, so it is the fraction of the traffic that may be retries.
	retryShare = 0.1
	// retryBurst is the capacity of the retry budget: the maximum number of retries at once.
	retryBurst = 10
)

// stats holds what was learned of one upstream.
type stats struct {
	inFlight int
	// duration is the smoothed duration of a request, durations the number of
	// requests that it was computed from.
	duration  time.Duration
	durations int
	// failures counts consecutive failures.
	failures     int
	ejections    int
	ejectedUntil time.Time
	backoffUntil time.Time
}

// Tracker collects statistics of one service's upstreams from the outcomes of requests,
// and holds this entry's budget for retries of the service's requests. It is not safe
// for concurrent use; its owner holds a lock.
type Tracker struct {
	upstreams map[string]*stats
	// prefixes maps the hash of a prompt block to the upstream that it was last sent to.
	prefixes *lru.Cache[uint64, string]
	// retryTokens is the number of retries that the retry budget allows now. Sent requests
	// add to it, and each retry takes one.
	retryTokens float64
}

// NewTracker returns a tracker without statistics and with a full retry budget.
func NewTracker() *Tracker {
	prefixes, _ := lru.New[uint64, string](maxPrefixes)
	return &Tracker{
		upstreams:   make(map[string]*stats),
		prefixes:    prefixes,
		retryTokens: retryBurst,
	}
}

// Blocks returns one hash for each block of a prompt, up to maxBlocks. Each hash also covers
// all blocks before its own, so two prompts share a hash only if they have that prefix in common.
func Blocks(prompt []byte) []uint64 {
	var out []uint64
	d := xxhash.New()
	for len(prompt) > 0 && len(out) < maxBlocks {
		n := min(blockBytes, len(prompt))
		_, _ = d.Write(prompt[:n])
		out = append(out, d.Sum64())
		prompt = prompt[n:]
	}
	return out
}

// Candidates combines the upstreams with their statistics.
func (t *Tracker) Candidates(now time.Time, ups []view.Upstream, blocks []uint64) []Candidate {
	out := make([]Candidate, len(ups))
	median := t.median(ids(ups))
	for i, u := range ups {
		s := t.statsOf(u.ID)
		out[i] = Candidate{
			Upstream:      u,
			LocalInFlight: s.inFlight,
			Slowness:      s.slowness(median),
			Ejected:       now.Before(s.ejectedUntil),
			BackingOff:    now.Before(s.backoffUntil),
			CachedShare:   t.cachedShare(u.ID, blocks),
		}
	}
	return out
}

// cachedShare estimates the fraction of the prompt that the upstream has cached.
func (t *Tracker) cachedShare(id string, blocks []uint64) float64 {
	for i := len(blocks) - 1; i >= 0; i-- {
		owner, ok := t.prefixes.Peek(blocks[i])
		if ok && owner == id {
			return float64(i+1) / float64(len(blocks))
		}
	}
	return 0
}

// RecordStart records that a request is sent to the upstream.
func (t *Tracker) RecordStart(id string, blocks []uint64) {
	t.statsOf(id).inFlight++
	t.retryTokens = min(t.retryTokens+retryShare, retryBurst)
	for _, b := range blocks {
		t.prefixes.Add(b, id)
	}
}

func ids(ups []view.Upstream) []string {
	out := make([]string, len(ups))
	for i, u := range ups {
		out[i] = u.ID
	}
	return out
}

// slowness returns the upstream's duration as a multiple of the median; zero when unknown.
func (s *stats) slowness(median time.Duration) float64 {
	if median == 0 || s.durations < minDurations {
		return 0
	}
	return float64(s.duration) / float64(median)
}

// median returns the median duration over the upstreams that have finished enough
// requests; zero when there are fewer than three of them.
func (t *Tracker) median(peers []string) time.Duration {
	const minUpstreams = 3
	var durations []time.Duration
	for _, p := range peers {
		if s := t.statsOf(p); s.durations >= minDurations {
			durations = append(durations, s.duration)
		}
	}
	if len(durations) < minUpstreams {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[(len(durations)-1)/2]
}

// RecordDuration records the duration of a complete request at the upstream.
func (t *Tracker) RecordDuration(id string, elapsed time.Duration) {
	s := t.statsOf(id)
	s.durations++
	// The first few durations count equally, so that one outlier has little weight.
	weight := max(durationSmoothing, 1/float64(s.durations))
	s.duration += time.Duration(weight * float64(elapsed-s.duration))
}

// RecordEnd records the end of a request. It reports whether this ejects the upstream;
// peers are the IDs of all upstreams of the service.
func (t *Tracker) RecordEnd(now time.Time, id string, failed bool, peers []string) bool {
	s := t.statsOf(id)
	s.inFlight = max(s.inFlight-1, 0)
	if !failed {
		s.failures = 0
		return t.ejectSlow(now, id, peers)
	}
	s.failures++
	if s.failures < failuresToEject {
		return false
	}
	return t.eject(now, id, peers)
}

// ejectSlow ejects an upstream whose requests take several times as long as its peers'.
func (t *Tracker) ejectSlow(now time.Time, id string, peers []string) bool {
	if t.statsOf(id).slowness(t.median(peers)) < slowFactor {
		return false
	}
	return t.eject(now, id, peers)
}

// eject ejects the upstream unless it is ejected already or too many of its peers are.
func (t *Tracker) eject(now time.Time, id string, peers []string) bool {
	ejected := 0
	for _, p := range peers {
		if now.Before(t.statsOf(p).ejectedUntil) {
			ejected++
		}
	}
	s := t.statsOf(id)
	if now.Before(s.ejectedUntil) || float64(ejected+1) > maxEjectedShare*float64(len(peers)) {
		return false
	}
	duration := min(ejectionBase<<min(s.ejections, 5), ejectionMax)
	s.ejections++
	s.failures = 0
	// The average starts anew after the ejection, without the durations from before it.
	s.duration, s.durations = 0, 0
	s.ejectedUntil = now.Add(duration)
	return true
}

// RecordBackoff records that an upstream asks this entry to back off for a time.
func (t *Tracker) RecordBackoff(now time.Time, id string, backoff time.Duration) {
	s := t.statsOf(id)
	if until := now.Add(min(backoff, backpressure.MaxBackoff)); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// TakeRetry takes one retry from the retry budget. It returns false if none is left.
func (t *Tracker) TakeRetry() bool {
	if t.retryTokens < 1 {
		return false
	}
	t.retryTokens--
	return true
}

// LocalInFlight returns the number of this entry's requests in flight at the upstream.
func (t *Tracker) LocalInFlight(id string) int { return t.statsOf(id).inFlight }

// statsOf returns the statistics of an upstream, which it creates on first use.
func (t *Tracker) statsOf(id string) *stats {
	s := t.upstreams[id]
	if s == nil {
		s = &stats{}
		t.upstreams[id] = s
	}
	return s
}

// Retain removes the statistics of all upstreams that are not in ids and have no request
// in flight, so that memory use follows the size of the fleet.
func (t *Tracker) Retain(ids map[string]bool) {
	for id, s := range t.upstreams {
		if !ids[id] && s.inFlight == 0 {
			delete(t.upstreams, id)
		}
	}
}
