// Package settings reads and validates the daemons' INI file. Keys describes every
// key; docs/CONFIGURATION.md is generated from it.
package settings

import (
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// ErrInvalid marks every error of Load: a file that cannot be read or parsed, and the
// validation errors of a file.
var ErrInvalid = errors.New("invalid settings")

// Node holds the identity of this VM.
type Node struct {
	ID            string
	FailureDomain string
	// Processor is the number of processor cores, or the fraction of one, that the node may use; 0 if it is not specified.
	Processor float64
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Memory is the number of megabytes that each process on the node may use; 0 if it is not specified.
	Memory float64
	// Descriptors is the number of open descriptors that each process may have; 0 is the limit that the system sets.
	Descriptors int
}

// Platform holds the settings for calls to the platform.
type Platform struct {
	URL string
	// Timeout is the timeout of a write, of the start of any other response, besides the
	// time that a watch waits, and of each pause within a response.
	Timeout time.Duration
	// WatchWait is how long one watch waits for changes.
	WatchWait time.Duration
	// Evacuations is true if operators may evacuate failure domains by entries on the platform.
	Evacuations bool
}

// Entry holds the settings of marbleroad-entry.
type Entry struct {
	Listen string
	Admin  string
	Peer   string
	// Advertise is the address under which others reach Peer; Peer itself when empty.
	Advertise string
	Control   []string
	// ViewInterval is the interval at which the entry reads a control daemon's view.
	ViewInterval time.Duration
	// BalancerDelay is how long the balancer may still send requests after
	// readiness is withdrawn.
	BalancerDelay time.Duration
	// ShutdownLimit is how long a stop waits for requests in flight.
	ShutdownLimit time.Duration
	// Linger is how long a stop keeps an idle connection open after its last response.
	Linger time.Duration
	// BodyTimeout is the timeout for reading a request's body.
	BodyTimeout time.Duration
	// MaxBody is the maximum size of a request's body, in bytes.
	MaxBody int64
}

// Control holds the settings of marbleroad-control.
type Control struct {
	Listen string
	Admin  string
	// Advertise is the address under which others reach Listen; Listen itself when empty.
	Advertise string
	Seeds     []string
	// OperatorTokenSHA256 is the hex SHA-256 of the operators' bearer token.
	OperatorTokenSHA256 string
	ProbeInterval       time.Duration
	ProbeTimeout        time.Duration
	ExchangeInterval    time.Duration
	MembersInterval     time.Duration
	// MaxLoading is the maximum number of VMs of a fabric domain that load weights at once.
	MaxLoading int
}

// Gateway holds the settings of marbleroad-node for callers and upstreams.
type Gateway struct {
	Listen string
	// Ready is the address at which the balancer checks the readiness of this VM.
	Ready string
	Admin string
	// BalancerDelay is how long the balancer may still send requests after
	// readiness is withdrawn.
	BalancerDelay time.Duration
	// Linger is how long a stop keeps an idle connection open after its last response.
	Linger time.Duration
	// StopGrace is the time from the stop signal until the platform kills the process.
	StopGrace time.Duration
	// RevokeBound is the time within which a revoked key must be rejected everywhere. At
	// zero, keys are accepted even if the configuration is not verified to be the newest.
	RevokeBound time.Duration
	// ChangeBound is the time within which a new configuration must be in force everywhere. Requests are refused for
	// good only by a configuration that was verified to be the newest within it. Zero means no bound.
	ChangeBound time.Duration
	// RepeatRatio, RepeatExtra and RepeatWindow are the retry budget over all nodes.
	RepeatRatio  float64
	RepeatExtra  float64
	RepeatWindow time.Duration
	// WarmupExcess and WarmupSlack bound the requests to an upstream that is warming up, over all
	// nodes: in any second at most WarmupExcess times the rate that its service tolerates, and
	// WarmupSlack more.
	WarmupExcess float64
	WarmupSlack  float64
	// Heartbeat is how often an upstream VM renews its entry in the list.
	Heartbeat time.Duration
	// StallBound is how long a group's head may run without a member before it
	// reports itself as broken.
	StallBound time.Duration
}

// Cluster holds the settings of the exchange between nodes.
type Cluster struct {
	Listen string
	// Advertise is the address under which other nodes reach Listen; Listen itself when empty.
	Advertise string
	Interval  time.Duration
}

// Overload holds the settings of marbleroad-node for times when callers ask for more than the upstreams can
// serve. All features are off by default.
type Overload struct {
	// Returns schedules the return of refused callers and recognizes them when they do.
	Returns bool
	// PauseLimit bounds the delay of running streams by the prompts that are sent to their head.
	PauseLimit bool
	// MeasuredDemand compares demand with the rate that groups serve within the objective.
	MeasuredDemand bool
	// Packing plans the groups of a fabric domain as a whole.
	Packing bool
	// FairShares admits each team up to its share before any team beyond it.
	FairShares bool
	// TeamWeights are the weights of teams; 1 for others.
	TeamWeights map[string]float64
	// Reserve holds the fractions of a model's capacity that are reserved for routes.
	Reserve map[string]float64
}

// Presence holds the settings that must be the same for all entries and control daemons of
// a failure domain.
type Presence struct {
	// Window is how long a VM counts as present after a probe was sent.
	Window time.Duration
}

// TLS holds the paths of key and certificate files; empty paths mean plain TCP.
type TLS struct {
	CallerCert string
	CallerKey  string
	PeerCert   string
	PeerKey    string
	PeerCA     string
}

// Log holds the logging settings.
type Log struct {
	Level string
	// Rate is the maximum number of lines per second of one event; 0 for no limit.
	Rate int
	// InFlight lists the requests in flight each second.
	InFlight bool
}

// Trace holds the tracing settings.
type Trace struct {
	// Target is none, file:PATH or the base URL of an OTLP/HTTP receiver.
	Target string
	// Sample is the fraction of new traces that is kept, 0 to 1.
	Sample float64
}

// Debug holds settings for developers.
type Debug struct {
	// Pprof enables profiles on the admin listeners.
	Pprof bool
}

// Settings holds the validated settings of one file.
type Settings struct {
	Node     Node
	Platform Platform
	Entry    Entry
	Control  Control
	Gateway  Gateway
	Cluster  Cluster
	Overload Overload
	Presence Presence
	TLS      TLS
	Log      Log
	Trace    Trace
	Debug    Debug
}

// Program is the name of a daemon. Some keys are required only for some daemons.
type Program string

// The daemons.
const (
	EntryProgram   Program = "marbleroad-entry"
	ControlProgram Program = "marbleroad-control"
	// NodeProgram runs the gateway and the director in one process.
	NodeProgram Program = "marbleroad-node"
)

// Load reads the file at path and validates it for the program. The error lists all
// validation errors, each with the file, the section, the key and what is allowed.
func Load(path string, program Program) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:            false,
		SkipUnrecognizableLines: false,
	}, path)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "%s", path), ErrInvalid)
	}
	r := reader{path: path, file: file, program: program}
	return r.read()
}

// reader reads one file into Settings and collects its validation errors.
type reader struct {
	path    string
	file    *ini.File
	program Program
	errs    error
}

func (r *reader) read() (*Settings, error) {
	r.rejectUnknownKeys()
	var s Settings
	for _, k := range Keys {
		r.setKey(&s, k)
	}
	if r.errs == nil {
		r.checkConsistency(&s)
	}
	if r.errs != nil {
		return nil, errors.Mark(r.errs, ErrInvalid)
	}
	return &s, nil
}

// report adds a validation error.
func (r *reader) report(section, key, format string, args ...any) {
	err := errors.Newf("%s: [%s] %s: "+format, append([]any{r.path, section, key}, args...)...)
	if r.errs == nil {
		r.errs = err
		return
	}
	r.errs = errors.Newf("%s\n%s", r.errs.Error(), err.Error())
}

// rejectUnknownKeys reports the keys of the file that are not in Keys.
func (r *reader) rejectUnknownKeys() {
	for _, section := range r.file.Sections() {
		for _, key := range section.Keys() {
			if !isKnown(section.Name(), key.Name()) {
				r.report(section.Name(), key.Name(), "unknown key; docs/CONFIGURATION.md lists the keys")
			}
		}
	}
}

func isKnown(section, name string) bool {
	for _, k := range Keys {
		if k.Section == section && k.Name == name {
			return true
		}
	}
	return false
}

// setKey sets the key from the file, or from its default if the file leaves it out.
func (r *reader) setKey(s *Settings, k Key) {
	text := k.Default
	if r.file.Section(k.Section).HasKey(k.Name) {
		text = r.file.Section(k.Section).Key(k.Name).String()
	}
	if text == "" && k.requiredFor(r.program) {
		r.report(k.Section, k.Name, "missing; allowed is %s", k.Allowed)
		return
	}
	if text == "" {
		return
	}
	if err := k.set(s, text); err != nil {
		r.report(k.Section, k.Name, "%q: %v; allowed is %s", text, err, k.Allowed)
	}
}

// checkConsistency validates keys that depend on each other, and sets the addresses to
// advertise that the file leaves out.
func (r *reader) checkConsistency(s *Settings) {
	r.checkListeners(s)
	if s.Entry.Advertise == "" {
		s.Entry.Advertise = s.Entry.Peer
	}
	if s.Cluster.Advertise == "" {
		s.Cluster.Advertise = s.Cluster.Listen
	}
	if s.Control.Advertise == "" {
		s.Control.Advertise = s.Control.Listen
	}
	// A probe and an exchange of its result must fit into half of the window, since control
	// daemons leave that half for the results of their backup probes to reach the entries.
	if s.Presence.Window < 2*(s.Control.ProbeInterval+s.Control.ExchangeInterval) {
		r.report("presence", "window", "%s is too short; allowed is at least twice control.probe_interval and control.exchange_interval together", s.Presence.Window)
	}
	if (s.TLS.CallerCert == "") != (s.TLS.CallerKey == "") {
		r.report("tls", "caller_cert", "caller_cert and caller_key go together")
	}
	if !s.Overload.FairShares && len(s.Overload.TeamWeights) > 0 {
		r.report("overload", "team_weights", "needs overload.fair_shares = yes")
	}
	if !s.Overload.FairShares && len(s.Overload.Reserve) > 0 {
		r.report("overload", "reserve", "needs overload.fair_shares = yes")
	}
	peerFiles := 0
	for _, v := range []string{s.TLS.PeerCert, s.TLS.PeerKey, s.TLS.PeerCA} {
		if v != "" {
			peerFiles++
		}
	}
	if peerFiles != 0 && peerFiles != 3 {
		r.report("tls", "peer_cert", "peer_cert, peer_key and peer_ca go together")
	}
}

// checkListeners reports listeners that have the same address.
func (r *reader) checkListeners(s *Settings) {
	type listener struct{ section, key, address string }
	listeners := []listener{
		{"entry", "listen", s.Entry.Listen},
		{"entry", "admin", s.Entry.Admin},
		{"entry", "peer", s.Entry.Peer},
		{"control", "listen", s.Control.Listen},
		{"control", "admin", s.Control.Admin},
		{"gateway", "listen", s.Gateway.Listen},
		{"gateway", "ready", s.Gateway.Ready},
		{"gateway", "admin", s.Gateway.Admin},
		{"cluster", "listen", s.Cluster.Listen},
	}
	for i, a := range listeners {
		for _, b := range listeners[:i] {
			if a.address != "" && a.address == b.address {
				r.report(a.section, a.key, "%s is also [%s] %s; allowed is an address of its own", a.address, b.section, b.key)
			}
		}
	}
}
