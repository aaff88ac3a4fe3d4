package fairshare

import (
	"math"
	"time"
)

const (
	// window is the time constant of the measured work. It is below the length of a surge (3 to 4 s), so that
	// the team that causes it is known during it, and above the time between the requests of a small team.
	window = 2 * time.Second
	// sizeSmoothing is the weight of the newest request in a team's mean size and in its use of routes. A
	// team's kinds of request differ in size by a factor of a few; fifty requests give their mean.
	sizeSmoothing = 0.02
	// idleWork is the work per second below which a team counts as idle: a thousandth of a group.
	idleWork = 0.001
)

// Meter measures what one team asks for and is given at one node. The caller serializes its use.
type Meter struct {
	asked, admitted float64
	updatedAt       time.Time
	requests        int
	size            float64
	// onRoute is the mean work of a request on each route with a reserve, routes the fraction of the work.
	onRoute, routes [MaxRoutes]float64
}

// Ask records a request of the given work in group seconds. route is the position of its route among those
// with a reserve; negative if it has none.
func (m *Meter) Ask(now time.Time, work float64, route int) {
	m.decay(now)
	m.asked += work / window.Seconds()
	m.requests++
	weight := max(sizeSmoothing, 1/float64(m.requests))
	m.size += weight * (work - m.size)
	for i := range m.onRoute {
		on := 0.0
		if i == route {
			on = work
		}
		m.onRoute[i] += weight * (on - m.onRoute[i])
		if m.size > 0 {
			m.routes[i] = m.onRoute[i] / m.size
		}
	}
}

// Admit records that a request of the given work was sent to an upstream.
func (m *Meter) Admit(now time.Time, work float64) {
	m.decay(now)
	m.admitted += work / window.Seconds()
}

// decay moves the meter's time forward.
func (m *Meter) decay(now time.Time) {
	if elapsed := now.Sub(m.updatedAt); elapsed > 0 && !m.updatedAt.IsZero() {
		factor := math.Exp(-elapsed.Seconds() / window.Seconds())
		m.asked *= factor
		m.admitted *= factor
	}
	if now.After(m.updatedAt) {
		m.updatedAt = now
	}
}

// Work returns the work per second that was asked for and admitted.
func (m *Meter) Work(now time.Time) (asked, admitted float64) {
	m.decay(now)
	return m.asked, m.admitted
}

// Size returns the mean work of a request in group seconds; zero before the first one.
func (m *Meter) Size() float64 { return m.size }

// OnRoute returns the fraction of the work that is on each route with a reserve. The array is the meter's own.
func (m *Meter) OnRoute() *[MaxRoutes]float64 { return &m.routes }

// Idle reports whether the team has not asked for anything that matters for some time.
func (m *Meter) Idle(now time.Time) bool {
	m.decay(now)
	return m.asked < idleWork
}
