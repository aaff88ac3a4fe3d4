package gateway

import "time"

// adapted is what this node has learned of one model's load.
type adapted struct {
	model string
	// own and all are the requests a second that come here and at all nodes.
	own, all float64
	// away is the part of them that is turned away.
	away float64
	// life is how long requests are at a head, offset what first events take beyond their prediction.
	life, offset time.Duration
}

// adaptations lists what was learned of each model.
func (b *board) adaptations(now time.Time) []adapted {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []adapted
	for key, m := range b.demand {
		out = append(out, adapted{model: key.model, own: m.arrivals.Value(now), all: b.arrivals(now, key), away: m.away,
			life: m.life.Mean(), offset: b.offset(key).Value()})
	}
	return out
}

// tellInterval is the time between two looks at what was learned.
const tellInterval = time.Second

// tellAdapted shows what was learned in the metrics, now and then.
func (s *Server) tellAdapted(now time.Time) {
	if now.Sub(s.toldAt) < tellInterval {
		return
	}
	s.toldAt = now
	const percent = 100
	for _, a := range s.board.adaptations(now) {
		s.metrics.Set("load.own."+a.model, int64(a.own))
		s.metrics.Set("load.all."+a.model, int64(a.all))
		s.metrics.Set("load.turned_away."+a.model, int64(percent*a.away))
		s.metrics.Set("load.life_ms."+a.model, a.life.Milliseconds())
		s.metrics.Set("load.offset_ms."+a.model, a.offset.Milliseconds())
	}
}
