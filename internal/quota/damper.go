package quota

import "time"

// Damper delays increases of a share and applies decreases at once. Entries
// compute shares from reports of different ages: if one raised its share before
// the others received the reports that lower theirs, the sum would exceed the limit.
type Damper struct {
	// Delay is how long an increase is delayed: at least the age of the oldest report
	// that any process still computes with.
	Delay time.Duration

	// samples holds the shares computed within Delay, by subject.
	samples map[string][]sample
}

// sample is one computed share.
type sample struct {
	at    time.Time
	share float64
}

// Apply records the newly computed share and returns the one to use: the minimum
// of the shares computed within Delay.
func (d *Damper) Apply(now time.Time, subject string, share float64) float64 {
	if d.samples == nil {
		d.samples = make(map[string][]sample)
	}
	kept := d.samples[subject][:0]
	minShare := share
	for _, s := range d.samples[subject] {
		if now.Sub(s.at) <= d.Delay {
			kept = append(kept, s)
			minShare = min(minShare, s.share)
		}
	}
	d.samples[subject] = append(kept, sample{at: now, share: share})
	return minShare
}

// Prune removes subjects for which Apply was not called within Delay.
func (d *Damper) Prune(now time.Time) {
	for subject, all := range d.samples {
		if now.Sub(all[len(all)-1].at) > d.Delay {
			delete(d.samples, subject)
		}
	}
}
