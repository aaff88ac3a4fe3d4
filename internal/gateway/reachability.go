package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/reach"
)

// minTotalSilence is how long requests must be in progress without any data from any upstream before this node checks
// whether it reaches the upstreams. A pass of a full batch takes less.
const minTotalSilence = 350 * time.Millisecond

// newReachMonitor returns the monitor that finds out whether this node is cut off from all upstreams.
func (s *Server) newReachMonitor(probe reach.ProbeFunc) *reach.Monitor {
	return reach.NewMonitor(reach.Config{
		FailureDomain: s.config.FailureDomain,
		Probe:         probe,
		VMs:           s.probeCandidates,
		Late:          func(since time.Time) bool { return s.targets.stalledSince(clock.Now(), since) },
		OnChange:      s.reportReachability,
	})
}

// probeCandidates returns the VMs that can be probed. VMs of model services are preferred, since their reports take no
// slot: a plain upstream that is overloaded may respond late.
func (s *Server) probeCandidates() (preferred, others []*fleet.VM) {
	snapshot, current := s.parts.Directory.Snapshot(), s.catalog.Catalog()
	if snapshot == nil || current == nil {
		return nil, nil
	}
	for _, vm := range snapshot.VMs {
		service := current.Service(vm.Service)
		switch {
		case service == nil || vm.Draining:
		case service.Engine != nil:
			preferred = append(preferred, vm)
		default:
			others = append(others, vm)
		}
	}
	return preferred, others
}

// reportReachability reports to the operators and the other nodes that this node is cut off from all upstreams, or no
// longer.
func (s *Server) reportReachability(cutOff bool, probed int) {
	kind, value := event.UpstreamsReachable, int64(0)
	if cutOff {
		kind, value = event.UpstreamsUnreachable, 1
	}
	s.targets.setCutOff(cutOff)
	s.parts.TriggerExchange()
	s.metrics.Set("upstreams.cut_off", value)
	s.log.Emit(kind).Int("probed", probed).Int64("silent_ms", clock.Since(s.reach.HeardAt()).Milliseconds()).Send()
}

// CutOff reports whether this node is cut off from all upstreams.
func (s *Server) CutOff() bool { return s.reach.CutOff() }

// checkReachability starts the checks whether this node reaches the upstreams that are due.
func (s *Server) checkReachability(now time.Time) {
	s.reach.Tick(now)
	if now.Sub(s.reach.HeardAt()) >= minTotalSilence && s.targets.silentSends(now, minTotalSilence) {
		s.reach.RecordSilence(now)
	}
}

// silentSends reports whether any send in progress has been silent for at least the given time.
func (tt *targetTable) silentSends(now time.Time, silence time.Duration) bool {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	for t := range tt.watched() {
		for s := range t.running {
			if now.Sub(s.lastActivity) >= silence {
				return true
			}
		}
	}
	return false
}
