package batch

import "time"

const (
	// onTimeShare is the quantile that the offset follows: the fraction of first events
	// that should come within the prediction plus the offset. It is well above a half
	// because one request too many delays all that wait behind it: with two and three
	// times as many callers as can be served, 0.6 gives 59 responses in time, and 0.85 to
	// 0.95 give 74.
	onTimeShare = 0.9
	// offsetStep bounds how far one first event moves the offset. At some ten first
	// events per second and node, the offset follows a change of 100 ms in about two
	// seconds, and a single late event moves it by 9 ms.
	offsetStep = 10 * time.Millisecond
	// maxOffset bounds the offset, so that it recovers soon after a period of late events.
	maxOffset = 2 * time.Second
)

// Offset estimates by how much first events come later than predicted, because of the
// network, the engine's constant overhead and requests of other nodes that this node did
// not know of. It follows a quantile, so a few responses of a slow or failing engine hardly
// move it.
type Offset struct{ value time.Duration }

// Value returns the current offset.
func (o *Offset) Value() time.Duration { return o.value }

// Learn updates the offset from the elapsed time until a first event and its prediction: a
// late event raises the offset by the fraction onTimeShare of a step, one in time lowers it
// by the rest of a step, so it converges to the onTimeShare quantile of the lateness.
func (o *Offset) Learn(elapsed, predicted time.Duration) {
	if elapsed > predicted+o.value {
		o.value += time.Duration(onTimeShare * float64(offsetStep))
	} else {
		o.value -= time.Duration((1 - onTimeShare) * float64(offsetStep))
	}
	o.value = min(max(o.value, 0), maxOffset)
}

// Decay lowers the offset by a twentieth of a step. It is called for each request that is
// rejected after Admit returned false for an engine: an offset so high that all requests are
// rejected gets no first events to learn from, and would otherwise never fall.
func (o *Offset) Decay() {
	o.value -= offsetStep / 20
	o.value = max(o.value, 0)
}
