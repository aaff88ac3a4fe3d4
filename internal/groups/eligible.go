package groups

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/presence"
)

// Reason is the reason why a group must not receive requests; empty if it may.
type Reason string

const (
	// Serving is the empty reason: the group may receive requests.
	Serving         Reason = ""
	NotActive       Reason = "retiring"
	MissingVM       Reason = "missing VM"
	WrongGeneration Reason = "VM reports another group or generation"
	NotReady        Reason = "VM is loading"
	VMLeaving       Reason = "VM is leaving"
	EmptyRank       Reason = "rank without VM"
)

// Eligibility is the result of Eligible for one group.
type Eligibility struct {
	// Reason is that of the last of the VMs in Blocking.
	Reason Reason
	// Blocking lists the VMs, by rank, because of which the group must not
	// receive requests; the name is empty for a rank without VM.
	Blocking []string
	// ValidUntil is when the result expires unless newer probes are answered; zero if
	// the group must not receive requests.
	ValidUntil time.Time
}

// ProbeResults looks up the newest probe result of a VM.
type ProbeResults interface {
	Get(vm string) (presence.ProbeResult, bool)
}

// Eligible reports whether the group may receive requests now: it is active,
// and all of its VMs answered a probe sent within the window and reported that
// they are ready, with this group, its generation and size, and their rank in the
// plan. The plan alone is not sufficient, since orders can be late, lost or
// ignored; therefore the engines' own reports count. leaving holds the VMs that
// must receive no new requests.
func Eligible(p *Plan, g Group, probes ProbeResults, leaving map[string]bool, now time.Time, window time.Duration) Eligibility {
	if g.Phase != Active {
		return Eligibility{Reason: NotActive}
	}
	out := Eligibility{ValidUntil: now.Add(window)}
	for rank, vm := range p.Members(g) {
		reason, sentAt := checkMember(g, rank, vm, probes, leaving, now, window)
		if reason != Serving {
			out.Reason = reason
			out.Blocking = append(out.Blocking, vm)
			continue
		}
		if until := sentAt.Add(window); until.Before(out.ValidUntil) {
			out.ValidUntil = until
		}
	}
	if out.Reason != Serving {
		out.ValidUntil = time.Time{}
	}
	return out
}

// checkMember checks one VM of the group. It returns Serving and when the VM's
// newest answered probe was sent, or the reason why the group must not receive
// requests because of this VM.
func checkMember(g Group, rank int, vm string, probes ProbeResults, leaving map[string]bool, now time.Time, window time.Duration) (Reason, time.Time) {
	if vm == "" {
		return EmptyRank, time.Time{}
	}
	if leaving[vm] {
		return VMLeaving, time.Time{}
	}
	probe, ok := probes.Get(vm)
	switch {
	case !ok || !probe.Fresh(now, window):
		return MissingVM, time.Time{}
	case probe.Leaving:
		return VMLeaving, time.Time{}
	case probe.Group != g.ID || probe.Generation != g.Generation || probe.Rank != rank || probe.Size != g.Size:
		return WrongGeneration, time.Time{}
	case !probe.Ready:
		return NotReady, time.Time{}
	}
	return Serving, probe.SentAt
}
