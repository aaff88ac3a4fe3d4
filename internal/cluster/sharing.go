package cluster

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/backpressure"
)

// Sharing is which nodes use together what upstream VMs of a failure domain take of all nodes: those of
// the same failure domain, which are cut off together with the VMs or not at all, whether or not they
// are heard. The records of nodes are the same at all of them, so that nodes which are cut off from each other
// choose alike. Others only do while nobody of that failure domain is heard.
func (c *Cluster) Sharing(now time.Time, domain string) backpressure.Sharing {
	out := backpressure.Sharing{Self: c.config.Self.ID}
	if c.recordsAt.Load() == nil {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.sharings[domain]
	if !ok || now.Sub(known.at) >= sharingFor {
		known = knownSharing{c.sharers(now, domain), now}
		c.sharings[domain] = known
	}
	return known.Sharing
}

// sharingFor is how long a sharing that was worked out counts: each request that could go to an upstream
// VM with a limit asks for it.
const sharingFor = 100 * time.Millisecond

// knownSharing is the sharing of one failure domain's VMs, worked out then.
type knownSharing struct {
	backpressure.Sharing
	at time.Time
}

// sharers works out a sharing. It is called with mu held.
func (c *Cluster) sharers(now time.Time, domain string) backpressure.Sharing {
	out := backpressure.Sharing{Self: c.config.Self.ID}
	others := []string{out.Self}
	heard := c.config.Self.FailureDomain == domain
	if heard {
		out.Nodes = append(out.Nodes, out.Self)
	}
	liveFor := c.liveFor()
	for id, p := range c.known {
		if p.FailureDomain != domain {
			others = append(others, id)
			continue
		}
		out.Nodes = append(out.Nodes, id)
		heard = heard || (p.State != nil && now.Sub(p.HeardAt) <= liveFor)
	}
	if !heard {
		out.Nodes, out.Remote = others, true
	}
	return out
}
