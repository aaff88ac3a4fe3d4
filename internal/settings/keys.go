package settings

// Key describes a key of the INI file.
type Key struct {
	Section string
	Name    string
	// Default is the value used when the key is missing.
	Default string
	// Allowed describes the allowed values and their unit.
	Allowed string
	// Doc describes the effect.
	Doc string
	// Required lists the daemons that need a value.
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

// Values of Key.Required.
var (
	allPrograms = []Program{EntryProgram, ControlProgram, NodeProgram}
	nodeOnly    = []Program{NodeProgram}
	entryOnly   = []Program{EntryProgram}
	controlOnly = []Program{ControlProgram}
)

// Values of Key.Allowed that several keys share.
const (
	allowedName     = "1 to 63 of a-z, 0-9, dot, underscore and hyphen"
	allowedAddress  = "an IP number and port such as 10.0.0.1:8080"
	allowedDuration = "a duration such as 500ms or 2m"
	allowedFile     = "a path to a PEM file"
)

// Keys lists every key, in the order of docs/CONFIGURATION.md.
var Keys = []Key{
	{"node", "id", "", allowedName, "Name of this VM, unique over all failure domains.", allPrograms,
		func(s *Settings, t string) error { return parseName(t, &s.Node.ID) }},
	{"node", "failure_domain", "", allowedName, "Failure domain that this VM is in.", allPrograms,
		func(s *Settings, t string) error { return parseName(t, &s.Node.FailureDomain) }},
	{"node", "processor", "0", "a number, 0 or more", "Processor cores, or the fraction of one, that marbleroad-node may use; 0 if it is not specified. The nodes with the highest values manage groups, read the platform for others and aggregate their states.", nil,
		func(s *Settings, t string) error { return parseAmount(t, &s.Node.Processor) }},
	{"node", "regions", "", "pairs such as a=north b=south, separated by spaces", "Regions of the failure domains. The platform's configuration can restrict routes and teams to regions.", nil,
		func(s *Settings, t string) error { return parsePairs(t, &s.Node.Regions) }},
	{"node", "memory", "0", "a number of megabytes, 0 or more", "Memory that each daemon on this VM may use; 0 is half of the VM's memory. A quarter of it may hold callers' headers and bodies and responses to slow callers, as far as they are larger than usual: a header takes 3 times its size and 256 bytes a field, a body 3 times its size. A header without room closes its connection unread, a body is rejected with 503. Half of it, at 48 KB each, limits the connections of callers and other nodes.", nil,
		func(s *Settings, t string) error { return parseAmount(t, &s.Node.Memory) }},
	{"node", "descriptors", "0", "0, or a whole number from 64 to 16777216", "Descriptors that each daemon may have open; 0 is the limit that the system sets. After 200 for files, five eighths are for connections of callers, three sixteenths for those of other daemons, and a 64th each for those to the admin address and for readiness checks, 8 at least. Beyond that, a new connection takes the place of one without a request, or is closed unread.", nil,
		func(s *Settings, t string) error { return parseDescriptors(t, &s.Node.Descriptors) }},

	{"platform", "url", "", "an http URL with an IP number, such as http://10.0.0.1:9000", "Where the platform's Object API and membership list are.", allPrograms,
		func(s *Settings, t string) error { return parseHTTPURL(t, &s.Platform.URL) }},
	{"platform", "timeout", "2s", allowedDuration, "Timeout of a write to the platform; of the start of any other response, besides the time that a watch waits; and of each pause within a response.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Platform.Timeout) }},
	{"platform", "watch_wait", "20s", allowedDuration, "How long one watch waits for changes; a longer time means fewer calls.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Platform.WatchWait) }},
	{"platform", "evacuations", "no", "yes or no", "Whether operators can evacuate failure domains by entries on the platform. If not, no calls are made for them.", nil,
		func(s *Settings, t string) error { return parseYesNo(t, &s.Platform.Evacuations) }},

	{"entry", "listen", "", allowedAddress, "Address at which callers are served.", entryOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Entry.Listen) }},
	{"entry", "admin", "", allowedAddress, "Address at which health, metrics and, if enabled, profiles of the entry are served.", entryOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Entry.Admin) }},
	{"entry", "peer", "", allowedAddress, "Address at which control daemons query the entry about requests, and entries of other failure domains send requests that they cannot serve.", entryOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Entry.Peer) }},
	{"entry", "advertise", "", allowedAddress, "Address under which others reach entry.peer; empty is entry.peer itself.", nil,
		func(s *Settings, t string) error { return parseAddress(t, &s.Entry.Advertise) }},
	{"entry", "control", "", "addresses of control daemons, separated by commas", "Control daemons of this failure domain, the one on this VM first; if one does not respond, the next is read.", entryOnly,
		func(s *Settings, t string) error { return parseAddresses(t, &s.Entry.Control) }},
	{"entry", "view_interval", "250ms", allowedDuration, "Interval at which the entry reads a control daemon's view.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Entry.ViewInterval) }},
	{"entry", "balancer_delay", "3s", allowedDuration, "After a stop signal, how long new requests are still served until the balancer stops sending them.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Entry.BalancerDelay) }},
	{"entry", "shutdown_limit", "10m", allowedDuration, "How long a stop waits for requests in flight; streams that are still open then end with an error event.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Entry.ShutdownLimit) }},
	{"entry", "linger", "500ms", allowedDuration, "How long a stop keeps an idle connection of a caller open, counted from its last response, since the caller may not know of the stop yet.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Entry.Linger) }},
	{"entry", "body_timeout", "30s", allowedDuration, "Timeout for reading a request's body; a slower caller is rejected with 408.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Entry.BodyTimeout) }},
	{"entry", "max_body", "1048576", "bytes, 1 to 67108864", "Maximum size of a request's body; a larger one is rejected with 413.", nil,
		func(s *Settings, t string) error { return parseByteCount(t, &s.Entry.MaxBody) }},

	{"control", "listen", "", allowedAddress, "Address at which entries, peers and operators reach the control daemon.", controlOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Control.Listen) }},
	{"control", "advertise", "", allowedAddress, "Address under which others reach control.listen; empty is control.listen itself.", nil,
		func(s *Settings, t string) error { return parseAddress(t, &s.Control.Advertise) }},
	{"control", "admin", "", allowedAddress, "Address at which health, metrics and, if enabled, profiles of the control daemon are served.", controlOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Control.Admin) }},
	{"control", "seeds", "", "addresses of control daemons, separated by commas", "Initial peers; needed if the platform is unreachable at the start.", nil,
		func(s *Settings, t string) error { return parseAddresses(t, &s.Control.Seeds) }},
	{"control", "operator_token_sha256", "", "a SHA-256 in 64 hex digits", "Hash of the operators' token. Without it, operators are rejected.", nil,
		func(s *Settings, t string) error { return parseSHA256(t, &s.Control.OperatorTokenSHA256) }},
	{"control", "probe_interval", "500ms", allowedDuration, "Interval at which one control daemon probes a VM.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Control.ProbeInterval) }},
	{"control", "probe_timeout", "400ms", allowedDuration, "Timeout of one probe.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Control.ProbeTimeout) }},
	{"control", "exchange_interval", "500ms", allowedDuration, "Interval at which each peer in the failure domain is read; longer if there are many peers.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Control.ExchangeInterval) }},
	{"control", "members_interval", "1s", allowedDuration, "Interval at which the membership list is read.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Control.MembersInterval) }},

	{"control", "max_loading", "16", "a whole number from 1 to 1000", "Maximum number of VMs of one fabric domain that load weights at once; the weight store is rate-limited.", nil,
		func(s *Settings, t string) error { return parseCount(t, &s.Control.MaxLoading) }},

	{"gateway", "listen", "", allowedAddress, "Address at which callers are served, by the routes of the platform's configuration.", nodeOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Gateway.Listen) }},
	{"gateway", "ready", "", allowedAddress, "Address at which the balancer checks the readiness of this VM.", nodeOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Gateway.Ready) }},
	{"gateway", "admin", "", allowedAddress, "Address at which health, metrics and, if enabled, profiles are served.", nodeOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Gateway.Admin) }},
	{"gateway", "balancer_delay", "2500ms", allowedDuration, "How long callers are still accepted after readiness is withdrawn; the balancer reacts after two failed checks, a second apart.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Gateway.BalancerDelay) }},
	{"gateway", "linger", "500ms", allowedDuration, "How long a stop keeps an idle connection of a caller open, counted from its last response, since the caller may not know of the stop yet.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Gateway.Linger) }},
	{"gateway", "stop_grace", "8s", allowedDuration, "Time from the stop signal until the platform kills the process.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Gateway.StopGrace) }},
	{"gateway", "revoke_bound", "0s", "a duration, or 0s for none", "Time within which a revoked key must be rejected everywhere. Keys are rejected while the configuration is not verified to be that recent.", nil,
		func(s *Settings, t string) error { return parseDurationOrZero(t, &s.Gateway.RevokeBound) }},
	{"gateway", "change_bound", "0s", "a duration, or 0s for none", "Time within which a new configuration must be in force everywhere. While the configuration is not verified to be that recent, requests without a route or with an unknown key get 503 instead of 404 or 401.", nil,
		func(s *Settings, t string) error { return parseDurationOrZero(t, &s.Gateway.ChangeBound) }},
	{"gateway", "repeat_ratio", "0.1", "a number from 0 to 1", "Retries that each request to a service adds to its retry budget, over all nodes.", nil,
		func(s *Settings, t string) error { return parseFraction(t, &s.Gateway.RepeatRatio) }},
	{"gateway", "repeat_extra", "20", "a number, 0 or more", "Retries per window that the budget of each service allows in addition, over all nodes.", nil,
		func(s *Settings, t string) error { return parseAmount(t, &s.Gateway.RepeatExtra) }},
	{"gateway", "repeat_window", "10s", allowedDuration, "Length of the sliding window of the retry budget.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Gateway.RepeatWindow) }},
	{"gateway", "warmup_excess", "1", "a number, 0 or more", "Requests that an upstream that is warming up may receive within any one second, over all nodes, as a multiple of the rate that its service tolerates.", nil,
		func(s *Settings, t string) error { return parseAmount(t, &s.Gateway.WarmupExcess) }},
	{"gateway", "warmup_slack", "0", "a number, 0 or more", "Requests that such an upstream may receive within any one second beyond warmup_excess.", nil,
		func(s *Settings, t string) error { return parseAmount(t, &s.Gateway.WarmupSlack) }},
	{"gateway", "heartbeat", "1200ms", allowedDuration, "Interval at which an upstream VM renews its entry in the platform's list.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Gateway.Heartbeat) }},
	{"gateway", "stall_bound", "5s", allowedDuration, "Time after which the head of a group that lost a member reports itself as broken.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Gateway.StallBound) }},

	{"cluster", "listen", "", allowedAddress, "Address at which the other nodes reach this one.", nodeOnly,
		func(s *Settings, t string) error { return parseAddress(t, &s.Cluster.Listen) }},
	{"cluster", "advertise", "", allowedAddress, "Address under which the other nodes reach cluster.listen; empty is cluster.listen itself.", nil,
		func(s *Settings, t string) error { return parseAddress(t, &s.Cluster.Advertise) }},
	{"cluster", "interval", "300ms", allowedDuration, "Interval at which this node exchanges state with each other node.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Cluster.Interval) }},

	{"overload", "returns", "no", "yes or no", "Tells callers of model requests that are refused for overload to return after a quarter to a third of the time that they have left, and admits them by the time of that new attempt.", nil,
		func(s *Settings, t string) error { return parseYesNo(t, &s.Overload.Returns) }},
	{"overload", "pause_limit", "no", "yes or no", "Heads are chosen so that the prompts that all nodes send there do not delay running streams beyond the pause objective of their route.", nil,
		func(s *Settings, t string) error { return parseYesNo(t, &s.Overload.PauseLimit) }},
	{"overload", "measured_demand", "no", "yes or no", "Directors compare the demand for each model, with refused requests and surges included, with the rate at which its groups serve requests within their objective.", nil,
		func(s *Settings, t string) error { return parseYesNo(t, &s.Overload.MeasuredDemand) }},
	{"overload", "packing", "no", "yes or no", "Directors plan the groups of a fabric domain as a whole: which groups of which models fit into it, now and after the loss of a VM.", nil,
		func(s *Settings, t string) error { return parseYesNo(t, &s.Overload.Packing) }},
	{"overload", "fair_shares", "no", "yes or no", "Under overload each team is admitted up to its share of a model's capacity before any team is admitted beyond its share.", nil,
		func(s *Settings, t string) error { return parseYesNo(t, &s.Overload.FairShares) }},
	{"overload", "team_weights", "", "pairs such as a=2 b=0.5, separated by spaces; each above 0", "Weights of teams for fair_shares; a team that is not named has weight 1.", nil,
		func(s *Settings, t string) error { return parseWeights(t, &s.Overload.TeamWeights) }},
	{"overload", "reserve", "", "pairs such as a=0.2 b=0.1, separated by spaces; above 0, with a sum of at most 0.9, for at most 16 routes", "Fractions of a model's capacity that are reserved for routes, by the name of the route. Needs fair_shares.", nil,
		func(s *Settings, t string) error { return parseReserve(t, &s.Overload.Reserve) }},

	{"presence", "window", "3s", allowedDuration, "How long a VM counts as present after a probe was sent; must be the same on all VMs of a failure domain.", nil,
		func(s *Settings, t string) error { return parseDuration(t, &s.Presence.Window) }},

	{"tls", "caller_cert", "", allowedFile, "Certificate of the listener for callers; if empty, it serves plain HTTP.", nil,
		func(s *Settings, t string) error { return parseFile(t, &s.TLS.CallerCert) }},
	{"tls", "caller_key", "", allowedFile, "Private key of caller_cert.", nil,
		func(s *Settings, t string) error { return parseFile(t, &s.TLS.CallerKey) }},
	{"tls", "peer_cert", "", allowedFile, "This VM's certificate for connections between marbleroad processes; if empty, they use plain HTTP/2.", nil,
		func(s *Settings, t string) error { return parseFile(t, &s.TLS.PeerCert) }},
	{"tls", "peer_key", "", allowedFile, "Private key of peer_cert.", nil,
		func(s *Settings, t string) error { return parseFile(t, &s.TLS.PeerKey) }},
	{"tls", "peer_ca", "", allowedFile, "CA that must have signed the certificates of marbleroad processes.", nil,
		func(s *Settings, t string) error { return parseFile(t, &s.TLS.PeerCA) }},

	{"log", "level", "info", "debug, info, warn or error", "Minimum level of the events that are written, as JSON lines, to standard output.", nil,
		func(s *Settings, t string) error {
			return parseChoice(t, &s.Log.Level, "debug", "info", "warn", "error")
		}},

	{"log", "rate", "0", "a whole number from 0 to 1000", "Maximum number of lines per second of each event in marbleroad-node, 0 for no limit. Warnings and errors are not limited. Skipped lines are counted.", nil,
		func(s *Settings, t string) error { return parseCountOrZero(t, &s.Log.Rate) }},
	{"log", "in_flight", "yes", "yes or no", "marbleroad-node lists the requests in flight once a second (event 5035, level info, not limited by rate). After a kill, the last list, and the sends since (5007), name the requests that the process had.", nil,
		func(s *Settings, t string) error { return parseYesNo(t, &s.Log.InFlight) }},

	{"trace", "target", "none", "none, file:PATH or an http URL with an IP number", "Where spans are exported: nowhere, to a file as JSON lines, or to an OTLP/HTTP receiver.", nil,
		func(s *Settings, t string) error { return parseTraceTarget(t, &s.Trace.Target) }},
	{"trace", "sample", "1", "a number from 0 to 1", "Fraction of the traces started here that is kept; for a trace of the caller, the caller's sampling decision applies.", nil,
		func(s *Settings, t string) error { return parseFraction(t, &s.Trace.Sample) }},

	{"debug", "pprof", "no", "yes or no", "Serve profiles on the admin listeners.", nil,
		func(s *Settings, t string) error { return parseYesNo(t, &s.Debug.Pprof) }},
}
