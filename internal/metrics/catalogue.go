package metrics

// Metric is one catalogue entry. Upper-case words in a name stand for what the
// metric is kept by.
type Metric struct {
	Name string
	// Kind is counter, gauge or timer.
	Kind string
	Help string
}

// Catalogue lists the metrics of marbleroad-node; docs/METRICS.md is made from it.
var Catalogue = []Metric{
	{"requests", "counter", "Requests of callers that were read."},
	{"requests.served", "counter", "Requests that were answered by an upstream, whole."},
	{"failed.CODE", "counter", "Requests that ended with an answer of the node's own, by its code; see docs/OPERATIONS.md."},
	{"request.whole.SERVICE.KIND", "timer", "From the arrival of a served request to its end."},
	{"request.first.SERVICE.KIND", "timer", "From the arrival of a served request to its first event or its answer."},
	{"request.pause.SERVICE", "timer", "Between two events of a stream."},
	{"request.failed", "timer", "From the arrival to the node's own answer."},
	{"attempts", "counter", "Sends of requests to upstreams."},
	{"attempts.repeated", "counter", "Sends after the first of a request; they draw on the budget for repeats."},
	{"repeats.SERVICE", "counter", "Sends after the first, by service."},
	{"repeats.refused.SERVICE", "counter", "Sends that the budget for repeats did not allow, by service."},
	{"attempts.resumed", "counter", "Sends that went on with a stream within its answer."},
	{"attempts.failed.CODE", "counter", "Sends without a whole answer, by what was wrong."},
	{"streams.lost", "counter", "Streams that fell silent while their head went on; they went on elsewhere."},
	{"upstreams.ended", "counter", "Ends of VMs that were held against a request which they ran."},
	{"upstreams.limits.heard", "counter", "Answers of upstream VMs that named a limit of requests a second."},
	{"upstreams.rests.heard", "counter", "Answers of upstream VMs that turned a request away and asked for rest."},
	{"upstreams.leaving.heard", "counter", "Answers of upstream VMs that said they were about to end."},
	{"requests.held_back", "counter", "Calls that were refused because all upstream VMs that could serve them had asked for fewer requests."},
	{"upstreams.conditions.unreadable", "counter", "Answers whose word on the upstream VM's condition could not be read."},
	{"quarantine.requests", "counter", "Requests that were put in quarantine, by this node or another one."},
	{"quarantine.refused", "counter", "Calls that were refused because their request is in quarantine."},
	{"held_up", "counter", "Times for which this process did not get the processor."},
	{"requests.unanswered", "counter", "Connections that ended with a request that was read and not handled."},
	{"quarantine.on_trial", "counter", "Calls that were refused while their request, a suspect, was being tried for another caller."},
	{"heads.stalled", "counter", "Heads whose streams all fell silent at this node."},
	{"groups.open.MODEL", "gauge", "Groups of the model that take requests."},
	{"load.own.MODEL", "gauge", "Requests for the model a second that come to this node."},
	{"load.all.MODEL", "gauge", "Requests for the model a second at all nodes, as far as this one knows."},
	{"load.turned_away.MODEL", "gauge", "Part of them that is turned away by the newest decision, in percent."},
	{"load.life_ms.MODEL", "gauge", "How long requests for the model are at a head, learned from those that ended well."},
	{"load.offset_ms.MODEL", "gauge", "What first events take beyond their prediction, learned."},
	{"catalog.version", "gauge", "Version of the configuration in force."},
	{"catalog.age_ms", "gauge", "Age of the proof that it is the newest, as of the balancer's last question."},
	{"start.PART_ms", "gauge", "How long after the start the node had a part of what it needs: configuration, upstreams, nodes, keys, groups."},
	{"platform.calls.VERB.KIND", "counter", "Calls to the platform's store: get, list, watch or write, and the kind of object."},
	{"director.reports", "counter", "Reports asked of VMs."},
	{"director.orders.ORDER", "counter", "Orders sent to VMs, by what they ask for."},
	{"log.dropped", "gauge", "Log lines lost because the reader of standard output was too slow."},
	{"log.skipped", "gauge", "Ordinary log lines left out by log.rate."},
}
