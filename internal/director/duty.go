package director

import (
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
)

// managedDomains returns the failure domains whose groups this node must manage now, as
// shouldManage decides. There are none while the node stops, has not stabilized, or reaches no VM although another live
// node does.
func (s *state) managedDomains(now time.Time) []string {
	if s.d.stopping.Load() || !s.stabilized(now) {
		return nil
	}
	peers := s.peerDuties(now)
	if s.cutOff() && len(peers.byDomain) > 0 {
		return nil
	}
	var out []string
	for _, domain := range sorted(s.domains()) {
		nodes := peers.byDomain[domain]
		if domain == s.d.config.FailureDomain {
			nodes = append(nodes, s.localRecord())
		}
		if len(nodes) > 0 {
			s.domainLiveAt[domain] = now
		}
		if s.shouldManage(now, domain, nodes, peers) {
			out = append(out, domain)
		}
	}
	return out
}

// stabilized reports whether this node has known the other nodes for long enough to have
// received which of them manages which failure domain. A node that started while the platform
// was unreachable may receive the list of VMs before the records of the other nodes.
func (s *state) stabilized(now time.Time) bool {
	known, ok := s.d.parts.Nodes.RecordsReadAt()
	return ok && now.Sub(known) >= stabilizationTime && now.Sub(s.started) >= stabilizationTime && s.reoriented(now)
}

// reoriented reports whether this node has heard again of the other nodes and of the VMs since its last standstill. The list of
// VMs may be unavailable, so it is awaited for the stall bound at most; orders need the VMs' own reports in any case.
func (s *state) reoriented(now time.Time) bool {
	elapsed := now.Sub(s.resumedAt)
	return s.resumedAt.IsZero() || elapsed >= stabilizationTime && (s.snapshot.VerifiedAt.After(s.resumedAt) || elapsed > s.d.config.StallBound)
}

// peerDuties is what the other live nodes report of their duties.
type peerDuties struct {
	// claimed holds, for each failure domain, the node with the lowest ID that claims it.
	claimed map[string]string
	// byDomain holds the nodes that can manage groups, by their failure domain: they reach VMs, and their directors run.
	// abandoned holds the failure domains with other nodes.
	byDomain  map[string][]cluster.Record
	abandoned map[string]bool
	// takers holds those of byDomain that take over other failure domains: their directors are not confined.
	takers []cluster.Record
}

func (s *state) peerDuties(now time.Time) peerDuties {
	out := peerDuties{claimed: make(map[string]string), byDomain: make(map[string][]cluster.Record), abandoned: make(map[string]bool)}
	for _, p := range s.d.parts.Nodes.Live(now) {
		if p.State.GetStopping() {
			continue
		}
		if p.State.GetCutOff() || p.State.GetDirectorDown() {
			out.abandoned[p.FailureDomain] = true
		} else {
			out.byDomain[p.FailureDomain] = append(out.byDomain[p.FailureDomain], p.Record)
			if !p.State.GetDirectorConfined() {
				out.takers = append(out.takers, p.Record)
			}
		}
		for _, domain := range p.State.GetDirecting() {
			if out.claimed[domain] == "" || p.ID < out.claimed[domain] {
				out.claimed[domain] = p.ID
			}
		}
	}
	return out
}

// cutOff reports whether this node reaches no VM.
func (s *state) cutOff() bool { return s.d.parts.CutOff != nil && s.d.parts.CutOff() }

// domains returns the failure domains of this node and of all VMs that form groups. The
// result is cached until the set of VMs, which may hold a thousand entries, or the catalog
// changes.
func (s *state) domains() map[string]bool {
	if s.knownDomainsSnapshot != nil && s.knownDomainsCatalog == s.catalog && s.knownDomainsSnapshot.SameVMs(s.snapshot) {
		return s.knownDomains
	}
	out := map[string]bool{s.d.config.FailureDomain: true}
	for _, vm := range s.snapshot.VMs {
		if service := s.catalog.Service(vm.Service); service != nil && service.Engine != nil {
			out[vm.FailureDomain] = true
		}
	}
	s.knownDomainsSnapshot, s.knownDomainsCatalog, s.knownDomains = s.snapshot, s.catalog, out
	return out
}

// shouldManage reports whether this node must manage a failure domain. nodes are the live nodes there that can manage groups.
//
// A node keeps a domain that it manages, unless a peer with a lower ID claims it too, or the
// domain is not the node's own and has a live node again. A domain that nobody claims falls
// to its own preferred one of these. If it has had none for takeoverDelay, or all of its live
// nodes report that they reach no VM or that their directors are down, it falls to the preferred one of all live nodes
// whose directors are not confined after a panic: what makes the directors of one failure domain panic would otherwise end those of
// all others, one after the other.
func (s *state) shouldManage(now time.Time, domain string, nodes []cluster.Record, peers peerDuties) bool {
	claimedBy := peers.claimed[domain]
	local := domain == s.d.config.FailureDomain
	if s.manages(domain) {
		return (claimedBy == "" || s.d.config.NodeID < claimedBy) && (local || len(nodes) == 0)
	}
	if claimedBy != "" {
		return false
	}
	if len(nodes) > 0 {
		return local && s.isPreferred(nodes)
	}
	since, seen := s.domainLiveAt[domain]
	if !seen {
		s.domainLiveAt[domain] = now
		return false
	}
	if !local && s.d.confined.Load() {
		return false
	}
	takers := append([]cluster.Record{s.localRecord()}, peers.takers...)
	return (peers.abandoned[domain] || now.Sub(since) > takeoverDelay) && s.isPreferred(takers)
}

// isPreferred reports whether this node is the preferred one among nodes to manage groups.
func (s *state) isPreferred(nodes []cluster.Record) bool {
	return slices.MinFunc(nodes, cluster.CompareForRole).ID == s.d.config.NodeID
}

func (s *state) localRecord() cluster.Record {
	return cluster.Record{ID: s.d.config.NodeID, Processor: s.d.config.Processor}
}

// manages reports whether this node manages the failure domain, as last published by
// setManagedDomains.
func (s *state) manages(domain string) bool {
	for _, d := range s.d.Directing() {
		if d == domain {
			return true
		}
	}
	return false
}

// setManagedDomains publishes the failure domains that this node manages and logs the changes.
func (s *state) setManagedDomains(domains []string) {
	previous := s.d.Directing()
	changed := len(previous) != len(domains)
	for _, domain := range domains {
		if !s.manages(domain) {
			changed = true
			s.d.parts.Log.Emit(event.DirectorRoleAcquired).Str("failure_domain", domain).
				Int("listed_groups", len(s.snapshot.Groups)).Int("known_groups", len(s.groups)).
				EmbedObject(platform.LogRevision(s.snapshot.Revision)).Send()
		}
	}
	if !changed {
		return
	}
	for _, domain := range previous {
		if !slices.Contains(domains, domain) {
			s.d.parts.Log.Emit(event.DirectorRoleReleased).Str("failure_domain", domain).Send()
		}
	}
	s.d.directing.Store(&domains)
	s.d.parts.Nodes.TriggerExchange()
}
