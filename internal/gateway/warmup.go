package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// WarmupBounds limits the requests to an upstream that is warming up, over all nodes together: within any
// one second it may receive Excess times its rate of requests, and Slack more. The rate is that of its
// service.
type WarmupBounds struct {
	Excess float64
	Slack  float64
}

// warmup returns the warm-up of a service's upstream that ends at the given time. The rate is zero if the
// service does not limit requests during a warm-up.
func (tt *targetTable) warmup(service *catalog.Service, until time.Time) backpressure.Warmup {
	rate := service.Warmup.Rate
	return backpressure.Warmup{Until: until, Rate: rate, MaxPerSecond: rate*tt.warmups.Excess + tt.warmups.Slack,
		UsableAt: tt.startedAt.Add(backpressure.HandoverDelay)}
}

// markWarming records the upstreams that are warming up by their entries, and those of failure domains whose
// evacuation has ended: they may have cooled down without requests, and their entries may not show it yet.
// The caller holds mu.
func (tt *targetTable) markWarming(now time.Time, c *catalog.Catalog, s *fleet.Snapshot) {
	returned := make(map[string]bool)
	for domain := range tt.evacuated {
		returned[domain] = !s.Evacuated[domain]
	}
	tt.evacuated = s.Evacuated
	for _, vm := range s.VMs {
		service := c.Service(vm.Service)
		if service == nil || service.Warmup.Rate <= 0 {
			continue
		}
		until := vm.WarmUntil
		if returned[vm.FailureDomain] {
			until = now.Add(service.Warmup.Duration)
		}
		if !until.After(now) {
			continue
		}
		tt.conditions.MarkWarming(now, incarnationOf(vm), tt.warmup(service, until), false)
	}
}

// reportedWarmupMargin is added to the time left in a response: other nodes that receive it count from when
// their exchange with this node started.
const reportedWarmupMargin = 250 * time.Millisecond

// recordWarmup processes the remaining warm-up time that a VM reports in a response. request is the ID of the
// request whose response contained it, if any.
func (s *Server) recordWarmup(vm *fleet.VM, left time.Duration, request string) {
	if left <= 0 {
		return
	}
	now := clock.Now()
	s.markWarming(now, vm, now.Add(left+reportedWarmupMargin), request)
}

// mergeWarmup processes the warm-up of a VM that another node has received from it. One of a VM that the
// platform does not list is ignored.
func (s *Server) mergeWarmup(now time.Time, r backpressure.Record) {
	if r.WarmUntil.IsZero() || !s.isListed(r.Incarnation) {
		return
	}
	s.markWarming(now, s.parts.Directory.Snapshot().VMs[r.VM], r.WarmUntil, "")
}

// markWarming records the warm-up of a VM that this or another node has received in a response, and informs
// the other nodes if it is new.
func (s *Server) markWarming(now time.Time, vm *fleet.VM, until time.Time, request string) {
	current := s.catalog.Catalog()
	if vm == nil || current == nil || current.Service(vm.Service) == nil {
		return
	}
	first := s.targets.mark(func() bool {
		return s.targets.conditions.MarkWarming(now, incarnationOf(vm), s.targets.warmup(current.Service(vm.Service), until), true)
	})
	if !first {
		return
	}
	s.log.Emit(event.UpstreamWarming).Str("vm", vm.ID).Int64("born", vm.Born).Int64("left_ms", until.Sub(now).Milliseconds()).
		Str("request", request).Send()
	s.parts.TriggerExchange()
}
