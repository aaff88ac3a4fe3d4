package cluster

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFlatNodes is the largest number of nodes that all exchange with each other. With more, a
	// node exchanges with a hub of its failure domain, and the hubs with each other. The state of
	// one of 295 nodes then reaches all in 0.73 s and no node makes more than 30 exchanges a
	// second; in a full mesh each pair would exchange every 9 s.
	maxFlatNodes = 12
	// hubsPerDomain is the number of hubs of each failure domain. With two, the loss of one costs
	// half of its members one failed exchange.
	hubsPerDomain = 2
	// baseMembersPerHub is the largest number of members that a hub serves at the configured
	// interval: 32 members at 300 ms make about a hundred exchanges a second. With more, the
	// members' interval grows in proportion.
	baseMembersPerHub = 32
	// maxHubCandidates is the number of nodes of a failure domain from which its hubs are chosen,
	// so that a node that is itself partitioned does not try all others.
	maxHubCandidates = 4
)

// topology holds the input for the choice of the nodes to exchange with. Its methods are pure.
type topology struct {
	self Record
	// others are the other known nodes, reachable or not.
	others []Record
	// maxKnownNodes is the largest number of nodes that any node counts: all nodes must make the
	// same choice between a full mesh and hubs.
	maxKnownNodes int
	// excluded holds the nodes that recently failed an exchange or are stopping, unreachable those
	// that have failed for a long time.
	excluded    map[string]bool
	unreachable map[string]bool
	// hasMembers reports whether this node aggregates the states of members.
	hasMembers bool
	// failureDomains are the failure domains of all nodes, localNodes is the number of nodes in
	// this one's; countNodes sets both.
	failureDomains []string
	localNodes     int
}

// flat reports whether each node exchanges with every other one.
func (t topology) flat() bool { return max(len(t.others)+1, t.maxKnownNodes) <= maxFlatNodes }

// compareForHub orders nodes by preference as hubs: the largest processor share first. Among equals
// the last ID comes first, since roles fall to the first (see CompareForRole).
func compareForHub(a, b Record) int {
	if c := cmp.Compare(b.Processor, a.Processor); c != 0 {
		return c
	}
	return strings.Compare(b.ID, a.ID)
}

// CompareForRole orders nodes by preference for a role that one node of a failure domain has: the
// largest processor share first. Among equals the first ID comes first, so that hubs come last.
func CompareForRole(a, b Record) int {
	if c := cmp.Compare(b.Processor, a.Processor); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

// hubs returns the hubs of a failure domain, the preferred first. If all candidates failed, this
// node may itself be partitioned, and the preferred candidates are tried again.
func (t topology) hubs(domain string) []Record {
	all := t.candidates(domain)
	usable := slices.DeleteFunc(slices.Clone(all), func(r Record) bool { return t.excluded[r.ID] })
	if len(usable) == 0 {
		usable = all
	}
	return usable[:min(len(usable), hubsPerDomain)]
}

func (t topology) candidates(domain string) []Record {
	all := t.domainNodes(domain)
	return all[:min(len(all), maxHubCandidates)]
}

// domainNodes returns the nodes of a failure domain, the preferred hubs first, without the
// unreachable ones.
func (t topology) domainNodes(domain string) []Record {
	var out []Record
	if t.self.FailureDomain == domain {
		out = append(out, t.self)
	}
	for _, r := range t.others {
		if r.FailureDomain == domain && !t.unreachable[r.ID] {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compareForHub)
	return out
}

// isHub reports whether this node aggregates other nodes' states.
func (t topology) isHub() bool {
	return t.hasMembers || slices.Contains(t.hubs(t.self.FailureDomain), t.self)
}

// partners returns the nodes that this one exchanges with.
func (t topology) partners() []Record {
	if t.flat() {
		return t.others
	}
	if !t.isHub() {
		return []Record{t.assignedHub()}
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

// assignedHub returns the hub of this node as a member: members are spread over the hubs by
// rendezvous hashing.
func (t topology) assignedHub() Record {
	hubs := t.hubs(t.self.FailureDomain)
	return slices.MaxFunc(hubs, func(a, b Record) int {
		return cmp.Compare(xxhash.Sum64String(a.ID+"/"+t.self.ID), xxhash.Sum64String(b.ID+"/"+t.self.ID))
	})
}

// countNodes sets failureDomains and localNodes.
func (t *topology) countNodes() {
	t.localNodes = 1
	t.failureDomains = []string{t.self.FailureDomain}
	for _, r := range t.others {
		t.failureDomains = append(t.failureDomains, r.FailureDomain)
		if r.FailureDomain == t.self.FailureDomain {
			t.localNodes++
		}
	}
	slices.Sort(t.failureDomains)
	t.failureDomains = slices.Compact(t.failureDomains)
}
