package settings

import (
	"encoding/hex"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Key describes one key of the INI file.
type Key struct {
	Section string
	Name    string
	// Default is the text taken when the key is missing.
	Default string
	// Allowed says which values and which unit.
	Allowed string
	// Doc says the effect.
	Doc string
	// Required names the daemons that need a value; empty for none.
	Required []Program

	set func(*Settings, string) error
}

func (k Key) requiredFor(p Program) bool {
	for _, r := range k.Required {
		if r == p {
			return true
		}
	}
	return false
}

var (
	all         = []Program{EntryProgram, ControlProgram, NodeProgram}
	nodeOnly    = []Program{NodeProgram}
	entryOnly   = []Program{EntryProgram}
	controlOnly = []Program{ControlProgram}
)

const (
	allowedName     = "1 to 63 of a-z, 0-9, dot, underscore and hyphen"
	allowedAddress  = "an IP number and port such as 10.0.0.1:8080"
	allowedDuration = "a duration such as 500ms or 2m"
	allowedFile     = "a path to a PEM file"
)

// Keys lists every key, in the order of docs/CONFIGURATION.md.
var Keys = []Key{
	{"node", "id", "", allowedName, "Name of this entry VM, unique over all sites.", all,
		func(s *Settings, t string) error { return name(t, &s.Node.ID) }},
	{"node", "failure_domain", "", allowedName, "Failure domain that this VM is in.", all,
		func(s *Settings, t string) error { return name(t, &s.Node.FailureDomain) }},
	{"node", "processor", "0", "a number, 0 or more", "Part of a processor core that marbleroad-node may use; 0 for not said. The strongest nodes manage groups, read the platform for others and sum up their states.", nil,
		func(s *Settings, t string) error { return amount(t, &s.Node.Processor) }},

	{"platform", "url", "", "an http URL with an IP number, such as http://10.0.0.1:9000", "Where the platform's Object API and membership list are.", all,
		func(s *Settings, t string) error { return httpURL(t, &s.Platform.URL) }},
	{"platform", "timeout", "2s", allowedDuration, "Bound on a write to the platform, on the beginning of any other answer without a watch's waiting time, and on each pause within an answer.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Platform.Timeout) }},
	{"platform", "watch_wait", "20s", allowedDuration, "How long one watch waits for changes; longer means fewer calls.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Platform.WatchWait) }},

	{"entry", "listen", "", allowedAddress, "Where callers are served.", entryOnly,
		func(s *Settings, t string) error { return address(t, &s.Entry.Listen) }},
	{"entry", "admin", "", allowedAddress, "Where health, metrics and, if set, profiles of the entry are served.", entryOnly,
		func(s *Settings, t string) error { return address(t, &s.Entry.Admin) }},
	{"entry", "peer", "", allowedAddress, "Where control daemons ask the entry to explain requests, and other failure domains' entries send what they cannot serve.", entryOnly,
		func(s *Settings, t string) error { return address(t, &s.Entry.Peer) }},
	{"entry", "advertise", "", allowedAddress, "Address under which others reach entry.peer; empty is entry.peer itself.", nil,
		func(s *Settings, t string) error { return address(t, &s.Entry.Advertise) }},
	{"entry", "control", "", "addresses of control daemons, separated by commas", "Control daemons of this failure domain, the one on this VM first; the next is read when one does not answer.", entryOnly,
		func(s *Settings, t string) error { return addresses(t, &s.Entry.Control) }},
	{"entry", "view_interval", "250ms", allowedDuration, "Time between two readings of a control daemon's view.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Entry.ViewInterval) }},
	{"entry", "balancer_delay", "3s", allowedDuration, "After a stop signal, how long new requests are still served while the balancer learns of it.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Entry.BalancerDelay) }},
	{"entry", "shutdown_limit", "10m", allowedDuration, "How long a stop waits for answers in flight; then streams end with an error event.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Entry.ShutdownLimit) }},
	{"entry", "linger", "500ms", allowedDuration, "How long a stop then keeps a caller's connection without a request, counted from its last answer: the caller may not know of the stop.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Entry.Linger) }},
	{"entry", "body_timeout", "30s", allowedDuration, "Bound on reading a request's body; a slower caller is refused with 408.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Entry.BodyTimeout) }},
	{"entry", "max_body", "1048576", "bytes, 1 to 67108864", "Largest request body; larger ones are refused with 413.", nil,
		func(s *Settings, t string) error { return byteCount(t, &s.Entry.MaxBody) }},

	{"control", "listen", "", allowedAddress, "Where entries, peers and operators reach the control daemon.", controlOnly,
		func(s *Settings, t string) error { return address(t, &s.Control.Listen) }},
	{"control", "advertise", "", allowedAddress, "Address under which others reach control.listen; empty is control.listen itself.", nil,
		func(s *Settings, t string) error { return address(t, &s.Control.Advertise) }},
	{"control", "admin", "", allowedAddress, "Where health, metrics and, if set, profiles of the control daemon are served.", controlOnly,
		func(s *Settings, t string) error { return address(t, &s.Control.Admin) }},
	{"control", "seeds", "", "addresses of control daemons, separated by commas", "Peers to begin with, needed when the platform is away at the start.", nil,
		func(s *Settings, t string) error { return addresses(t, &s.Control.Seeds) }},
	{"control", "operator_token_sha256", "", "a SHA-256 in 64 hex digits", "Hash of the operators' token. Without it operators are refused.", nil,
		func(s *Settings, t string) error { return sha256Hex(t, &s.Control.OperatorTokenSHA256) }},
	{"control", "probe_interval", "500ms", allowedDuration, "Time between two probes of a VM by one control daemon.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Control.ProbeInterval) }},
	{"control", "probe_timeout", "400ms", allowedDuration, "Bound on one probe.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Control.ProbeTimeout) }},
	{"control", "exchange_interval", "500ms", allowedDuration, "Time between two readings of each peer in the failure domain; stretched when there are many peers.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Control.ExchangeInterval) }},
	{"control", "members_interval", "1s", allowedDuration, "Time between two readings of the membership list.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Control.MembersInterval) }},

	{"control", "max_loading", "16", "a whole number from 1 to 1000", "VMs of one fabric domain that load weights at once; the weight store is rate-limited.", nil,
		func(s *Settings, t string) error { return count(t, &s.Control.MaxLoading) }},

	{"gateway", "listen", "", allowedAddress, "Where callers are served by the routes of the platform's configuration.", nodeOnly,
		func(s *Settings, t string) error { return address(t, &s.Gateway.Listen) }},
	{"gateway", "ready", "", allowedAddress, "Where the balancer asks whether this VM takes callers.", nodeOnly,
		func(s *Settings, t string) error { return address(t, &s.Gateway.Ready) }},
	{"gateway", "admin", "", allowedAddress, "Where health, metrics and, if set, profiles are served.", nodeOnly,
		func(s *Settings, t string) error { return address(t, &s.Gateway.Admin) }},
	{"gateway", "balancer_delay", "2500ms", allowedDuration, "How long callers are still taken after readiness is withdrawn; the balancer notices after two failed questions, a second apart.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Gateway.BalancerDelay) }},
	{"gateway", "linger", "500ms", allowedDuration, "How long a stop then keeps a caller's connection without a request, counted from its last answer: the caller may not know of the stop.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Gateway.Linger) }},
	{"gateway", "stop_grace", "8s", allowedDuration, "Time from the stop signal until the platform kills the process.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Gateway.StopGrace) }},
	{"gateway", "revoke_bound", "0s", "a duration, or 0s for none", "Time within which a revoked key must no longer be honoured anywhere. Keys are refused while it is not proven that the configuration is that new.", nil,
		func(s *Settings, t string) error { return durationOrZero(t, &s.Gateway.RevokeBound) }},
	{"gateway", "repeat_ratio", "0.1", "a number from 0 to 1", "Repeated sends that each request to a service allows, over all nodes.", nil,
		func(s *Settings, t string) error { return fraction(t, &s.Gateway.RepeatRatio) }},
	{"gateway", "repeat_extra", "20", "a number, 0 or more", "Repeated sends that a window allows beside that for each service, over all nodes.", nil,
		func(s *Settings, t string) error { return amount(t, &s.Gateway.RepeatExtra) }},
	{"gateway", "repeat_window", "10s", allowedDuration, "Length of the sliding window of that budget.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Gateway.RepeatWindow) }},
	{"gateway", "heartbeat", "1200ms", allowedDuration, "How often an upstream VM renews its entry in the platform's list.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Gateway.Heartbeat) }},
	{"gateway", "stall_bound", "5s", allowedDuration, "Time after which the head of a group that lost a member counts itself as broken.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Gateway.StallBound) }},

	{"cluster", "listen", "", allowedAddress, "Where the other nodes reach this one.", nodeOnly,
		func(s *Settings, t string) error { return address(t, &s.Cluster.Listen) }},
	{"cluster", "advertise", "", allowedAddress, "Address under which the other nodes reach cluster.listen; empty is cluster.listen itself.", nil,
		func(s *Settings, t string) error { return address(t, &s.Cluster.Advertise) }},
	{"cluster", "interval", "300ms", allowedDuration, "Time between two exchanges with each other node.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Cluster.Interval) }},

	{"presence", "window", "3s", allowedDuration, "How long a VM counts as present after a probe was sent; the same on all VMs of a failure domain.", nil,
		func(s *Settings, t string) error { return duration(t, &s.Presence.Window) }},

	{"tls", "caller_cert", "", allowedFile, "Certificate of the callers' listener; empty serves plain HTTP.", nil,
		func(s *Settings, t string) error { return file(t, &s.TLS.CallerCert) }},
	{"tls", "caller_key", "", allowedFile, "Key of caller_cert.", nil,
		func(s *Settings, t string) error { return file(t, &s.TLS.CallerKey) }},
	{"tls", "peer_cert", "", allowedFile, "This VM's certificate towards our own processes; empty uses plain HTTP/2 between them.", nil,
		func(s *Settings, t string) error { return file(t, &s.TLS.PeerCert) }},
	{"tls", "peer_key", "", allowedFile, "Key of peer_cert.", nil,
		func(s *Settings, t string) error { return file(t, &s.TLS.PeerKey) }},
	{"tls", "peer_ca", "", allowedFile, "Authority that our own processes' certificates must come from.", nil,
		func(s *Settings, t string) error { return file(t, &s.TLS.PeerCA) }},

	{"log", "level", "info", "debug, info, warn or error", "Least level of events that are written, as JSON lines to standard output.", nil,
		func(s *Settings, t string) error { return choice(t, &s.Log.Level, "debug", "info", "warn", "error") }},

	{"log", "rate", "0", "a whole number from 0 to 1000", "Lines a second that each event may have in marbleroad-node; 0 for no bound. What is left out is counted.", nil,
		func(s *Settings, t string) error { return countOrZero(t, &s.Log.Rate) }},

	{"trace", "target", "none", "none, file:PATH or an http URL with an IP number", "Where spans go: nowhere, to a file as JSON lines, or to an OTLP/HTTP receiver.", nil,
		func(s *Settings, t string) error { return traceTarget(t, &s.Trace.Target) }},
	{"trace", "sample", "1", "a number from 0 to 1", "Part of the traces begun here that are kept; a caller's own decision is followed.", nil,
		func(s *Settings, t string) error { return fraction(t, &s.Trace.Sample) }},

	{"debug", "pprof", "no", "yes or no", "Serve profiles on the admin listeners.", nil,
		func(s *Settings, t string) error { return yesNo(t, &s.Debug.Pprof) }},
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func name(text string, into *string) error {
	if !namePattern.MatchString(text) {
		return errors.New("not a name")
	}
	*into = text
	return nil
}

func address(text string, into *string) error {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.New("not an IP number and port (host names are not looked up)")
	}
	if parsed.Port() == 0 {
		return errors.New("port 0")
	}
	*into = parsed.String()
	return nil
}

func addresses(text string, into *[]string) error {
	for _, part := range strings.Split(text, ",") {
		var one string
		if err := address(strings.TrimSpace(part), &one); err != nil {
			return err
		}
		*into = append(*into, one)
	}
	return nil
}

func httpURL(text string, into *string) error {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("not an http URL")
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return errors.New("host is not an IP number (host names are not looked up)")
	}
	*into = text
	return nil
}

func traceTarget(text string, into *string) error {
	if text == "none" || (strings.HasPrefix(text, "file:") && len(text) > len("file:")) {
		*into = text
		return nil
	}
	return httpURL(text, into)
}

func duration(text string, into *time.Duration) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.New("not a duration with a unit")
	}
	if v <= 0 {
		return errors.New("not positive")
	}
	*into = v
	return nil
}

func durationOrZero(text string, into *time.Duration) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return errors.New("not a duration with a unit")
	}
	if v < 0 {
		return errors.New("negative")
	}
	*into = v
	return nil
}

func amount(text string, into *float64) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 1) {
		return errors.New("not a number in range")
	}
	*into = v
	return nil
}

func countOrZero(text string, into *int) error {
	if text == "0" {
		*into = 0
		return nil
	}
	return count(text, into)
}

func byteCount(text string, into *int64) error {
	const most = 64 << 20
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < 1 || v > most {
		return errors.New("not a count in range")
	}
	*into = v
	return nil
}

func count(text string, into *int) error {
	const most = 1000
	v, err := strconv.Atoi(text)
	if err != nil || v < 1 || v > most {
		return errors.New("not a count in range")
	}
	*into = v
	return nil
}

func fraction(text string, into *float64) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= 1) {
		return errors.New("not a number in range")
	}
	*into = v
	return nil
}

func choice(text string, into *string, allowed ...string) error {
	for _, a := range allowed {
		if text == a {
			*into = text
			return nil
		}
	}
	return errors.New("not one of the allowed words")
}

func yesNo(text string, into *bool) error {
	var word string
	if err := choice(text, &word, "yes", "no"); err != nil {
		return err
	}
	*into = word == "yes"
	return nil
}

func file(text string, into *string) error {
	*into = text
	return nil
}

func sha256Hex(text string, into *string) error {
	const size = 32
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != size {
		return errors.New("not a SHA-256")
	}
	*into = strings.ToLower(text)
	return nil
}
