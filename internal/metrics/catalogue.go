package metrics

// Metric is an entry of the catalogue. Upper-case words in a name are placeholders for
// the values by which the metric is split.
type Metric struct {
	Name string
	// Kind is "counter", "gauge" or "timer".
	Kind string
	Help string
}

// Catalogue lists the metrics of marbleroad-node; docs/METRICS.md is generated from it.
var Catalogue = []Metric{
	{"requests", "counter", "Requests of callers that were read."},
	{"requests.served", "counter", "Requests to which an upstream gave a complete response."},
	{"failed.CODE", "counter", "Requests that the node answered with an error, by error code; see docs/OPERATIONS.md."},
	{"request.whole.SERVICE.KIND", "timer", "Time from the arrival of a served request to the end of its response."},
	{"request.first.SERVICE.KIND", "timer", "Time from the arrival of a served request to its first event or its response."},
	{"request.pause.SERVICE", "timer", "Time between two events of a stream."},
	{"request.failed", "timer", "Time from the arrival of a request to the node's own error response."},
	{"attempts", "counter", "Attempts: requests sent to upstreams, retries included."},
	{"attempts.repeated", "counter", "Attempts after the first of a request; they draw on the retry budget."},
	{"repeats.SERVICE", "counter", "Attempts after the first of a request, by service."},
	{"repeats.refused.SERVICE", "counter", "Attempts that the retry budget did not allow, by service."},
	{"attempts.resumed", "counter", "Attempts that resumed a stream within its response."},
	{"attempts.failed.CODE", "counter", "Attempts without a complete response, by cause."},
	{"returns.scheduled", "counter", "Refusals for overload that told the caller when to return within its timeout."},
	{"returns.recognized", "counter", "Requests whose caller was recognized by its timeout as one that returns after a refusal."},
	{"returns.refused", "counter", "Requests of recognized returning callers that were refused for overload."},
	{"pauses.avoided", "counter", "Sends for which a head was avoided because its predicted pass exceeds the pause objective of the model."},
	{"pauses.exceeded", "counter", "Sends whose predicted pass exceeds the pause objective at every head that admits them."},
	{"streams.lost", "counter", "Streams that stalled while their head still served others; they resumed elsewhere."},
	{"upstreams.ended", "counter", "Terminations of upstream VMs that were recorded against a request they ran."},
	{"upstreams.limits.heard", "counter", "Responses in which an upstream VM reported a limit of requests per second."},
	{"upstreams.rests.heard", "counter", "Responses in which an upstream VM rejected a request and asked for backoff."},
	{"upstreams.leaving.heard", "counter", "Responses in which an upstream VM announced that it is leaving."},
	{"requests.no_buffer", "counter", "Requests that were refused because their body did not fit into the buffers of the node."},
	{"callers.slow", "counter", "Callers that blocked the relay of their response for 0.3 s or longer."},
	{"buffers.reserved", "gauge", "Bytes that are reserved for slow callers and for bodies over 16 KB."},
	{"requests.held_back", "counter", "Requests that were refused because all upstream VMs that could serve them had asked for fewer requests."},
	{"upstreams.cut_off", "gauge", "1 while this node is cut off from all upstream VMs, as far as it can tell, and 0 otherwise."},
	{"upstreams.conditions.unreadable", "counter", "Responses with a report of the upstream VM's condition that could not be read."},
	{"quarantine.requests", "counter", "Requests that were quarantined, by this node or another one."},
	{"quarantine.refused", "counter", "Calls that were refused because their request is in quarantine."},
	{"held_up", "counter", "Scheduling stalls: times during which this process did not get the processor."},
	{"requests.unanswered", "counter", "Connections that ended with a request that was read and not handled."},
	{"quarantine.on_trial", "counter", "Calls that were refused while their request, a suspect, was running for another caller as a trial."},
	{"heads.stalled", "counter", "Heads of which all streams at this node stalled."},
	{"groups.open.MODEL", "gauge", "Groups of the model that accept requests."},
	{"load.own.MODEL", "gauge", "Requests per second for the model at this node."},
	{"load.all.MODEL", "gauge", "Requests per second for the model at all nodes, as far as this node knows."},
	{"load.turned_away.MODEL", "gauge", "Percentage of requests for the model that the latest decision rejects."},
	{"load.life_ms.MODEL", "gauge", "Service time of requests for the model at a head, learned from those that completed without error."},
	{"load.offset_ms.MODEL", "gauge", "Time by which first events exceed their prediction, learned."},
	{"demand.smoothed_percent.MODEL", "gauge", "Measured demand for the model in groups, smoothed, times 100; only with measured_demand."},
	{"demand.surge_percent.MODEL", "gauge", "Measured demand for the model in groups during a surge, times 100; otherwise the smoothed one."},
	{"demand.unmet_percent.MODEL", "gauge", "The part of the demand of the last half second that was refused, in groups times 100."},
	{"fair_shares.refused.TEAM.ROUTE", "counter", "Requests that were refused because their team was beyond its share, by team and route; the pairs beyond 256 count as other."},
	{"fair_shares.share_milligroups.MODEL.TEAM", "gauge", "Work that the team may have of the model at all nodes, in thousandths of a busy group, as of the latest decision; 0 while no requests are refused. For at most 64 pairs."},
	{"fair_shares.used_milligroups.MODEL.TEAM", "gauge", "Work of the team's admitted requests at all nodes, in thousandths of a busy group. For at most 64 pairs."},
	{"catalog.version", "gauge", "Version of the configuration in force."},
	{"catalog.age_ms", "gauge", "Time since the configuration was last verified to be the newest, as of the balancer's latest readiness check."},
	{"start.PART_ms", "gauge", "Time from the start until the node had a part of what it needs: configuration, upstreams, nodes, keys, groups."},
	{"platform.era", "gauge", "The era of the platform's store after its last restore from an older copy; absent before the first."},
	{"platform.calls.VERB.KIND", "counter", "Calls to the platform's store: get, list, watch or write, and the kind of object."},
	{"director.reports", "counter", "Reports requested from VMs."},
	{"director.orders.ORDER", "counter", "Orders sent to VMs, by kind of order."},
	{"director.packing.changes", "counter", "Changes of the packing of a fabric domain: groups dissolved for groups of another model."},
	{"director.packing.dissolved", "counter", "Groups dissolved by changes of packings."},
	{"log.dropped", "gauge", "Log lines dropped because the reader of standard output was too slow."},
	{"log.skipped", "gauge", "Log lines of events below the level of warnings that log.rate skipped."},
}
