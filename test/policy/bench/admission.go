// Package bench simulates the scheduling policies with synthetic arrivals and
// failures in virtual time and compares each with simpler baselines. It models
// one service, one fabric domain or one limit at a time, never a cluster.
package bench

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/marbleroad/marbleroad/internal/admission"
)

// Team is one source of requests.
type Team struct {
	Name     string
	Weight   int
	Priority int
	// Rate is the number of arrivals per second.
	Rate float64
	// Deadline is the time from a request's arrival to its deadline.
	Deadline time.Duration
	// Retries is how often a rejected request is retried after its Retry-After.
	Retries int
}

// Service describes the simulated service.
type Service struct {
	Slots int
	Queue int
	// Mean is the mean service time; service times are exponential.
	Mean time.Duration
}

// Capacity returns how many requests per second the service can finish.
func (s Service) Capacity() float64 { return float64(s.Slots) / s.Mean.Seconds() }

// Outcome counts a team's requests by their results.
type Outcome struct {
	Arrived int
	// Met counts requests that finished before their deadline.
	Met int
	// Late counts requests that finished after it, Refused those that never ran.
	Late    int
	Refused int
	// Retried counts retries after a Retry-After, RetriedServed those of them that ran.
	Retried       int
	RetriedServed int
}

// Goodput returns the fraction of the arrivals that met their deadline.
func (o Outcome) Goodput() float64 { return float64(o.Met) / float64(max(o.Arrived, 1)) }

// MissRate returns the fraction of the arrivals that did not meet their deadline.
func (o Outcome) MissRate() float64 { return 1 - o.Goodput() }

// admitter is an admission policy: the product's priority order, or the baseline.
type admitter interface {
	offer(now time.Time, r admission.Request) (ticket, displaced *admission.Ticket)
	finish(now time.Time, t *admission.Ticket) (next, refused []*admission.Ticket)
}

// priorityAdmission is the product's policy.
type priorityAdmission struct{ q *admission.Queue }

func newPriorityAdmission(s Service) admitter {
	q := admission.NewQueue()
	q.Resize(epoch, s.Slots, s.Queue)
	return priorityAdmission{q}
}

func (o priorityAdmission) offer(now time.Time, r admission.Request) (ticket, displaced *admission.Ticket) {
	return o.q.Offer(now, r)
}

func (o priorityAdmission) finish(now time.Time, t *admission.Ticket) (next, refused []*admission.Ticket) {
	return o.q.Finish(now, t)
}

// fifoAdmission is the baseline: first come first served with a queue of fixed
// length and a fixed Retry-After.
type fifoAdmission struct {
	service Service
	running int
	waiting []*admission.Ticket
}

const fixedRetryAfter = time.Second

func newFIFOAdmission(s Service) admitter { return &fifoAdmission{service: s} }

func (f *fifoAdmission) offer(_ time.Time, r admission.Request) (ticket, displaced *admission.Ticket) {
	t := &admission.Ticket{Request: r}
	switch {
	case f.running < f.service.Slots:
		f.running++
		t.State = admission.Running
	case len(f.waiting) < f.service.Queue:
		t.State = admission.Waiting
		f.waiting = append(f.waiting, t)
	default:
		t.State = admission.Refused
		t.Refusal = admission.Refusal{Reason: admission.QueueFull, RetryAfter: fixedRetryAfter}
	}
	return t, nil
}

func (f *fifoAdmission) finish(_ time.Time, t *admission.Ticket) (next, refused []*admission.Ticket) {
	t.State = admission.Done
	f.running--
	if len(f.waiting) == 0 {
		return nil, nil
	}
	first := f.waiting[0]
	f.waiting = f.waiting[1:]
	first.State = admission.Running
	f.running++
	return []*admission.Ticket{first}, nil
}

var epoch = time.Unix(1e9, 0)

// job is one request that arrives, waits or runs.
type job struct {
	team     *Team
	deadline time.Time
	retries  int
}

// admissionRun simulates one policy.
type admissionRun struct {
	service Service
	policy  admitter
	random  *rand.Rand
	timeline
	jobs map[*admission.Ticket]*job
	out  map[string]*Outcome
	end  time.Time
}

// Policy names an admission policy.
type Policy string

// The admission policies.
const (
	PriorityOrder Policy = "priority order"
	FirstCome     Policy = "first come first served"
)

// Admission simulates the teams' requests for the given time and returns each
// team's outcome. Equal seeds give equal arrivals.
func Admission(p Policy, s Service, teams []Team, length time.Duration, seed uint64) map[string]Outcome {
	newAdmitter := newPriorityAdmission
	if p == FirstCome {
		newAdmitter = newFIFOAdmission
	}
	r := &admissionRun{
		service: s,
		policy:  newAdmitter(s),
		random:  rand.New(rand.NewPCG(seed, seed)),
		jobs:    make(map[*admission.Ticket]*job),
		out:     make(map[string]*Outcome),
		end:     epoch.Add(length),
	}
	r.arrivals(teams)
	r.run()
	out := make(map[string]Outcome)
	for name, o := range r.out {
		out[name] = *o
	}
	return out
}

func (r *admissionRun) arrivals(teams []Team) {
	for i := range teams {
		t := &teams[i]
		r.out[t.Name] = &Outcome{}
		at := epoch
		for {
			at = at.Add(r.exponential(1 / t.Rate))
			if at.After(r.end) {
				break
			}
			r.scheduleArrival(at, &job{team: t, deadline: at.Add(t.Deadline)})
		}
	}
}

func (r *admissionRun) exponential(mean float64) time.Duration {
	return time.Duration(r.random.ExpFloat64() * mean * float64(time.Second))
}

// scheduleArrival schedules the arrival of a request.
func (r *admissionRun) scheduleArrival(at time.Time, j *job) {
	r.schedule(at, func() { r.arrive(at, j) })
}

func (r *admissionRun) arrive(now time.Time, j *job) {
	o := r.out[j.team.Name]
	if j.retries == 0 {
		o.Arrived++
	} else {
		o.Retried++
	}
	ticket, displaced := r.policy.offer(now, admission.Request{
		Team:     j.team.Name,
		Weight:   j.team.Weight,
		Priority: j.team.Priority,
		Deadline: j.deadline,
	})
	r.jobs[ticket] = j
	switch ticket.State {
	case admission.Running:
		r.start(now, ticket)
	case admission.Refused:
		r.reject(now, ticket)
	}
	if displaced != nil {
		r.reject(now, displaced)
	}
}

func (r *admissionRun) start(now time.Time, t *admission.Ticket) {
	if r.jobs[t].retries > 0 {
		r.out[r.jobs[t].team.Name].RetriedServed++
	}
	end := now.Add(r.exponential(r.service.Mean.Seconds()))
	r.schedule(end, func() { r.finish(end, t) })
}

func (r *admissionRun) reject(now time.Time, t *admission.Ticket) {
	j := r.jobs[t]
	delete(r.jobs, t)
	if j.retries >= j.team.Retries {
		r.out[j.team.Name].Refused++
		return
	}
	at := now.Add(t.Refusal.RetryAfter)
	r.scheduleArrival(at, &job{team: j.team, retries: j.retries + 1, deadline: at.Add(j.team.Deadline)})
}

func (r *admissionRun) finish(now time.Time, ticket *admission.Ticket) {
	j := r.jobs[ticket]
	delete(r.jobs, ticket)
	o := r.out[j.team.Name]
	if now.After(j.deadline) {
		o.Late++
	} else {
		o.Met++
	}
	next, refused := r.policy.finish(now, ticket)
	for _, t := range next {
		r.start(now, t)
	}
	for _, t := range refused {
		r.reject(now, t)
	}
}

// Total returns the sum of the outcomes.
func Total(all map[string]Outcome) Outcome {
	var sum Outcome
	for _, o := range all {
		sum.Arrived += o.Arrived
		sum.Met += o.Met
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.Retried += o.Retried
		sum.RetriedServed += o.RetriedServed
	}
	return sum
}

// OverloadTeams returns the teams of the overload scenario: two large ones that
// cause it, a small one within its share, and an urgent one. load is the total
// demand as a multiple of the capacity.
func OverloadTeams(s Service, load float64) []Team {
	c := s.Capacity()
	perLargeTeam := (load - 0.15) / 2 * c
	return []Team{
		{Name: "large-1", Weight: 1, Priority: 5, Rate: perLargeTeam, Deadline: 2 * time.Second},
		{Name: "large-2", Weight: 1, Priority: 5, Rate: perLargeTeam, Deadline: 2 * time.Second},
		{Name: "small", Weight: 1, Priority: 5, Rate: 0.05 * c, Deadline: 2 * time.Second},
		{Name: "urgent", Weight: 1, Priority: 9, Rate: 0.10 * c, Deadline: 2 * time.Second},
	}
}

// Names returns the sorted keys.
func Names[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
