package demand

import (
	"math"
	"time"

	"github.com/marbleroad/marbleroad/internal/batch"
)

// Sizes are the typical sizes of a model's requests.
type Sizes struct {
	prompt, answer, objective mean
}

// mean is a running mean that forgets slowly.
type mean struct {
	value float64
	count int
}

// sizeSmoothing is the weight of the newest request in the mean sizes, once there are enough. One node
// receives one to ten requests of a model per second, so the mean covers the last ten to hundred seconds.
const sizeSmoothing = 0.01

func (m *mean) add(value float64) {
	if value <= 0 {
		return
	}
	m.count++
	m.value += max(sizeSmoothing, 1/float64(m.count)) * (value - m.value)
}

// priorRequests is the number of requests for which the published mean counts in the mean sizes, so that
// the capacity is usable from the first request on and directors with few samples agree.
const priorRequests = 32

// or returns the mean, with the prior value counted as priorRequests samples if it is known.
func (m *mean) or(prior float64) float64 {
	if prior <= 0 {
		return m.value
	}
	n := float64(m.count)
	return (n*m.value + priorRequests*prior) / (n + priorRequests)
}

func (s *Sizes) add(r Request) {
	s.prompt.add(r.PromptTokens)
	s.answer.add(r.AnswerTokens)
	s.objective.add(r.Objective.Seconds())
}

const (
	// lateQuantile is the normal quantile of the load and of the prompts ahead for which a request must
	// still be in time: 9 of 10 requests. The busiest head of nine gets 8 requests in 250 ms at the 90th
	// percentile, with a mean of 4.8.
	lateQuantile = 1.28
	// longPrompt is the ratio of the 90th percentile of the prompts to their mean, for the exponential
	// distribution.
	longPrompt = 2.3
	// maxOverheadShare bounds the overhead as a fraction of the objective. The offset by which first events
	// are late grows with the load, and demand must not rise because heads are overloaded.
	maxOverheadShare = 0.2
	// minWaitFactor bounds the objective by the time to first event of a long prompt at an idle engine. Requests
	// that are late on an idle engine too gain nothing from idle groups, and the utilization must not depend
	// on which side of the objective they are.
	minWaitFactor = 1.5
	// minUtilization bounds the demand in groups if requests are too large for the objective.
	minUtilization = 0.4
)

// Utilization returns the fraction of its time, above 0 and at most 1, that a group can be busy while nine of
// ten requests get their first event within the objective. A full group serves the most requests per second,
// but is late for long prompts. Without an objective, the result is 1. overhead is the time of the network and the engine that batch does not predict.
func Utilization(e batch.Engine, s Sizes, overhead time.Duration) float64 {
	if !e.CanPredict() || s.objective.count == 0 {
		return 1
	}
	objective := time.Duration(s.objective.value * float64(time.Second))
	e.MeanPrompt, e.MeanAnswer = s.prompt.or(e.MeanPrompt), s.answer.or(e.MeanAnswer)
	left := objective - min(overhead, time.Duration(maxOverheadShare*float64(objective)))
	if e.MeanPrompt <= 0 || e.MeanAnswer <= 0 {
		return 1
	}
	idle := e.TimeToFirstEvent(batch.Load{}, longPrompt*e.MeanPrompt)
	left = max(left, time.Duration(minWaitFactor*float64(idle)))
	full := requestsPerSecond(e, e.Slots)
	for running := e.Slots; running >= 1; running-- {
		rate := requestsPerSecond(e, running)
		if rate/full <= minUtilization {
			break
		}
		if firstEvent(e, running, rate) <= left {
			return rate / full
		}
	}
	return minUtilization
}

// requestsPerSecond returns the rate at which an engine finishes requests while the given number is running.
func requestsPerSecond(e batch.Engine, running int) float64 {
	const within = time.Millisecond
	return e.ExpectedCompletions(running, within) / within.Seconds()
}

// firstEvent predicts the time to the first event of a long prompt at an engine with the given mean number of
// running requests, which arrive at the given rate, when the load and the prompts ahead are at lateQuantile.
func firstEvent(e batch.Engine, running int, rate float64) time.Duration {
	// The time of a pass includes the reading of the prompts that arrive during the previous one.
	decode := e.DecodeTime(running)
	reading := min(rate*e.ReadTime(e.MeanPrompt).Seconds(), 0.9) // the fraction of the time spent reading
	pass := time.Duration(float64(decode) / (1 - reading))
	arrivals := rate * pass.Seconds()
	ahead := arrivals/2 + lateQuantile*math.Sqrt(arrivals)
	inFlight := float64(running) + lateQuantile*math.Sqrt(float64(running))
	load := batch.Load{InFlight: int(inFlight), UnreadTokens: ahead * e.MeanPrompt, PassTime: pass}
	return e.TimeToFirstEvent(load, longPrompt*e.MeanPrompt)
}
