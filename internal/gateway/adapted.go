package gateway

import "time"

// adapted is what this node has learned of one model's load.
type loadStats struct {
	model string
	// own and all are the requests a second that come here and at all nodes.
	localRate, totalRate float64
	// away is the part of them that is turned away.
	rejectedShare float64
	// life is how long requests are at a head, offset what first events take beyond their prediction.
	serviceTime, offset time.Duration
}

// adaptations lists what was learned of each model.
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

// tellInterval is the time between two looks at what was learned.
const statsInterval = time.Second

// tellAdapted shows what was learned in the metrics, now and then.
func (s *Server) publishLoadStats(now time.Time) {
	if now.Sub(s.statsPublishedAt) < statsInterval {
		return
	}
	s.statsPublishedAt = now
	const percent = 100
	for _, a := range s.targets.loadStats(now) {
		s.metrics.Set("load.own."+a.model, int64(a.localRate))
		s.metrics.Set("load.all."+a.model, int64(a.totalRate))
		s.metrics.Set("load.turned_away."+a.model, int64(percent*a.rejectedShare))
		s.metrics.Set("load.life_ms."+a.model, a.serviceTime.Milliseconds())
		s.metrics.Set("load.offset_ms."+a.model, a.offset.Milliseconds())
	}
}
