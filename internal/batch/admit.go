package batch

import "time"

// Request holds the properties of a request that decide whether an engine admits it.
type Request struct {
	// PromptTokens is the number of tokens in the request's prompt.
	PromptTokens float64
	// Objective is the target for the time from the caller's first attempt to the first
	// event of the response; zero means that there is no target.
	Objective time.Duration
	// Elapsed is the time since the caller's first attempt.
	Elapsed time.Duration
	// Reserved is the fraction, 0 to 1, of the slack that is reserved for more urgent requests.
	// The slack is the objective less the time to the first event on an idle engine. A less
	// urgent request may use less of it for waiting, and so is rejected first.
	Reserved float64
}

const (
	// idleShare is the fraction of the slots in use below which an engine without
	// unread prompts admits any request: rejecting it would gain nothing, and its first
	// event corrects the offset.
	idleShare = 0.5
	// lateAdmissionShare is the fraction of the objective within which a typical
	// request that arrives right after a late one must still get its first event. Late
	// requests may use only spare capacity, so that they make no other request late.
	lateAdmissionShare = 0.85
)

// Admit reports whether an engine admits a request, given the offset learned for its
// model. A request that can still meet its objective is admitted if the prediction says
// that it will. A request that would be late even on an idle engine, because its time has
// been used up, is admitted only if it makes no other request late. If the engine is too
// slow for any request to meet the objective, it admits requests while a slot is free.
// Prompt tokens above the mean prompt length do not count against their own request, so
// that long prompts are not served less often than short ones.
func (e Engine) Admit(load Load, r Request, offset time.Duration) bool {
	if !e.CanPredict() || r.Objective <= 0 {
		return true
	}
	if load.UnreadTokens == 0 && float64(load.InFlight) < idleShare*float64(e.Slots) {
		return true
	}
	if e.TimeToFirstEvent(Load{}, e.MeanPrompt)+offset > r.Objective {
		// No request can meet the objective here; late responses are better than none.
		return load.InFlight < e.Slots
	}
	prompt := min(r.PromptTokens, e.MeanPrompt)
	idleFirst := e.TimeToFirstEvent(Load{}, prompt) + offset
	reserved := time.Duration(r.Reserved * float64(max(r.Objective-idleFirst, 0)))
	left := r.Objective - reserved - r.Elapsed
	if idleFirst <= left {
		return e.TimeToFirstEvent(load, prompt)+offset <= left
	}
	after := Load{InFlight: load.InFlight + 1, UnreadTokens: load.UnreadTokens + r.PromptTokens, PassTime: load.PassTime}
	maxFirst := time.Duration(lateAdmissionShare * float64(r.Objective))
	return load.InFlight < e.Slots && e.TimeToFirstEvent(after, e.MeanPrompt)+offset <= maxFirst
}
