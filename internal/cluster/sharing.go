package cluster

import (
	"slices"
	"time"

	"github.com/marbleroad/marbleroad/internal/backpressure"
)

// sharingFor is how long a sharing that was worked out counts: each request that could go to an upstream
// VM with a limit asks for it.
const sharingFor = 100 * time.Millisecond

// knownSharing is the sharing of one failure domain's VMs, worked out then.
type knownSharing struct {
	backpressure.Sharing
	at time.Time
}

// Sharing is which nodes use together what upstream VMs of a failure domain take of all nodes: nodes
// of the same failure domain, which are cut off together with the VMs or not at all; others only while
// none of them is heard. Of many nodes only hubs do, since all hubs hear each other.
func (c *Cluster) Sharing(now time.Time, domain string) backpressure.Sharing {
	if c.recordsAt.Load() == nil {
		return backpressure.Sharing{Self: c.config.Self.ID}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.sharings[domain]
	if ok && now.Sub(known.at) < sharingFor {
		return known.Sharing
	}
	known = knownSharing{c.sharers(now, []string{domain}), now}
	if len(known.Nodes) == 0 {
		known.Sharing = c.sharers(now, c.topology.failureDomains)
	}
	c.sharings[domain] = known
	return known.Sharing
}

// sharers are the nodes of some failure domains that come into question, as far as this node hears
// them, and which part of all nodes there it hears. It is called with mu held.
func (c *Cluster) sharers(now time.Time, domains []string) backpressure.Sharing {
	out := backpressure.Sharing{Self: c.config.Self.ID}
	heard, known := 0, 0
	if slices.Contains(domains, c.config.Self.FailureDomain) {
		known, heard = 1, 1
		out.Nodes = append(out.Nodes, out.Self)
	}
	liveFor := c.liveFor()
	for id, p := range c.known {
		if !slices.Contains(domains, p.FailureDomain) || p.State.GetStopping() {
			continue
		}
		known++
		if p.State == nil || now.Sub(p.HeardAt) > liveFor {
			continue
		}
		heard += c.countedIn(p)
		out.Nodes = append(out.Nodes, id)
	}
	if !c.topology.flat() {
		out.Nodes = c.onlyHubs(out.Nodes, domains)
	}
	if known > 0 {
		out.Part = min(float64(heard)/float64(known), 1)
	}
	return out
}

// countedIn is for how many nodes another one is heard. Of many nodes, those that are neither hubs nor
// members here are in the sums of their hubs. It is called with mu held.
func (c *Cluster) countedIn(p *peer) int {
	if _, member := c.members[p.ID]; member || c.topology.flat() {
		return 1
	}
	return int(p.State.GetSummed())
}

// onlyHubs are those of the nodes that are hubs of their failure domains. It is called with mu held.
func (c *Cluster) onlyHubs(nodes, domains []string) []string {
	hubs := make(map[string]bool)
	for _, domain := range domains {
		for _, r := range c.topology.hubs(domain) {
			hubs[r.ID] = true
		}
	}
	return slices.DeleteFunc(nodes, func(id string) bool { return !hubs[id] })
}
