package backpressure

import (
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
)

// Encode returns the record as a message to other nodes, with its age in place of its time.
func (r Record) Encode(now time.Time) *marbleroadv1.UpstreamCondition {
	out := &marbleroadv1.UpstreamCondition{Vm: r.VM, Born: r.Born, Leaving: r.Leaving}
	if !r.At.IsZero() {
		age := uint32(max(now.Sub(r.At).Milliseconds(), 0))
		out.LimitAgeMs = &age
	}
	if r.Limited {
		out.Limit = &r.Limit
	}
	if now.Before(r.WarmUntil) {
		left := uint32(min(r.WarmUntil.Sub(now), MaxWarmup).Milliseconds())
		out.WarmupMs = &left
	}
	return out
}

// Decode returns the record that a message holds. The message was created at notBefore or later; its
// ages count back from notBefore.
func Decode(c *marbleroadv1.UpstreamCondition, notBefore time.Time) Record {
	out := Record{Incarnation: Incarnation{VM: c.GetVm(), Born: c.GetBorn()}, Leaving: c.GetLeaving()}
	if c.LimitAgeMs != nil {
		age := time.Duration(c.GetLimitAgeMs()) * time.Millisecond
		out.Limited, out.Limit, out.At = c.Limit != nil, c.GetLimit(), notBefore.Add(-age)
	}
	if c.WarmupMs != nil {
		out.WarmUntil = notBefore.Add(min(time.Duration(c.GetWarmupMs())*time.Millisecond, MaxWarmup))
	}
	return out
}
