package batch

import "time"

// Others describes the prompts that other nodes send to an engine.
type Others struct {
	// UnreadTokens is the number of prompt tokens that they last reported as unread, and Age the age of the
	// reports.
	UnreadTokens float64
	Age          time.Duration
	// TokensPerSecond is the estimated rate at which they send prompt tokens to the engine.
	TokensPerSecond float64
}

// Unread estimates how many prompt tokens of the other nodes are unread now. A pass reads the prompts that
// were there when it started, up to MaxReadPerStep, so that in a typical pass the reported prompts are
// replaced by those sent since: the estimate is what is left of the former, and what arrived within
// the age of the reports or the last two passes, whichever is shorter. Two passes is the longest time for which
// a prompt waits at an engine that reads all prompts in each pass.
func (e Engine) Unread(o Others, running int) float64 {
	if !e.CanPredict() {
		return 0
	}
	pass := e.DecodeTime(running)
	if limit := e.readLimit(); limit > 0 {
		pass += e.ReadTime(min(o.UnreadTokens, limit))
	} else {
		pass += e.ReadTime(o.UnreadTokens)
	}
	left := o.UnreadTokens * (1 - o.Age.Seconds()/max(2*pass, time.Millisecond).Seconds())
	return max(left, 0) + o.TokensPerSecond*min(o.Age, 2*pass).Seconds()
}

// LongestPass predicts the longest pass of an engine if a request with the given prompt is sent to it: a pass
// decodes for all running requests, and reads the unread prompts and that of the request, at most
// MaxReadPerStep tokens in each step. It is how long the streams that run there wait for an event. Zero means
// that the figures allow no prediction.
func (e Engine) LongestPass(load Load, prompt float64) time.Duration {
	if !e.CanPredict() {
		return 0
	}
	tokens := load.UnreadTokens + prompt
	if limit := e.readLimit(); limit > 0 {
		tokens = min(tokens, limit)
	}
	return e.DecodeTime(load.InFlight+1) + e.ReadTime(tokens)
}

// readLimit returns the maximum number of prompt tokens that one pass reads; zero while it is unknown.
func (e Engine) readLimit() float64 {
	return float64(max(e.StepsPerPass, 1) * max(e.MaxReadPerStep, 0))
}
