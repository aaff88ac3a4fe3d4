package gateway

import "time"

// loadStats holds what this node has learned about the load of one model.
type loadStats struct {
	model string
	// localRate is the number of requests per second that arrive at this node, totalRate at all nodes.
	localRate, totalRate float64
	// rejectedShare is the fraction of requests that is rejected, as of the latest decision.
	rejectedShare float64
	// serviceTime is the mean time that a request spends at a head. offset is the mean delay of first
	// events beyond their prediction.
	serviceTime, offset time.Duration
}

// loadStats returns the statistics of each model that has received requests.
func (tt *targetTable) loadStats(now time.Time) []loadStats {
	tt.mu.Lock()
	defer tt.mu.Unlock()
	var out []loadStats
	for key, m := range tt.demand {
		out = append(out, loadStats{model: key.model, localRate: m.arrivals.Value(now), totalRate: tt.arrivalRate(now, key), rejectedShare: m.rejectedShare,
			serviceTime: m.serviceTime.Mean(), offset: tt.offset(key).Value()})
	}
	return out
}

// statsInterval is the time between two updates of the load metrics.
const statsInterval = time.Second

// publishLoadStats updates the load metrics once per statsInterval.
func (s *Server) publishLoadStats(now time.Time) {
	if now.Sub(s.statsPublishedAt) < statsInterval {
		return
	}
	s.statsPublishedAt = now
	s.publishFairShares(now)
	s.metrics.Set("buffers.reserved", s.buffers.Used())
	s.publishDemand(now)
	const percent = 100
	for _, stats := range s.targets.loadStats(now) {
		s.metrics.Set("load.own."+stats.model, int64(stats.localRate))
		s.metrics.Set("load.all."+stats.model, int64(stats.totalRate))
		s.metrics.Set("load.turned_away."+stats.model, int64(percent*stats.rejectedShare))
		s.metrics.Set("load.life_ms."+stats.model, stats.serviceTime.Milliseconds())
		s.metrics.Set("load.offset_ms."+stats.model, stats.offset.Milliseconds())
	}
}
