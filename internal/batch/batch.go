// Package batch predicts how a model engine that works in passes serves one more
// request. An engine's pass writes some tokens for all requests that are running
// and reads the prompts of new ones in between, so a request's first event waits
// for the pass under way, for the prompts ahead of it and for a place.
//
// It answers the load pattern of a burst of long prompts: two requests of the same
// count differ by ten times in reading, and counting them beside the slots fills
// engines whose callers then all get their first event too late.
//
// The package is pure: it has no clock, no locks and no input or output.
package batch

import "time"

// Engine is what the platform publishes of one model's engine.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// Stride is how many token steps one pass has.
	Stride int
	// StepTime is the time of one token step, PerSequence what each running
	// request adds to it.
	StepTime    time.Duration
	PerSequence time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second.
	ReadPerSecond float64
	// Chunk is how many prompt tokens are read in one step at most; 0 while unknown.
	Chunk int
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt float64
	UsualAnswer float64
	// Pace is a factor on all times; below 1 is faster.
	Pace float64
}

// Known reports whether the figures suffice for a prediction.
func (e Engine) Known() bool { return e.Slots > 0 && e.StepTime > 0 && e.ReadPerSecond > 0 }

// Work is what is known of an engine's load.
type Work struct {
	// InFlight is the requests there, running or waiting.
	InFlight int
	// Unread is the prompt tokens of those that have had no event yet.
	Unread float64
	// Pass is how long passes were lately seen to take; zero when none was seen.
	Pass time.Duration
}

// Decode is the time that one pass writes for a number of running requests.
func (e Engine) Decode(running int) time.Duration {
	step := e.StepTime + time.Duration(min(running, e.Slots))*e.PerSequence
	return e.scale(float64(max(e.Stride, 1)) * float64(step))
}

// LongestPass is the time of a pass that writes for a full batch and reads as much as it
// can; zero while the figures don't tell.
func (e Engine) LongestPass() time.Duration {
	if !e.Known() || e.Chunk <= 0 {
		return 0
	}
	return e.Decode(e.Slots) + e.Read(float64(max(e.Stride, 1)*e.Chunk))
}

// Read is the time that the reading of prompt tokens takes.
func (e Engine) Read(tokens float64) time.Duration {
	return e.scale(tokens / e.ReadPerSecond * float64(time.Second))
}

// First is the time until the first event of a request with so many prompt tokens:
// the rest of the pass under way, half of it in the mean; a place; the reading of
// the prompts ahead and of its own; and the pass that writes its first tokens. What
// the network and the engine add to each request alike is not in it.
func (e Engine) First(w Work, prompt float64) time.Duration {
	decode := e.Decode(w.InFlight + 1)
	pass := max(decode, w.Pass)
	return pass/2 + e.place(w.InFlight, pass) + e.Read(w.Unread+prompt) + decode
}

// Ended is how many of so many usual requests end within a time: the engine writes for those that run,
// and reads the prompt of one more for each that ends.
func (e Engine) Ended(inFlight int, within time.Duration) float64 {
	running := min(inFlight, e.Slots)
	if running <= 0 {
		return 0
	}
	passes := e.UsualAnswer / float64(max(e.Stride, 1))
	life := passes*e.Decode(running).Seconds() + float64(running)*e.Read(e.UsualPrompt).Seconds()
	return float64(running) * min(within.Seconds()/life, 1)
}

// place is the time until a place is free: with full slots, one is freed each time
// that one of the running answers ends.
func (e Engine) place(inFlight int, pass time.Duration) time.Duration {
	ahead := inFlight + 1 - e.Slots
	if ahead <= 0 {
		return 0
	}
	passes := e.UsualAnswer / float64(max(e.Stride, 1))
	return time.Duration(float64(ahead) * passes * float64(pass) / float64(e.Slots))
}

func (e Engine) scale(t float64) time.Duration {
	if e.Pace > 0 {
		t *= e.Pace
	}
	return time.Duration(t)
}
