package gateway

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
)

// watchStalls runs checkSends every stallInterval until the end of a shutdown. It also logs when the VM of
// this process was suspended.
func (s *Server) watchStalls() {
	defer crash.Guard()
	defer s.background.Done()
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	suspended := clock.Suspended()
	for {
		select {
		case <-s.workCtx.Done():
			return
		case <-ticker.C:
		}
		clock.Sync()
		now := clock.Now()
		if total := clock.Suspended(); total > suspended {
			s.log.Emit(event.Suspended).Int64("for_ms", (total - suspended).Milliseconds()).Send()
			suspended = total
		}
		s.checkSends(now)
	}
}

// checkSends performs the periodic checks of the requests in progress: it moves lost, slow, stuck and stalled
// sends to other upstreams where their calls can continue, and reports stalled heads to the director and, by
// an immediate exchange, to the other nodes. It also updates the load metrics, detects scheduling stalls of
// this process, and confirms terminations.
func (s *Server) checkSends(now time.Time) {
	s.publishLoadStats(now)
	s.listInFlight(now)
	if stalled := s.targets.detectSchedulingStall(now); stalled >= minLoggedStall {
		s.metrics.Count("held_up", 1)
		s.log.Emit(event.SchedulingStall).Int64("for_ms", stalled.Milliseconds()).Send()
	}
	s.checkReachability(now)
	s.confirmTerminations(now)
	if s.reach.CutOff() && s.forwardSilent(now) {
		return
	}
	s.metrics.Count("streams.lost", int64(s.moveAll(now, s.targets.findLost(now), errLostResponse)))
	s.moveAll(now, s.targets.findSlow(now), errSlowAttempt)
	s.moveAll(now, s.targets.findStuck(now), errStalled)
	stalls := s.targets.findStalls(now)
	for _, stall := range stalls {
		s.reach.RecordFailure(now, stall.vm)
		moved := s.moveAll(now, stall.sends, errStalled)
		s.metrics.Count("heads.stalled", 1)
		s.log.Emit(event.HeadStalled).Str("group", stall.group).Str("vm", stall.vm).Uint64("generation", stall.generation).
			Int64("silent_ms", stall.silence.Milliseconds()).Int64("usual_pause_ms", stall.meanPause.Milliseconds()).Int("requests", stall.requests).
			Int("moved", moved).Send()
		s.parts.Suspect(stall.group, stall.generation)
	}
	if len(stalls) > 0 {
		s.parts.TriggerExchange()
	}
}

// moveAll reserves a slot at another target for the call of each send, and cancels with the given cause the
// sends for which that succeeded. It returns their number. The others keep waiting for their upstreams.
func (s *Server) moveAll(now time.Time, sends []*send, cause error) int {
	moved := 0
	for _, sent := range sends {
		if s.targets.reserve(now, sent, s.nodes()) {
			sent.cancel(cause)
			moved++
		}
	}
	return moved
}
