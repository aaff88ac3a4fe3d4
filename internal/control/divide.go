package control

import (
	"strings"

	"github.com/marbleroad/marbleroad/internal/node"
	"github.com/marbleroad/marbleroad/internal/view"
)

// divideProbes finds the VMs that this process probes first, and as a backup.
// It does so anew only when the VMs or the live nodes have changed: at the
// planned size the hashing would cost more than all the rest of a tick.
func (s *state) divideProbes(snapshot *view.Snapshot, live []string) {
	now := probeDivision{live: strings.Join(live, " "), members: s.membersVersion()}
	if now == s.division {
		return
	}
	s.division = now
	s.probes, s.backups = nil, nil
	for _, m := range snapshot.Members {
		for i, id := range hint("probe/"+m.VM, live, probersPerVM) {
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

func (s *state) membersVersion() uint64 {
	it, _ := s.k.items.Get(view.MembersKey(s.k.config.FailureDomain))
	return it.Version
}

// exchangePeers lists all nodes of this failure domain, and for each other
// failure domain one node if that falls to this process.
func (s *state) exchangePeers(live []string) []node.Record {
	s.divideDomains(live)
	out := append([]node.Record(nil), s.neighbours...)
	for _, recs := range s.delegated {
		out = append(out, s.delegate(recs))
	}
	return out
}

// divideDomains finds the nodes of this failure domain, and the other failure
// domains whose delegate this process is; anew only after a change.
func (s *state) divideDomains(live []string) {
	now := domainDivision{live: strings.Join(live, " "), nodes: len(s.nodes)}
	if len(s.nodes) > 0 {
		now.first = &s.nodes[0]
	}
	if now == s.domainsBy {
		return
	}
	s.domainsBy = now
	s.neighbours = nil
	s.delegated = make(map[string][]node.Record)
	for _, rec := range s.nodes {
		switch {
		case rec.ID == s.k.config.NodeID:
		case rec.FailureDomain == s.k.config.FailureDomain:
			s.neighbours = append(s.neighbours, rec)
		default:
			s.delegated[rec.FailureDomain] = append(s.delegated[rec.FailureDomain], rec)
		}
	}
	for domain := range s.delegated {
		if !hinted("delegate/"+domain, live, 1, s.k.config.NodeID) {
			delete(s.delegated, domain)
		}
	}
}

// delegate picks the node to ask in another failure domain: one that answers,
// else the next one each few seconds.
func (s *state) delegate(recs []node.Record) node.Record {
	for _, rec := range recs {
		if p := s.peers[rec.ID]; p != nil && !p.lost {
			return rec
		}
	}
	turn := int(s.lastTick.Unix()/int64(s.leases.peer.Seconds())) % len(recs)
	return recs[max(turn, 0)]
}
