package cluster

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/backpressure"
)

// Sharing returns the nodes that share the limits of a failure domain's upstream VMs. These are the
// nodes of the same failure domain, whether or not they are reachable: they are partitioned from
// the rest together with the VMs or not at all. All nodes read the same records, so nodes that are
// partitioned from each other make the same choice. Nodes of other failure domains share the limits
// only while no node of that failure domain is reachable.
func (c *Cluster) Sharing(now time.Time, domain string) backpressure.Sharing {
	out := backpressure.Sharing{Self: c.config.Self.ID}
	if c.recordsAt.Load() == nil {
		return out
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.sharingCache[domain]
	if !ok || now.Sub(known.computedAt) >= sharingTTL {
		known = cachedSharing{c.computeSharing(now, domain), now}
		c.sharingCache[domain] = known
	}
	return known.Sharing
}

// sharingTTL is how long a computed sharing is reused: it is queried for each request that could go
// to an upstream VM with a limit.
const sharingTTL = 100 * time.Millisecond

// cachedSharing is the sharing of one failure domain's VMs and when it was computed.
type cachedSharing struct {
	backpressure.Sharing
	computedAt time.Time
}

// computeSharing computes the result of Sharing. It is called with mu held.
func (c *Cluster) computeSharing(now time.Time, domain string) backpressure.Sharing {
	out := backpressure.Sharing{Self: c.config.Self.ID}
	others := []string{out.Self}
	domainReachable := c.config.Self.FailureDomain == domain
	if domainReachable {
		out.Nodes = append(out.Nodes, out.Self)
	}
	livenessTimeout := c.livenessTimeout()
	for id, p := range c.known {
		if p.FailureDomain != domain {
			others = append(others, id)
			continue
		}
		out.Nodes = append(out.Nodes, id)
		domainReachable = domainReachable || (p.State != nil && now.Sub(p.LastSeen) <= livenessTimeout)
	}
	if !domainReachable {
		out.Nodes, out.Remote = others, true
	}
	return out
}
