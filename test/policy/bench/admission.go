// Package bench drives the pure policies with made-up arrivals and failures in
// virtual time, each against a simpler rival. It models one service, one
// fabric domain or one limit at a time, never a cluster.
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
	// Rate is the arrivals per second.
	Rate float64
	// Deadline is counted from the arrival.
	Deadline time.Duration
	// Retries is how often a refused request comes back when told.
	Retries int
}

// Service is what serves the requests.
type Service struct {
	Slots int
	Queue int
	// Mean is the mean time of a request; times are exponential.
	Mean time.Duration
}

// Capacity returns the requests per second that the service can finish.
func (s Service) Capacity() float64 { return float64(s.Slots) / s.Mean.Seconds() }

// Outcome counts what came of a team's requests.
type Outcome struct {
	Arrived int
	// Good are those finished before their deadline.
	Good int
	// Late were finished after it, Refused never run.
	Late    int
	Refused int
	// Returned came back as told, and ReturnedServed were then run.
	Returned       int
	ReturnedServed int
}

// Goodput returns the part of the arrivals that was good.
func (o Outcome) Goodput() float64 { return float64(o.Good) / float64(max(o.Arrived, 1)) }

// MissRate returns the part of the arrivals that was not good.
func (o Outcome) MissRate() float64 { return 1 - o.Goodput() }

// admitter is admission in order of worth, or its rival.
type admitter interface {
	offer(now time.Time, r admission.Request) (ticket, displaced *admission.Ticket)
	finish(now time.Time, t *admission.Ticket) (next, refused []*admission.Ticket)
}

// orderOfWorth is the product's policy.
type orderOfWorth struct{ q *admission.Queue }

func newOrderOfWorth(s Service) admitter {
	q := admission.NewQueue()
	q.Resize(epoch, s.Slots, s.Queue)
	return orderOfWorth{q}
}

func (o orderOfWorth) offer(now time.Time, r admission.Request) (ticket, displaced *admission.Ticket) {
	return o.q.Offer(now, r)
}

func (o orderOfWorth) finish(now time.Time, t *admission.Ticket) (next, refused []*admission.Ticket) {
	return o.q.Finish(now, t)
}

// firstCome is the rival: first come first served behind a fixed limit, with a
// fixed time to come back.
type firstCome struct {
	service Service
	running int
	waiting []*admission.Ticket
}

const fixedRetryAfter = time.Second

func newFirstCome(s Service) admitter { return &firstCome{service: s} }

func (f *firstCome) offer(_ time.Time, r admission.Request) (ticket, displaced *admission.Ticket) {
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

func (f *firstCome) finish(_ time.Time, t *admission.Ticket) (next, refused []*admission.Ticket) {
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

// job is one request on its way.
type job struct {
	team     *Team
	deadline time.Time
	returns  int
}

// admissionRun is one run of one policy.
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
	OrderOfWorth Policy = "order of worth"
	FirstCome    Policy = "first come first served"
)

// Admission runs the teams' requests for the given time and returns what came
// of each team's. Equal seeds give equal arrivals.
func Admission(p Policy, s Service, teams []Team, length time.Duration, seed uint64) map[string]Outcome {
	make1 := newOrderOfWorth
	if p == FirstCome {
		make1 = newFirstCome
	}
	r := &admissionRun{
		service: s,
		policy:  make1(s),
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
			r.plan(at, &job{team: t, deadline: at.Add(t.Deadline)})
		}
	}
}

func (r *admissionRun) exponential(mean float64) time.Duration {
	return time.Duration(r.random.ExpFloat64() * mean * float64(time.Second))
}

// plan lets a request arrive.
func (r *admissionRun) plan(at time.Time, j *job) {
	r.at(at, func() { r.arrive(at, j) })
}

func (r *admissionRun) arrive(now time.Time, j *job) {
	o := r.out[j.team.Name]
	if j.returns == 0 {
		o.Arrived++
	} else {
		o.Returned++
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
		r.begin(now, ticket)
	case admission.Refused:
		r.refused(now, ticket)
	}
	if displaced != nil {
		r.refused(now, displaced)
	}
}

func (r *admissionRun) begin(now time.Time, t *admission.Ticket) {
	if r.jobs[t].returns > 0 {
		r.out[r.jobs[t].team.Name].ReturnedServed++
	}
	end := now.Add(r.exponential(r.service.Mean.Seconds()))
	r.at(end, func() { r.finished(end, t) })
}

func (r *admissionRun) refused(now time.Time, t *admission.Ticket) {
	j := r.jobs[t]
	delete(r.jobs, t)
	if j.returns >= j.team.Retries {
		r.out[j.team.Name].Refused++
		return
	}
	at := now.Add(t.Refusal.RetryAfter)
	r.plan(at, &job{team: j.team, returns: j.returns + 1, deadline: at.Add(j.team.Deadline)})
}

func (r *admissionRun) finished(now time.Time, ticket *admission.Ticket) {
	j := r.jobs[ticket]
	delete(r.jobs, ticket)
	o := r.out[j.team.Name]
	if now.After(j.deadline) {
		o.Late++
	} else {
		o.Good++
	}
	next, refused := r.policy.finish(now, ticket)
	for _, t := range next {
		r.begin(now, t)
	}
	for _, t := range refused {
		r.refused(now, t)
	}
}

// Total sums outcomes.
func Total(all map[string]Outcome) Outcome {
	var sum Outcome
	for _, o := range all {
		sum.Arrived += o.Arrived
		sum.Good += o.Good
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.Returned += o.Returned
		sum.ReturnedServed += o.ReturnedServed
	}
	return sum
}

// FloodTeams are the teams of the flood: two large ones that flood, a small
// one within its share, and an urgent one. load is the whole demand as a
// multiple of the capacity.
func FloodTeams(s Service, load float64) []Team {
	c := s.Capacity()
	flood := (load - 0.15) / 2 * c
	return []Team{
		{Name: "large-1", Weight: 1, Priority: 5, Rate: flood, Deadline: 2 * time.Second},
		{Name: "large-2", Weight: 1, Priority: 5, Rate: flood, Deadline: 2 * time.Second},
		{Name: "small", Weight: 1, Priority: 5, Rate: 0.05 * c, Deadline: 2 * time.Second},
		{Name: "urgent", Weight: 1, Priority: 9, Rate: 0.10 * c, Deadline: 2 * time.Second},
	}
}

// Names returns the keys in order.
func Names[T any](m map[string]T) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
