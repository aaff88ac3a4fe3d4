// Package platform is a stand-in for the users' platform: an object API with
// versions, conditional updates and long-poll watches, and a membership list
// that can lag. It counts calls, and can be made slow, unavailable, unresponsive
// or to lose responses.
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

// maxValueBytes is the size of the largest value that a write may have; larger ones get 400.
const maxValueBytes = 1 << 20

// Counts are the numbers of calls so far.
type Counts struct {
	// Reads counts reads of objects, lists and membership lists.
	Reads   int
	Writes  int
	Watches int
	// Refused counts the calls that were rejected because the platform was down or the rate limit was exceeded. They
	// aren't counted as reads, writes or watches.
	Refused int
	// BytesIn and BytesOut are the total sizes of the bodies of valid writes and of responses.
	BytesIn  int64
	BytesOut int64
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]httpapi.Object
	revision uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	members map[string]api.Member
	// published holds the membership lists that clients see, by failure domain. They lag behind members.
	published map[string]api.MemberList
	counts    Counts
	// history holds every accepted write, for checkers.
	history []httpapi.Object

	// down makes all calls fail with 503.
	down bool
	// hang makes all calls wait.
	hang bool
	// responsesToLose is the number of writes whose connection is still to be broken after they took effect.
	responsesToLose int
	delay           time.Duration
	lag             time.Duration
	limiter         *rate.Limiter
}

// New returns an empty platform without rate limits.
func New() *Platform {
	return &Platform{
		objects:   make(map[string]httpapi.Object),
		changed:   make(chan struct{}),
		members:   make(map[string]api.Member),
		published: make(map[string]api.MemberList),
		limiter:   rate.NewLimiter(rate.Inf, 0),
	}
}

// SetDown sets whether all calls fail with 503, also the watches that are already waiting.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatchers()
}

// SetHang sets whether all new calls wait without a response. Watches that are already waiting get 503.
func (p *Platform) SetHang(hang bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hang = hang
	p.notifyWatchers()
}

// SetDelay delays all calls.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetLag sets the delay after which the membership list shows a change.
func (p *Platform) SetLag(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = d
}

// LimitRate rejects calls above the rate with 429. It allows bursts of one second's calls.
func (p *Platform) LimitRate(perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter = rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// LoseResponses breaks the connection of the next n writes after they took effect.
func (p *Platform) LoseResponses(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.responsesToLose = n
}

// Counts returns the numbers of calls so far.
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

// SetMember adds or changes a VM of the membership list. Clients see the change after the lag.
func (p *Platform) SetMember(m api.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members[m.VM] = m
	p.publish(m.FailureDomain)
}

// RemoveMember removes a VM from the membership list. Clients see the change after the lag.
func (p *Platform) RemoveMember(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[vm]
	delete(p.members, vm)
	p.publish(m.FailureDomain)
}

// publish builds a failure domain's membership list and publishes it after the lag. The caller must hold p.mu.
func (p *Platform) publish(domain string) {
	list := api.MemberList{}
	for _, m := range p.members {
		if m.FailureDomain == domain {
			list.Members = append(list.Members, m)
		}
	}
	sort.Slice(list.Members, func(i, j int) bool { return list.Members[i].VM < list.Members[j].VM })
	publishList := func() {
		list.Version = p.published[domain].Version + 1
		p.published[domain] = list
	}
	if p.lag == 0 {
		publishList()
		return
	}
	time.AfterFunc(p.lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		publishList()
	})
}

// notifyWatchers wakes all waiting calls. The caller must hold p.mu.
func (p *Platform) notifyWatchers() {
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
		p.respond(w, p.list(r.URL.Query().Get("prefix"), 0))
	case r.URL.Path == httpapi.WatchPath:
		p.watch(w, r)
	case r.URL.Path == httpapi.MembersPath:
		p.count(func(c *Counts) { c.Reads++ })
		p.mu.Lock()
		list := p.published[r.URL.Query().Get("failure_domain")]
		p.mu.Unlock()
		if list.Version > 0 && r.URL.Query().Get("known") == strconv.FormatUint(list.Version, 10) {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		p.respond(w, list)
	default:
		http.NotFound(w, r)
	}
}

func (p *Platform) count(f func(*Counts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.counts)
}

// admit applies outages, delays and the rate limit to a call, and reports whether it may proceed.
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

func (p *Platform) respond(w http.ResponseWriter, v any) {
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
	p.respond(w, object)
}

// put writes a value if the version that the request names as its base is the object's current version; otherwise it
// responds 412.
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
	p.notifyWatchers()
	lose := p.responsesToLose > 0
	if lose {
		p.responsesToLose--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	p.respond(w, object)
}

// list returns the objects under the prefix that changed after the revision.
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

// watch responds with the changes under a prefix after a revision, as soon as there are any, and with an empty list
// after the query's wait_ms.
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
			p.respond(w, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			p.respond(w, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}
