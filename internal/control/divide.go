package control

import (
	"strings"

	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/view"
)

// assignProbes selects the VMs that this process probes as first prober and as backup. It does
// so only when the VMs or the live nodes have changed: at the planned size the hashing would
// cost more than all the rest of a tick.
func (s *state) assignProbes(snapshot *view.Snapshot, live []string) {
	inputs := probeAssignmentInputs{live: strings.Join(live, " "), members: snapshot.MembersVersion}
	if inputs == s.probeInputs {
		return
	}
	s.probeInputs = inputs
	s.probes, s.backups = nil, nil
	for _, m := range snapshot.Members {
		for i, id := range preferredOwners("probe/"+m.VM, live, probersPerVM) {
			switch {
			case id != s.k.config.NodeID:
			case i == 0:
				s.probes = append(s.probes, m)
			default:
				s.backups = append(s.backups, m)
			}
		}
	}
}

// exchangePeers lists all other nodes of this failure domain, and one node of each other
// failure domain for which this process is the delegate.
func (s *state) exchangePeers(live []string) []node.Record {
	s.assignDomains(live)
	out := append([]node.Record(nil), s.localPeers...)
	for _, recs := range s.delegatedDomains {
		out = append(out, s.chooseRemoteNode(recs))
	}
	return out
}

// assignDomains selects the other nodes of this failure domain, and the other failure domains
// for which this process is the delegate. It does so only after a change of the nodes.
func (s *state) assignDomains(live []string) {
	inputs := delegationInputs{live: strings.Join(live, " "), nodes: len(s.nodes)}
	if len(s.nodes) > 0 {
		inputs.first = &s.nodes[0]
	}
	if inputs == s.domainInputs {
		return
	}
	s.domainInputs = inputs
	s.localPeers = nil
	s.delegatedDomains = make(map[string][]node.Record)
	for _, rec := range s.nodes {
		switch {
		case rec.ID == s.k.config.NodeID:
		case rec.FailureDomain == s.k.config.FailureDomain:
			s.localPeers = append(s.localPeers, rec)
		default:
			s.delegatedDomains[rec.FailureDomain] = append(s.delegatedDomains[rec.FailureDomain], rec)
		}
	}
	for domain := range s.delegatedDomains {
		if !isPreferredOwner("delegate/"+domain, live, 1, s.k.config.NodeID) {
			delete(s.delegatedDomains, domain)
		}
	}
}

// chooseRemoteNode selects the node of another failure domain to query: the first one whose
// lease has not expired. If there is none, it selects another node after each duration of a
// peer's lease.
func (s *state) chooseRemoteNode(recs []node.Record) node.Record {
	for _, rec := range recs {
		if p := s.peers[rec.ID]; p != nil && !p.lost {
			return rec
		}
	}
	turn := int(s.lastTick.Unix()/int64(s.leases.peer.Seconds())) % len(recs)
	return recs[max(turn, 0)]
}
