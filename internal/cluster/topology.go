package cluster

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// flatNodes is up to how many nodes each exchanges with every other one. With
	// more, a node exchanges with a hub of its failure domain, and hubs among each
	// other: what one of 295 nodes knows then reaches all in 0.73 s and no node begins
	// more than 30 exchanges a second (virtual time, TestWordOfOneNodeReachesAll);
	// exchanges of all with all would come every 9 s by their interval.
	flatNodes = 12
	// hubsPerDomain is how many hubs each failure domain has, so that one that is
	// lost costs half of its members one failed exchange.
	hubsPerDomain = 2
	// membersPerHub is up to how many members a hub hears at the set interval: 32
	// at 300 ms are about a hundred exchanges a second; their cost is not measured.
	membersPerHub = 32
	// hubCandidates is among how many nodes of a failure domain its hubs are chosen,
	// so that a node that was cut off itself does not look for one among all others.
	hubCandidates = 4
)

// topology is what the choice of the nodes to exchange with follows from. Its
// methods are pure.
type topology struct {
	self Record
	// others are the other nodes that may be in use.
	others []Record
	// nodes is how many nodes any node knows: all must choose alike between exchanging
	// with all and having hubs.
	nodes int
	// shunned holds those that failed an exchange lately or are stopping, gone those
	// that have failed for long.
	shunned map[string]bool
	gone    map[string]bool
	// hears is true while this node sums up the states of members.
	hears bool
	// failureDomains are those of all nodes, local the number of nodes in this one's;
	// count fills both in.
	failureDomains []string
	local          int
}

// flat reports whether each node exchanges with every other one.
func (t topology) flat() bool { return max(len(t.others)+1, t.nodes) <= flatNodes }

// before orders nodes by their fitness as hubs: the strongest first. Of equals the
// last goes first, since duties fall to the first.
func before(a, b Record) int {
	if c := cmp.Compare(b.Processor, a.Processor); c != 0 {
		return c
	}
	return strings.Compare(b.ID, a.ID)
}

// FirstForDuty orders nodes by who takes a duty of which there is one in a failure domain: the
// strongest first. Of equals the first by ID goes first, hubs are the last.
func FirstForDuty(a, b Record) int {
	if c := cmp.Compare(b.Processor, a.Processor); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

// hubs lists the hubs of a failure domain, the fittest first. Where all candidates
// failed, it may be this node that is cut off: the fittest are tried again.
func (t topology) hubs(domain string) []Record {
	all := t.candidates(domain)
	fit := slices.DeleteFunc(slices.Clone(all), func(r Record) bool { return t.shunned[r.ID] })
	if len(fit) == 0 {
		fit = all
	}
	return fit[:min(len(fit), hubsPerDomain)]
}

func (t topology) candidates(domain string) []Record {
	all := t.domain(domain)
	return all[:min(len(all), hubCandidates)]
}

// domain are the nodes of a failure domain, the fittest first.
func (t topology) domain(domain string) []Record {
	var out []Record
	if t.self.FailureDomain == domain {
		out = append(out, t.self)
	}
	for _, r := range t.others {
		if r.FailureDomain == domain && !t.gone[r.ID] {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, before)
	return out
}

// isHub reports whether this node sums up others' states.
func (t topology) isHub() bool {
	return t.hears || slices.Contains(t.hubs(t.self.FailureDomain), t.self)
}

// partners lists the nodes that this one exchanges with.
func (t topology) partners() []Record {
	if t.flat() {
		return t.others
	}
	if !t.isHub() {
		return []Record{t.hubOf()}
	}
	var out []Record
	for _, domain := range t.failureDomains {
		for _, r := range t.hubs(domain) {
			if r.ID != t.self.ID {
				out = append(out, r)
			}
		}
	}
	return out
}

// hubOf is the hub of this node as a member: members spread over the hubs by
// rendezvous hashing.
func (t topology) hubOf() Record {
	hubs := t.hubs(t.self.FailureDomain)
	return slices.MaxFunc(hubs, func(a, b Record) int {
		return cmp.Compare(xxhash.Sum64String(a.ID+"/"+t.self.ID), xxhash.Sum64String(b.ID+"/"+t.self.ID))
	})
}

// count fills in what the other methods need of all nodes.
func (t *topology) count() {
	t.local = 1
	t.failureDomains = []string{t.self.FailureDomain}
	for _, r := range t.others {
		t.failureDomains = append(t.failureDomains, r.FailureDomain)
		if r.FailureDomain == t.self.FailureDomain {
			t.local++
		}
	}
	slices.Sort(t.failureDomains)
	t.failureDomains = slices.Compact(t.failureDomains)
}
