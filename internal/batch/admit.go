package batch

import "time"

// Request is what the decision knows of one request.
type Request struct {
	// Prompt is its prompt tokens.
	Prompt float64
	// Objective is the time to the first event within which an answer counts as in
	// time, from the caller's first try; zero for none.
	Objective time.Duration
	// Spent is how much of it is over.
	Spent time.Duration
	// Kept is the part, 0 to 1, of the time that an idle engine leaves of the
	// objective that is kept for more urgent requests: less urgent ones wait less, and
	// are turned away first.
	Kept float64
}

const (
	// idleShare is the part of the slots below which an engine without unread
	// prompts takes any request: there is nothing to be gained by turning it away,
	// and its first event corrects the offset.
	idleShare = 0.5
	// lateShare is the part of the objective within which a usual request that
	// comes right after one that is late in any case must still get its first
	// event: late ones use what is left and keep nobody else from being in time.
	lateShare = 0.85
)

// Admit reports whether an engine takes a request, with the offset learned for its
// model. A request that can still be in time is taken when it is expected to be;
// one that is late in any case only where it keeps none from being in time. The
// part of a long prompt above the usual one does not count against its request:
// long ones are not to be served less often than others.
func (e Engine) Admit(w Work, r Request, offset time.Duration) bool {
	if !e.Known() || r.Objective <= 0 {
		return true
	}
	if w.Unread == 0 && float64(w.InFlight) < idleShare*float64(e.Slots) {
		return true
	}
	if e.First(Work{}, e.UsualPrompt)+offset > r.Objective {
		// Nobody can be in time here; late answers are better than none.
		return w.InFlight < e.Slots
	}
	prompt := min(r.Prompt, e.UsualPrompt)
	soonest := e.First(Work{}, prompt) + offset
	kept := time.Duration(r.Kept * float64(max(r.Objective-soonest, 0)))
	left := r.Objective - kept - r.Spent
	if soonest <= left {
		return e.First(w, prompt)+offset <= left
	}
	after := Work{InFlight: w.InFlight + 1, Unread: w.Unread + r.Prompt, Pass: w.Pass}
	spare := time.Duration(lateShare * float64(r.Objective))
	return w.InFlight < e.Slots && e.First(after, e.UsualPrompt)+offset <= spare
}
