package batch

import "time"

const (
	// onTimeShare is the part of first events that shall come within the prediction
	// and the offset. One request too many makes all that wait behind it later, so
	// it is well above a half; with callers twice and three times as many as can be
	// served, 0.6 gives 59 answers in time where 0.85 to 0.95 give 74 (the replay of
	// internal/gateway/crowd_test.go).
	onTimeShare = 0.9
	// offsetStep is how far one first event moves the offset. Some ten first
	// events a second and node then follow a change of 100 ms in about two
	// seconds, and a single late one moves it by 9 ms.
	offsetStep = 10 * time.Millisecond
	// offsetMost bounds the offset, so that one bad time is soon forgotten.
	offsetMost = 2 * time.Second
)

// Offset learns by how much first events come later than predicted: the network,
// the engine's own constant, other nodes' requests that were not known of. It
// follows a quantile, so a few answers of a slow or dying engine hardly move it.
type Offset struct{ value time.Duration }

// Value is the offset.
func (o *Offset) Value() time.Duration { return o.value }

// Learn takes the time that a first event took, and what was predicted.
func (o *Offset) Learn(took, predicted time.Duration) {
	if took > predicted+o.value {
		o.value += time.Duration(onTimeShare * float64(offsetStep))
	} else {
		o.value -= time.Duration((1 - onTimeShare) * float64(offsetStep))
	}
	o.value = min(max(o.value, 0), offsetMost)
}

// Ease lowers the offset a little. It is called for each request that was turned
// away because of it, so that an offset that keeps all requests out, and so sees no
// first events, does not last.
func (o *Offset) Ease() {
	o.value -= offsetStep / 20
	o.value = max(o.value, 0)
}
