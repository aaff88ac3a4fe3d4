package quota

import "time"

// Damper holds a share's rise back for a while and lets its fall through at
// once. Entries compute shares from reports of different age; a share that
// rises before the others have heard why would make the sum exceed the limit.
type Damper struct {
	// Hold is how long a rise waits: at least the age of the oldest report
	// that anybody still computes with.
	Hold time.Duration

	samples map[string][]sample
}

type sample struct {
	at    time.Time
	share float64
}

// Apply notes the newly computed share and returns the one to use: the least
// of those computed within the hold.
func (d *Damper) Apply(now time.Time, subject string, share float64) float64 {
	if d.samples == nil {
		d.samples = make(map[string][]sample)
	}
	kept := d.samples[subject][:0]
	least := share
	for _, s := range d.samples[subject] {
		if now.Sub(s.at) <= d.Hold {
			kept = append(kept, s)
			least = min(least, s.share)
		}
	}
	d.samples[subject] = append(kept, sample{at: now, share: share})
	return least
}

// Forget drops subjects that have not been applied within the hold.
func (d *Damper) Forget(now time.Time) {
	for subject, all := range d.samples {
		if now.Sub(all[len(all)-1].at) > d.Hold {
			delete(d.samples, subject)
		}
	}
}
