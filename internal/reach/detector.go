// Package reach finds out whether this node is cut off from all upstream VMs while callers, the platform and other
// nodes still reach it.
//
// It answers the load pattern of a partition between one node, or all nodes of a failure domain, and the upstreams:
// every request fails at one upstream after the other, each after a timeout, and the node would take each of them for
// a failure of that upstream. Failures and silence of single upstreams are therefore only a reason to check a sample of
// the others. The node is cut off if the whole sample fails.
package reach

import "time"

const (
	// failureCheckGap is the minimum time between the starts of two checks because of failed requests, and
	// silenceCheckGap of two because of silent ones, which are more common.
	failureCheckGap = 250 * time.Millisecond
	silenceCheckGap = time.Second
	// recheckGap is the time between the starts of two checks while the node is cut off. It bounds how much later
	// than its end the end of a partition is found.
	recheckGap = 250 * time.Millisecond
)

// Evidence is the reason for a check.
type Evidence uint8

const (
	// Failure means that a request to an upstream failed.
	Failure Evidence = iota
	// Silence means that requests are in progress, and no upstream has sent anything for a while.
	Silence
)

// Outcome is the result of a probe of one VM, or of all probes of a check.
type Outcome uint8

const (
	// Reached means that the VM responded.
	Reached Outcome = iota
	// Refused means that the connection was refused or reset.
	Refused
	// TimedOut means that nothing arrived within the time limit.
	TimedOut
)

// Detector decides when to check the upstreams and whether the node is cut off. It is pure: times and outcomes are
// arguments. It is not safe for concurrent use.
type Detector struct {
	cutOff   bool
	checking bool
	// startedAt is the start of the last check, reachedAt that of the last one that reached an upstream.
	startedAt, reachedAt time.Time
}

// CutOff reports whether the node is cut off from all upstreams.
func (d *Detector) CutOff() bool { return d.cutOff }

// Start reports whether a check must start now because of the evidence. The caller must then call Finish.
func (d *Detector) Start(now time.Time, e Evidence) bool {
	gap := failureCheckGap
	if e == Silence {
		gap = silenceCheckGap
	}
	return !d.cutOff && d.start(now, gap)
}

// Restart reports whether a check must start now because the node is cut off. The caller must then call Finish.
func (d *Detector) Restart(now time.Time) bool { return d.cutOff && d.start(now, recheckGap) }

// Force reports whether a check must start now whatever the gap to the last one is. The caller must then call Finish.
func (d *Detector) Force(now time.Time) bool { return d.start(now, 0) }

func (d *Detector) start(now time.Time, gap time.Duration) bool {
	if d.checking || (!d.startedAt.IsZero() && now.Sub(d.startedAt) < gap) {
		return false
	}
	d.checking, d.startedAt = true, now
	return true
}

// Finish ends the running check with the outcomes of its probes. late reports that this process was not scheduled in
// time meanwhile: timeouts show nothing then. heardAt is when data last arrived from any upstream: a node that still
// receives data over open connections is cut off only if new ones are refused. Finish reports whether CutOff has
// changed.
func (d *Detector) Finish(outcomes []Outcome, late bool, heardAt time.Time) (changed bool) {
	d.checking = false
	reached, timedOut := 0, 0
	for _, o := range outcomes {
		switch o {
		case Reached:
			reached++
		case TimedOut:
			timedOut++
		}
	}
	if reached > 0 {
		d.reachedAt = d.startedAt
	}
	before := d.cutOff
	switch {
	case len(outcomes) == 0:
	case d.cutOff:
		// All must respond, so that a node that reaches only a few upstreams stays cut off.
		d.cutOff = reached < len(outcomes)
	case reached == 0:
		d.cutOff = timedOut == 0 || (!late && heardAt.Before(d.startedAt))
	}
	return d.cutOff != before
}

// ReachedSince reports whether a check that started at the time or later reached an upstream.
func (d *Detector) ReachedSince(t time.Time) bool {
	return !d.reachedAt.IsZero() && !d.reachedAt.Before(t)
}
