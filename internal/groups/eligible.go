package groups

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/presence"
)

// Reason says why a group does not serve; empty when it does.
type Reason string

// The reasons.
const (
	Serving         Reason = ""
	NotActive       Reason = "retiring"
	MissingVM       Reason = "missing VM"
	WrongGeneration Reason = "VM reports another group or generation"
	NotReady        Reason = "VM is loading"
	VMLeaving       Reason = "VM is leaving"
	EmptyRank       Reason = "rank without VM"
)

// Eligibility is the judgement on one group.
type Eligibility struct {
	Reason Reason
	// Missing are the VMs that stand in the way.
	Missing []string
	// Until is when the judgement ends unless newer probes come; zero when not serving.
	Until time.Time
}

// Witnesses looks up a VM's newest witness.
type Witnesses interface {
	Get(vm string) (presence.ProbeResult, bool)
}

// Eligible judges whether the group may get work now: all of its VMs were
// probed within the window, and all report the same group and generation and
// their own rank. The plan alone proves nothing, since orders can be late,
// lost or ignored; the engines are the witnesses. leaving says which VMs must
// get no new work.
func Eligible(p *Plan, g Group, w Witnesses, leaving map[string]bool, now time.Time, window time.Duration) Eligibility {
	if g.Phase != Active {
		return Eligibility{Reason: NotActive}
	}
	out := Eligibility{Until: now.Add(window)}
	for rank, vm := range p.Members(g) {
		reason, sentAt := judge(g, rank, vm, w, leaving, now, window)
		if reason != Serving {
			out.Reason = reason
			out.Missing = append(out.Missing, vm)
			continue
		}
		if until := sentAt.Add(window); until.Before(out.Until) {
			out.Until = until
		}
	}
	if out.Reason != Serving {
		out.Until = time.Time{}
	}
	return out
}

func judge(g Group, rank int, vm string, w Witnesses, leaving map[string]bool, now time.Time, window time.Duration) (Reason, time.Time) {
	if vm == "" {
		return EmptyRank, time.Time{}
	}
	if leaving[vm] {
		return VMLeaving, time.Time{}
	}
	seen, ok := w.Get(vm)
	switch {
	case !ok || !seen.Fresh(now, window):
		return MissingVM, time.Time{}
	case seen.Leaving:
		return VMLeaving, time.Time{}
	case seen.Group != g.ID || seen.Generation != g.Generation || seen.Rank != rank || seen.Size != g.Size:
		return WrongGeneration, time.Time{}
	case !seen.Ready:
		return NotReady, time.Time{}
	}
	return Serving, seen.SentAt
}
