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
	// timeSmoothing is the weight of the newest time in the average.
	timeSmoothing = 0.1
	// timesToJudge is how many requests an upstream must have finished before
	// its time is compared with its peers'.
	timesToJudge = 8
	// failuresToEject is how many failures in a row eject an upstream.
	failuresToEject = 3
	// slowFactor is how many times the median marks an upstream as slow.
	slowFactor = 3
	// ejectionBase is the first ejection's length; it doubles each time.
	ejectionBase = 2 * time.Second
	// ejectionMax bounds an ejection's length.
	ejectionMax = 60 * time.Second
	// maxEjectedShare is the part of a service's upstreams that may be out at once.
	maxEjectedShare = 0.5
	// prefixMemory is how many prompt blocks are remembered.
	prefixMemory = 8192
	// blockBytes is the length of a prompt block for prefix matching.
	blockBytes = 256
	// maxBlocks bounds the blocks of one prompt that are looked at.
	maxBlocks = 16
	// retryShare is the part of the traffic that may be retries.
	retryShare = 0.1
	// retryReserve is how many retries may come at once.
	retryReserve = 10
)

type stats struct {
	own int
	// took is the smoothed time of a request, times how many it is made of.
	took         time.Duration
	times        int
	failures     int
	ejections    int
	ejectedUntil time.Time
	restsUntil   time.Time
}

// Tracker learns from outcomes. It is not safe for concurrent use; its owner
// holds a lock.
type Tracker struct {
	upstreams map[string]*stats
	prefixes  *lru.Cache[uint64, string]
	retries   float64
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	prefixes, _ := lru.New[uint64, string](prefixMemory)
	return &Tracker{
		upstreams: make(map[string]*stats),
		prefixes:  prefixes,
		retries:   retryReserve,
	}
}

// Blocks hashes a prompt's blocks, each together with all before it.
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

// Candidates joins the upstreams with what was learned of them.
func (t *Tracker) Candidates(now time.Time, ups []view.Upstream, blocks []uint64) []Candidate {
	out := make([]Candidate, len(ups))
	median := t.median(ids(ups))
	for i, u := range ups {
		s := t.stats(u.ID)
		out[i] = Candidate{
			Upstream:  u,
			Own:       s.own,
			Slowness:  s.slowness(median),
			Ejected:   now.Before(s.ejectedUntil),
			Resting:   now.Before(s.restsUntil),
			HasPrefix: t.cached(u.ID, blocks),
		}
	}
	return out
}

// cached estimates the part of the prompt that the upstream has cached.
func (t *Tracker) cached(id string, blocks []uint64) float64 {
	for i := len(blocks) - 1; i >= 0; i-- {
		owner, ok := t.prefixes.Peek(blocks[i])
		if ok && owner == id {
			return float64(i+1) / float64(len(blocks))
		}
	}
	return 0
}

// Begin notes that a request goes to the upstream.
func (t *Tracker) Begin(id string, blocks []uint64) {
	t.stats(id).own++
	t.retries = min(t.retries+retryShare, retryReserve)
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

func (s *stats) slowness(median time.Duration) float64 {
	if median == 0 || s.times < timesToJudge {
		return 0
	}
	return float64(s.took) / float64(median)
}

// median is the median time of the upstreams that can be judged; zero when
// fewer than three can.
func (t *Tracker) median(peers []string) time.Duration {
	const fewest = 3
	var known []time.Duration
	for _, p := range peers {
		if s := t.stats(p); s.times >= timesToJudge {
			known = append(known, s.took)
		}
	}
	if len(known) < fewest {
		return 0
	}
	sort.Slice(known, func(i, j int) bool { return known[i] < known[j] })
	return known[(len(known)-1)/2]
}

// Took notes how long a whole request took at the upstream.
func (t *Tracker) Took(id string, took time.Duration) {
	s := t.stats(id)
	s.times++
	// The first few count equally, so that one odd request says little.
	weight := max(timeSmoothing, 1/float64(s.times))
	s.took += time.Duration(weight * float64(took-s.took))
}

// End notes a request's end. It reports whether the upstream is now ejected;
// peers are the IDs of all upstreams of the service.
func (t *Tracker) End(now time.Time, id string, failed bool, peers []string) bool {
	s := t.stats(id)
	s.own = max(s.own-1, 0)
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

// ejectSlow ejects an upstream that takes several times as long as its peers.
func (t *Tracker) ejectSlow(now time.Time, id string, peers []string) bool {
	if t.stats(id).slowness(t.median(peers)) < slowFactor {
		return false
	}
	return t.eject(now, id, peers)
}

func (t *Tracker) eject(now time.Time, id string, peers []string) bool {
	out := 0
	for _, p := range peers {
		if now.Before(t.stats(p).ejectedUntil) {
			out++
		}
	}
	s := t.stats(id)
	if now.Before(s.ejectedUntil) || float64(out+1) > maxEjectedShare*float64(len(peers)) {
		return false
	}
	length := min(ejectionBase<<min(s.ejections, 5), ejectionMax)
	s.ejections++
	s.failures = 0
	// The next try after the ejection starts without the old bad average.
	s.took, s.times = 0, 0
	s.ejectedUntil = now.Add(length)
	return true
}

// Rest notes that an upstream wants no request of this entry for so long.
func (t *Tracker) Rest(now time.Time, id string, rest time.Duration) {
	s := t.stats(id)
	if until := now.Add(min(rest, backpressure.MaxBackoff)); until.After(s.restsUntil) {
		s.restsUntil = until
	}
}

// TakeRetry reports whether the retry budget allows one more retry.
func (t *Tracker) TakeRetry() bool {
	if t.retries < 1 {
		return false
	}
	t.retries--
	return true
}

// Own returns this entry's requests in flight at the upstream.
func (t *Tracker) Own(id string) int { return t.stats(id).own }

func (t *Tracker) stats(id string) *stats {
	s := t.upstreams[id]
	if s == nil {
		s = &stats{}
		t.upstreams[id] = s
	}
	return s
}

// Keep forgets all upstreams but those named, so that memory follows the fleet.
func (t *Tracker) Keep(ids map[string]bool) {
	for id, s := range t.upstreams {
		if !ids[id] && s.own == 0 {
			delete(t.upstreams, id)
		}
	}
}
