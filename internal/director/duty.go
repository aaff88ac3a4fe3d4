package director

import (
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/event"
)

// responsible lists the failure domains whose groups this node manages now. A
// node that manages one keeps it; else it falls to the first live one.
func (s *state) responsible(now time.Time) []string {
	if s.d.stopping.Load() || !s.settled(now) {
		return nil
	}
	claimed, byDomain := s.othersClaims(now)
	var out []string
	for _, domain := range sorted(s.domains()) {
		nodes := byDomain[domain]
		if domain == s.d.config.FailureDomain {
			nodes = append(nodes, s.self())
		}
		if len(nodes) > 0 {
			s.liveAt[domain] = now
		}
		if s.mine(now, domain, claimed[domain], nodes, byDomain) {
			out = append(out, domain)
		}
	}
	return out
}

// settled reports whether this node has known the others for long enough to hear who manages what. One
// that started while the platform was away may have the list of VMs before it.
func (s *state) settled(now time.Time) bool {
	known, ok := s.d.parts.Nodes.RecordsReadAt()
	return ok && now.Sub(known) >= settleTime && now.Sub(s.started) >= settleTime
}

// othersClaims returns the live node with the lowest ID that claims each failure domain, and
// all live nodes by their failure domain.
func (s *state) othersClaims(now time.Time) (claimed map[string]string, byDomain map[string][]cluster.Record) {
	claimed, byDomain = make(map[string]string), make(map[string][]cluster.Record)
	for _, p := range s.d.parts.Nodes.Live(now) {
		if p.State.GetStopping() {
			continue
		}
		byDomain[p.FailureDomain] = append(byDomain[p.FailureDomain], p.Record)
		for _, domain := range p.State.GetDirecting() {
			if claimed[domain] == "" || p.ID < claimed[domain] {
				claimed[domain] = p.ID
			}
		}
	}
	return claimed, byDomain
}

// domains are the failure domains of this node and of all VMs that form groups. It is
// counted once for each set of entries, of which there may be a thousand.
func (s *state) domains() map[string]bool {
	if s.domainsOf != nil && s.domainsIn == s.catalog && s.domainsOf.SameVMs(s.snapshot) {
		return s.known
	}
	out := map[string]bool{s.d.config.FailureDomain: true}
	for _, vm := range s.snapshot.VMs {
		if service := s.catalog.Service(vm.Service); service != nil && service.Engine != nil {
			out[vm.FailureDomain] = true
		}
	}
	s.domainsOf, s.domainsIn, s.known = s.snapshot, s.catalog, out
	return out
}

// mine decides whether this node manages a failure domain. nodes are the live
// nodes there.
func (s *state) mine(now time.Time, domain, claimedBy string, nodes []cluster.Record, byDomain map[string][]cluster.Record) bool {
	local := domain == s.d.config.FailureDomain
	if s.claims(domain) {
		return (claimedBy == "" || s.d.config.NodeID < claimedBy) && (local || len(nodes) == 0)
	}
	if claimedBy != "" {
		return false
	}
	if len(nodes) > 0 {
		return local && s.first(nodes)
	}
	since, seen := s.liveAt[domain]
	if !seen {
		s.liveAt[domain] = now
		return false
	}
	all := []cluster.Record{s.self()}
	for _, records := range byDomain {
		all = append(all, records...)
	}
	return now.Sub(since) > foreignAfter && s.first(all)
}

// first reports whether a duty falls to this node among the nodes.
func (s *state) first(nodes []cluster.Record) bool {
	return slices.MinFunc(nodes, cluster.CompareForRole).ID == s.d.config.NodeID
}

func (s *state) self() cluster.Record {
	return cluster.Record{ID: s.d.config.NodeID, Processor: s.d.config.Processor}
}

func (s *state) claims(domain string) bool {
	for _, d := range s.d.Directing() {
		if d == domain {
			return true
		}
	}
	return false
}

// claim publishes what this node manages and logs what has changed.
func (s *state) claim(domains []string) {
	old := s.d.Directing()
	changed := len(old) != len(domains)
	for _, domain := range domains {
		if !s.claims(domain) {
			changed = true
			s.d.parts.Log.Emit(event.DutyTaken).Str("failure_domain", domain).Uint64("revision", s.snapshot.Revision).Send()
		}
	}
	if !changed {
		return
	}
	for _, domain := range old {
		if !slices.Contains(domains, domain) {
			s.d.parts.Log.Emit(event.DutyLeft).Str("failure_domain", domain).Send()
		}
	}
	s.d.directing.Store(&domains)
	s.d.parts.Nodes.TriggerExchange()
}
