package entry

import (
	"context"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/reach"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// reachInterval is the time between two looks whether a check of the upstreams is due.
const reachInterval = 50 * time.Millisecond

// newReachMonitor returns the monitor that finds out whether this entry is cut off from all upstreams of its failure
// domain. Probes of a late process time out too, but while their result is a partition, calls still run here if no
// other entry takes them.
func (s *Server) newReachMonitor(probe reach.ProbeFunc) *reach.Monitor {
	return reach.NewMonitor(reach.Config{
		FailureDomain: s.config.FailureDomain,
		Probe:         probe,
		VMs:           s.probeCandidates,
		Late:          func(time.Time) bool { return false },
		OnChange:      s.reportReachability,
	})
}

func (s *Server) probeCandidates() (preferred, others []*fleet.VM) {
	snapshot := s.source.Snapshot()
	if snapshot == nil {
		return nil, nil
	}
	for name, m := range snapshot.Members {
		if m.State == platform.Live {
			preferred = append(preferred, &fleet.VM{ID: name, Address: m.Address, FailureDomain: m.FailureDomain})
		}
	}
	return preferred, nil
}

// reportReachability logs that this entry is cut off from all upstreams, or no longer.
func (s *Server) reportReachability(cutOff bool, probed int) {
	kind, value := event.UpstreamsReachable, int64(0)
	if cutOff {
		kind, value = event.UpstreamsUnreachable, 1
	}
	s.metrics.Set("upstreams.cut_off", value)
	s.log.Emit(kind).Int("probed", probed).Send()
}

// watchReachability starts the checks that are due while the entry is cut off.
func (s *Server) watchReachability(ctx context.Context) {
	ticker := time.NewTicker(reachInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.reach.Tick(clock.Now())
		}
	}
}

// recordReach records the end of an attempt at a VM for the monitor.
func (s *Server) recordReach(address string, failure *verdict.Error, failed bool) {
	switch {
	case failed:
		s.reach.RecordFailure(clock.Now(), s.vmAt(address))
	case failure == nil:
		s.reach.RecordData(clock.Now())
	}
}
