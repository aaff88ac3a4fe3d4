// Package batch predicts when a model engine with continuous batching sends the first
// event of one more request. Each pass of an engine decodes some tokens for every running
// request and reads (prefills) the prompts of new ones. A request's first event therefore
// waits for the current pass, for the prompts queued ahead of it and for a free slot.
//
// The prediction is needed for bursts of long prompts: the time to read a prompt differs
// by a factor of ten between requests, so an engine that is filled by comparing the number
// of requests with its slots sends all of their first events too late.
//
// The package is pure: it has no clock, no locks and no input or output.
package batch

import "time"

// Engine holds the performance figures that the platform publishes for one model's engine.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// StepsPerPass is the number of token steps in one pass: a pass decodes that many tokens
	// for each running request.
	StepsPerPass int
	// StepTime is the duration of one token step; PerSequence is what each running
	// request adds to it.
	StepTime    time.Duration
	PerSequence time.Duration
	// ReadPerSecond is the number of prompt tokens read per second.
	ReadPerSecond float64
	// MaxReadPerStep is the maximum number of prompt tokens read in one step; 0 while unknown.
	MaxReadPerStep int
	// MeanPrompt and MeanAnswer are the mean token counts of prompts and answers.
	MeanPrompt float64
	MeanAnswer float64
	// Pace is the factor that the platform publishes for the model. All durations are
	// multiplied by it: below 1 is faster. Zero means 1.
	Pace float64
}

// CanPredict reports whether the figures suffice for a prediction.
func (e Engine) CanPredict() bool { return e.Slots > 0 && e.StepTime > 0 && e.ReadPerSecond > 0 }

// Load describes an engine's current load, as far as it is known.
type Load struct {
	// InFlight is the number of requests at the engine, running or waiting.
	InFlight int
	// UnreadTokens is the number of prompt tokens of those that have had no event yet.
	UnreadTokens float64
	// PassTime is the duration of recently observed passes; zero if none was observed.
	PassTime time.Duration
}

// DecodeTime returns the time that one pass spends on decoding for the given number of
// running requests.
func (e Engine) DecodeTime(running int) time.Duration {
	step := e.StepTime + time.Duration(min(running, e.Slots))*e.PerSequence
	return e.scale(float64(max(e.StepsPerPass, 1)) * float64(step))
}

// MaxPassTime returns the duration of a pass that decodes for a full batch and reads as
// many prompt tokens as it can; zero while the figures are unknown.
func (e Engine) MaxPassTime() time.Duration {
	if !e.CanPredict() || e.MaxReadPerStep <= 0 {
		return 0
	}
	return e.DecodeTime(e.Slots) + e.ReadTime(float64(max(e.StepsPerPass, 1)*e.MaxReadPerStep))
}

// ReadTime returns the time that an engine needs to read the given number of prompt tokens.
func (e Engine) ReadTime(tokens float64) time.Duration {
	return e.scale(tokens / e.ReadPerSecond * float64(time.Second))
}

// TimeToFirstEvent predicts the time until the first event of a request whose prompt has
// the given number of tokens. It is the sum of the rest of the current pass (half a pass
// on average), the wait for a slot, the reading of the prompts ahead and of the request's
// own, and the decoding of its first tokens. Observed passes that take longer than the
// engine's figures predict lengthen the first two parts only. The constant overhead of
// the network and the engine is not included; see Offset.
func (e Engine) TimeToFirstEvent(load Load, prompt float64) time.Duration {
	decode := e.DecodeTime(load.InFlight + 1)
	pass := max(decode, load.PassTime)
	return pass/2 + e.slotWait(load.InFlight, pass) + e.ReadTime(load.UnreadTokens+prompt) + decode
}

// ExpectedCompletions predicts how many of the inFlight requests, of typical lengths,
// finish within a time. The engine decodes for those that run, and reads the prompt of
// another one for each that finishes.
func (e Engine) ExpectedCompletions(inFlight int, within time.Duration) float64 {
	running := min(inFlight, e.Slots)
	if running <= 0 {
		return 0
	}
	passes := e.MeanAnswer / float64(max(e.StepsPerPass, 1))
	serviceTime := passes*e.DecodeTime(running).Seconds() + float64(running)*e.ReadTime(e.MeanPrompt).Seconds()
	return float64(running) * min(within.Seconds()/serviceTime, 1)
}

// slotWait returns the expected time until a slot is free for one more request, given the
// duration of a pass. A request of mean length holds its slot for as many passes as its
// answer takes, so while all slots are in use, one becomes free every 1/Slots of that time.
func (e Engine) slotWait(inFlight int, pass time.Duration) time.Duration {
	completions := inFlight + 1 - e.Slots // must happen before the request gets a slot
	if completions <= 0 {
		return 0
	}
	passes := e.MeanAnswer / float64(max(e.StepsPerPass, 1))
	return time.Duration(float64(completions) * passes * float64(pass) / float64(e.Slots))
}

// scale multiplies a duration in nanoseconds by Pace.
func (e Engine) scale(t float64) time.Duration {
	if e.Pace > 0 {
		t *= e.Pace
	}
	return time.Duration(t)
}
