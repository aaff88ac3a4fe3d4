// Package catalog holds the operators' configuration under one version:
// routes, services, models and teams. A Catalog is immutable once built, so
// any goroutine may read it.
package catalog

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks a configuration that cannot be put in force.
var ErrInvalid = errors.New("invalid catalog")

// Kind determines whether a route's requests may run more than once, and whether their responses are streams.
type Kind uint8

const (
	// NonIdempotent requests run at most once. It is the zero value, so that a
	// route without a known kind gets the safest treatment.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests have a sequence of events as their response.
	Stream
)

// String returns the kind's name for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "non-idempotent"
}

// Target is one service to which a route sends requests.
type Target struct {
	Service string
	// Weight is the target's share of the route's requests, relative to the other targets.
	Weight int
}

// Route defines how requests of one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may be continued at another upstream.
	Resumable bool
	// Timeout bounds the total duration of a request.
	Timeout time.Duration
	// Objective is the time within which a response, or a stream's first
	// event, counts as on time.
	Objective time.Duration
	// PauseObjective is the longest pause between a stream's events that still
	// counts as on time; zero for none.
	PauseObjective time.Duration
	// Priority is the priority of the requests; 0 is the highest.
	Priority int
	// Attempts is the maximum number of upstreams that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Homes are the regions whose upstreams may run the requests.
	Homes   Homes
	Targets []Target
}

// Homes are the regions to which the requests of a route or a team are restricted. Nil means all regions;
// an empty list means none.
type Homes []string

// Allow reports whether requests may go to a region. An empty name is a region that is not known.
func (h Homes) Allow(region string) bool {
	return h == nil || (region != "" && slices.Contains(h, region))
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Model is one model that a service's groups can run.
type Model struct {
	Name string
	// Size is the number of VMs of a group.
	Size int
	// Share is the expected fraction of the service's VMs that the model's work
	// takes up, 0 to 1.
	Share float64
	// Pace is a factor by which all times of the group are multiplied; below 1 is faster.
	Pace float64
	// LoadTime is how long a VM takes to load the weights from the weight store.
	LoadTime time.Duration
	// WarmTime is how long a VM takes to load the weights from a copy on its host.
	WarmTime time.Duration
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests a group runs at once.
	Slots int
	// StepTime is the duration of one token step, and PerSequence the time that each
	// running request adds to it.
	StepTime    time.Duration
	PerSequence time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second.
	ReadPerSecond float64
	// MaxReadPerStep is the maximum number of prompt tokens that one step reads; 0 while unknown.
	MaxReadPerStep int
	// StepsPerPass is the number of token steps in one pass.
	StepsPerPass int
	// LoadsAtOnce is how many loads from the weight store run at full speed.
	LoadsAtOnce int
	// MeanPrompt and MeanAnswer are the mean token counts of a prompt and a response.
	MeanPrompt float64
	MeanAnswer float64
	// FormTime is how long a head takes until it accepts requests.
	FormTime time.Duration
	Models   []Model
}

// Model returns the model of the given name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, m := range e.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Warmup describes a service whose upstreams crash if they get too many requests soon after a start.
type Warmup struct {
	// Duration is how long an upstream takes to warm up.
	Duration time.Duration
	// Rate is how many requests per second it tolerates until then; zero for no limit.
	Rate float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is how many connections one upstream accepts from all callers together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
	// Warmup describes how the upstreams behave after a start.
	Warmup Warmup
	// LongestTimeout is the longest timeout of any route to the service; New fills it in.
	LongestTimeout time.Duration
	// TopPriority is the highest priority (lowest number) of any route to the service
	// or of any team; New fills it in.
	TopPriority int
}

// Team is a group of callers with API keys of its own.
type Team struct {
	Name string
	// Priority overrides the route's priority; nil keeps the route's.
	Priority *int
	// Homes are the regions whose upstreams may run the team's requests.
	Homes Homes
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Content is the input from which New builds a Catalog.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keys maps each key to its team. A nil map means that no route needs a key.
	Keys map[string]Team
	// Document is the encoded form that the content was decoded from. Other nodes that read the
	// configuration from this node receive it.
	Document []byte
}

// Catalog is one version of the configuration, indexed for lookups.
type Catalog struct {
	version uint64
	limits  Limits
	// keys maps each key to its team.
	keys map[string]Team
	// hosts maps each host to its routes by path prefix.
	hosts    map[string]map[string]*Route
	services map[string]*Service
	// routes is the number of routes.
	routes   int
	document []byte
}

// New validates the content and indexes it. Its errors are marked ErrInvalid.
func New(c Content) (*Catalog, error) {
	out := &Catalog{
		version:  c.Version,
		limits:   c.Limits,
		keys:     c.Keys,
		hosts:    make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(c.Services)),
		routes:   len(c.Routes),
		document: c.Document,
	}
	for i := range c.Services {
		out.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		if err := out.addRoute(&c.Routes[i]); err != nil {
			return nil, err
		}
	}
	out.setTopPriorities(c.Routes)
	return out, nil
}

// Document returns the operators' document that the catalog was decoded from.
func (c *Catalog) Document() []byte { return c.document }

// setTopPriorities sets each service's highest priority.
func (c *Catalog) setTopPriorities(routes []Route) {
	seen := make(map[string]bool)
	record := func(s *Service, priority int) {
		if !seen[s.Name] || priority < s.TopPriority {
			s.TopPriority = priority
		}
		seen[s.Name] = true
	}
	for _, r := range routes {
		for _, t := range r.Targets {
			record(c.services[t.Service], r.Priority)
		}
	}
	for _, team := range c.keys {
		if team.Priority == nil {
			continue
		}
		for _, s := range c.services {
			record(s, *team.Priority)
		}
	}
}

// addRoute validates a route, adds it to the index by host and prefix, and raises the LongestTimeout of
// its services to the route's timeout.
func (c *Catalog) addRoute(r *Route) error {
	if len(r.Prefix) == 0 || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/' {
		return errors.Wrapf(ErrInvalid, "route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return errors.Wrapf(ErrInvalid, "route %s has no service", r.Name)
	}
	for _, t := range r.Targets {
		service := c.services[t.Service]
		if service == nil {
			return errors.Wrapf(ErrInvalid, "route %s: no service %q", r.Name, t.Service)
		}
		service.LongestTimeout = max(service.LongestTimeout, r.Timeout)
	}
	byPrefix := c.hosts[r.Host]
	if byPrefix == nil {
		byPrefix = make(map[string]*Route)
		c.hosts[r.Host] = byPrefix
	}
	byPrefix[r.Prefix] = r
	return nil
}

// Version returns the configuration's version; higher is newer.
func (c *Catalog) Version() uint64 { return c.version }

// Limits returns the bounds on what callers may send.
func (c *Catalog) Limits() Limits { return c.limits }

// RouteCount returns the number of routes.
func (c *Catalog) RouteCount() int { return c.routes }

// Routes returns all routes, sorted by host and prefix. They must not be changed.
func (c *Catalog) Routes() []*Route {
	out := make([]*Route, 0, c.routes)
	for _, byPrefix := range c.hosts {
		for _, r := range byPrefix {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].Host != out[k].Host {
			return out[i].Host < out[k].Host
		}
		return out[i].Prefix < out[k].Prefix
	})
	return out
}

// Teams returns the sorted names of the teams that have keys.
func (c *Catalog) Teams() []string {
	names := make(map[string]bool)
	for _, t := range c.keys {
		names[t.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// TeamHomes returns the homes of the teams that have some, by team.
func (c *Catalog) TeamHomes() map[string]Homes {
	out := make(map[string]Homes)
	for _, t := range c.keys {
		if t.Homes != nil {
			out[t.Name] = t.Homes
		}
	}
	return out
}

// KeysRequired reports whether routes that are not public need a key.
func (c *Catalog) KeysRequired() bool { return c.keys != nil }

// Team returns the team that a key belongs to.
func (c *Catalog) Team(key string) (Team, bool) {
	t, ok := c.keys[key]
	return t, ok
}

// Service returns the service of the given name; nil when there is none.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Services returns all services by name. The map must not be changed.
func (c *Catalog) Services() map[string]*Service { return c.services }

// Match returns the host's route with the longest prefix that matches the
// path; nil for none. The path is compared byte for byte as the caller sent it.
func (c *Catalog) Match(host, path string) *Route {
	byPrefix := c.hosts[host]
	if byPrefix == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := byPrefix[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Pick chooses the route's service by weight; draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(max(t.Weight, 0))
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}
