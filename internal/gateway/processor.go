package gateway

import (
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
)

// processorInterval is the time between two observations of the processor time that this process uses: two periods in
// which a quota is renewed.
const processorInterval = 200 * time.Millisecond

// watchProcessor observes the utilization of the processor for the limit of new connections, until the end of a
// shutdown. It does nothing if the settings do not say how much of a processor this process may use.
func (s *Server) watchProcessor() {
	defer crash.Guard()
	defer s.background.Done()
	if s.config.Processor <= 0 {
		return
	}
	ticker := time.NewTicker(processorInterval)
	defer ticker.Stop()
	lastAt, lastUsed := clock.Now(), processorTime()
	for {
		select {
		case <-s.workCtx.Done():
			return
		case <-ticker.C:
		}
		now, used := clock.Now(), processorTime()
		elapsed := now.Sub(lastAt)
		if elapsed < processorInterval/2 {
			continue
		}
		utilization := (used - lastUsed).Seconds() / elapsed.Seconds() / s.config.Processor
		lastAt, lastUsed = now, used
		percent, changed := s.acceptLimit.Observe(now, utilization)
		s.metrics.Set("callers.refused_percent", percent)
		switch {
		case changed && percent > 0:
			s.log.Emit(event.ConnectionsRefused).Int64("percent", percent).Float64("utilization", utilization).Send()
		case changed:
			s.log.Emit(event.ConnectionsAccepted).Float64("utilization", utilization).Send()
		}
	}
}

// processorTime returns the processor time that this process has used; zero if that can't be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
