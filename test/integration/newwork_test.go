package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/routing"
	"github.com/marbleroad/marbleroad/internal/view"
)

// requestsPerNode is the number of requests that a round sends to each node. An entry that still uses both VMs sends each
// request to the VM with a probability of 1/2, so a round misses this entry once in 2^requestsPerNode rounds. Ten
// requests were too few: about one run in a hundred has such a round.
const requestsPerNode = 64

// workRound is the outcome of one round of requests to a service of which a VM should get no new requests.
type workRound struct {
	// served is true if every request got status 200. A round in which a request is not served shows nothing.
	served bool
	// received is the number of the requests that the VM got.
	received int
	// seen describes, by node, the statuses and how many of the requests the VM got.
	seen string
}

// sendRound sends requestsPerNode requests to each node in turn. send returns the status of one request to a node, and
// total the number of requests that the VM got so far.
func sendRound(nodes []string, send func(node string) int, total func() int) workRound {
	before, round := total(), workRound{served: true}
	for _, id := range nodes {
		statuses, atNode := make(map[int]int), total()
		for range requestsPerNode {
			status := send(id)
			statuses[status]++
			round.served = round.served && status == http.StatusOK
		}
		round.seen += fmt.Sprintf(" %s: statuses %v, %d at the VM;", id, statuses, total()-atNode)
	}
	round.received = total() - before
	return round
}

// stopped reports whether the round shows that no node sends new requests to the VM.
func (r workRound) stopped() bool { return r.served && r.received == 0 }

// checkNoNewWork waits until the VM gets no new requests, then checks that it stays so and that the other VM
// serves. how names the way in which the VM's leaving was announced.
func (s *deployment) checkNoNewWork(v *vm, how string) {
	s.t.Helper()
	byID := make(map[string]*node)
	var ids []string
	for _, nd := range s.nodes {
		byID[nd.id] = nd
		ids = append(ids, nd.id)
	}
	send := func(id string) int {
		return s.call(byID[id], request{path: "/services/tiles/x", method: "GET"}).status
	}
	newRound := func() workRound { return sendRound(ids, send, v.plain.Total) }
	s.eventually("no new work after "+how, func() bool { return newRound().stopped() })
	for range 3 {
		if round := newRound(); !round.stopped() {
			s.t.Errorf("%s: the VM got new requests after they had stopped:%s", how, round.seen)
		}
	}
	s.eventually("the other VM serves after "+how, func() bool { return send(ids[0]) == http.StatusOK })
}

// TestRoundSeesEntryThatUsesVM guards against a round that misses a VM by chance. Of two idle upstreams the
// routing policy picks one at random for each request, so an entry that uses both may send several requests in a row
// to the same one. The other entry, which knows that the VM is leaving, sends it none.
func TestRoundSeesEntryThatUsesVM(t *testing.T) {
	const rounds = 4096
	now := time.Unix(1e9, 0)
	upstreams := []view.Upstream{
		{ID: "obuda-tiles-1", Slots: 64, EligibleUntil: now.Add(time.Minute)},
		{ID: "obuda-tiles-2", Slots: 64, EligibleUntil: now.Add(time.Minute)},
	}
	known := map[string][]view.Upstream{"obuda-1": upstreams[1:], "obuda-2": upstreams}
	for seed := range uint64(rounds) {
		random := rand.New(rand.NewPCG(1, seed))
		tracker := routing.NewTracker()
		received := 0
		send := func(id string) int {
			candidates := tracker.Candidates(now, known[id], nil)
			chosen := routing.DefaultPolicy(time.Second).Choose(routing.Request{Now: now, Affinity: random.Uint64()}, candidates)
			if candidates[chosen].ID == upstreams[0].ID {
				received++
			}
			return http.StatusOK
		}
		round := sendRound([]string{"obuda-1", "obuda-2"}, send, func() int { return received })
		if round.stopped() {
			t.Errorf("seed %d: an entry uses the VM, but the round shows that none does:%s", seed, round.seen)
		}
	}
}
