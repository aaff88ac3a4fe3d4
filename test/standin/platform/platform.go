// Package platform is a small stand-in for the users' platform: an Object API
// with versions, conditional updates and long-poll watches, and a membership
// list that lags. It counts calls and can be made slow, absent or forgetful.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	api "github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/platform/httpapi"
)

const maxValueBytes = 1 << 20

// Counts are the calls taken so far.
type Counts struct {
	Reads   int
	Writes  int
	Watches int
	Refused int
	// BytesIn and BytesOut are the bodies' sizes.
	BytesIn  int64
	BytesOut int64
}

// Platform is the stand-in. Its methods may be called from any goroutine.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]httpapi.Object
	revision uint64
	changed  chan struct{}
	members  map[string]api.Member
	// lists are what the membership list shows, which lags behind members.
	lists  map[string]api.MemberList
	counts Counts
	// history holds every accepted write of a watched prefix, for checkers.
	history []httpapi.Object

	// down refuses all calls; loseAnswers breaks the connection after this
	// many writes have taken effect.
	down        bool
	hang        bool
	loseAnswers int
	delay       time.Duration
	lag         time.Duration
	limiter     *rate.Limiter
}

// New returns an empty platform without rate limits.
func New() *Platform {
	return &Platform{
		objects: make(map[string]httpapi.Object),
		changed: make(chan struct{}),
		members: make(map[string]api.Member),
		lists:   make(map[string]api.MemberList),
		limiter: rate.NewLimiter(rate.Inf, 0),
	}
}

// SetDown makes all calls fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wake()
}

// SetHang makes all calls wait without an answer until it is lifted.
func (p *Platform) SetHang(hang bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hang = hang
	p.wake()
}

// SetDelay makes all calls slow.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetLag delays the membership list behind the truth.
func (p *Platform) SetLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

// LimitRate refuses calls over this many a second with 429.
func (p *Platform) LimitRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter = rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// LoseAnswers breaks the connection of the next n writes after they took effect.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseAnswers = n
}

// Counts returns the calls taken so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// History returns all accepted writes in order.
func (p *Platform) History() []httpapi.Object {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]httpapi.Object(nil), p.history...)
}

// SetMember adds or changes a VM of the membership list; the list shows it
// after the lag.
func (p *Platform) SetMember(m api.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members[m.VM] = m
	p.publish(m.FailureDomain)
}

// RemoveMember takes a VM out of the membership list.
func (p *Platform) RemoveMember(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[vm]
	delete(p.members, vm)
	p.publish(m.FailureDomain)
}

func (p *Platform) publish(domain string) {
	list := api.MemberList{}
	for _, m := range p.members {
		if m.FailureDomain == domain {
			list.Members = append(list.Members, m)
		}
	}
	sort.Slice(list.Members, func(i, j int) bool { return list.Members[i].VM < list.Members[j].VM })
	show := func() {
		list.Version = p.lists[domain].Version + 1
		p.lists[domain] = list
	}
	if p.lag == 0 {
		show()
		return
	}
	time.AfterFunc(p.lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		show()
	})
}

// wake wakes all waiting watches. The caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r) {
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, httpapi.ObjectsPath) && r.Method == http.MethodGet:
		p.get(w, strings.TrimPrefix(r.URL.Path, httpapi.ObjectsPath))
	case strings.HasPrefix(r.URL.Path, httpapi.ObjectsPath) && r.Method == http.MethodPut:
		p.put(w, r, strings.TrimPrefix(r.URL.Path, httpapi.ObjectsPath))
	case r.URL.Path == httpapi.ListPath:
		p.count(func(c *Counts) { c.Reads++ })
		p.answer(w, p.list(r.URL.Query().Get("prefix"), 0))
	case r.URL.Path == httpapi.WatchPath:
		p.watch(w, r)
	case r.URL.Path == httpapi.MembersPath:
		p.count(func(c *Counts) { c.Reads++ })
		p.mu.Lock()
		list := p.lists[r.URL.Query().Get("failure_domain")]
		p.mu.Unlock()
		if list.Version > 0 && r.URL.Query().Get("known") == strconv.FormatUint(list.Version, 10) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		p.answer(w, list)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) count(f func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.counts)
}

// admit applies outages, delays and the rate limit.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	for p.hang && r.Context().Err() == nil {
		changed := p.changed
		p.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		p.mu.Lock()
	}
	down, delay, limiter := p.down, p.delay, p.limiter
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !limiter.Allow():
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		return true
	}
	p.count(func(c *Counts) { c.Refused++ })
	return false
}

func (p *Platform) answer(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	p.count(func(c *Counts) { c.BytesOut += int64(len(data)) })
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (p *Platform) get(w http.ResponseWriter, key string) {
	p.mu.Lock()
	p.counts.Reads++
	object, ok := p.objects[key]
	p.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.answer(w, object)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request, key string) {
	base, err := strconv.ParseUint(r.Header.Get(httpapi.BaseVersionHeader), 10, 64)
	value, readErr := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || readErr != nil || !json.Valid(value) || len(value) > maxValueBytes {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.counts.Writes++
	p.counts.BytesIn += int64(len(value))
	old := p.objects[key]
	if old.Version != base {
		p.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.revision++
	object := httpapi.Object{Key: key, Version: base + 1, Revision: p.revision, Value: value}
	p.objects[key] = object
	p.history = append(p.history, object)
	p.wake()
	lose := p.loseAnswers > 0
	if lose {
		p.loseAnswers--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	p.answer(w, object)
}

func (p *Platform) list(prefix string, after uint64) httpapi.ObjectList {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := httpapi.ObjectList{Revision: p.revision}
	for key, o := range p.objects {
		if strings.HasPrefix(key, prefix) && o.Revision > after {
			out.Objects = append(out.Objects, o)
		}
	}
	sort.Slice(out.Objects, func(i, j int) bool { return out.Objects[i].Revision < out.Objects[j].Revision })
	return out
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	p.count(func(c *Counts) { c.Watches++ })
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		changed, down := p.changed, p.down || p.hang
		p.mu.Unlock()
		list := p.list(query.Get("prefix"), after)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(list.Objects) > 0 {
			p.answer(w, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			p.answer(w, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}
