package main

import (
	"sync"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// class is a class of requests; each has a route of its own.
type class uint8

const (
	streamRequest class = iota
	idempotentRead
	nonIdempotentWrite
	// routeProbe requests a route that was added during the run.
	routeProbe
)

func (c class) String() string { return [...]string{"stream", "read", "write", "probe"}[c] }

// call is one request as its caller observed it.
type call struct {
	id    string
	class class
	key   string
	node  int
	// incarnation is the node's process that the request was sent to.
	incarnation int
	// refusal is the code of the node's error.
	refusal string
	// version is the version of the configuration that added the route of a routeProbe.
	version  int
	sent     time.Time
	finished time.Time
	// status is zero without a response. problem says what was wrong with a response, or is empty.
	status  int
	problem string
	// disconnectedAt is when the caller disconnected on purpose; zero when it did not.
	disconnectedAt time.Time
	// complete is true when the entire response was received, ended when a response ended without an error, whatever
	// its content.
	complete, ended bool
	// onlyContent is true if the content alone is the problem: the response has the request's ID.
	onlyContent bool
	// events is the number of events that the stream has to have.
	events int
	// crashesUpstreams is true when the request crashes the upstreams that run it.
	crashesUpstreams bool
	// beside is true for a sound request with the key and the other prompt parts of those that crash VMs.
	beside bool
	// promptParts is the header value that lists the parts of the prompt; empty for none.
	promptParts string
}

// lineClass returns the class as the lines of a history name it.
func (c call) lineClass() string {
	if c.beside {
		return "beside"
	}
	return c.class.String()
}

// bodyName returns what the body of a request contains. All requests that crash upstreams by themselves, and not by
// a part of their prompt, have the same body, so that nodes see them as the same request.
func (c call) bodyName() string {
	if c.crashesUpstreams && c.promptParts == "" {
		return crashPathPrefix
	}
	return c.id
}

// disturbance is a period in which a fault or a planned operation was active.
type disturbance struct {
	// node is the number of the affected node, or one of the constants below.
	node     int
	from, to time.Time
	kind     Kind
}

// Values of disturbance.node for all nodes, an upstream, or callers.
const (
	everyNode   = -1
	anUpstream  = -2
	callersOnly = -3
)

// vmEvent is a leave, termination or crash of a VM.
type vmEvent struct {
	vm string
	at time.Time
}

// acceptedVersion is a version of the configuration that the store accepted.
type acceptedVersion struct {
	version int
	at      time.Time
	// revokedKey is the key that the version removes; empty for none.
	revokedKey string
}

// history holds what callers, upstreams and operators observed. It is safe for concurrent use.
type history struct {
	mu           sync.Mutex
	calls        []call
	observations []groupengine.Observation
	disturbances []disturbance
	// powerLosses holds the periods from the acknowledgement of a version, after which all nodes lost power, to the start
	// of the last node.
	powerLosses []disturbance
	// undisturbing holds what disturbs nobody: the reloads of nodes and the silences of sound heads.
	undisturbing []disturbance
	departures   []vmEvent
	// terminations holds all terminations of VMs; crashes holds only those caused by a request.
	terminations []vmEvent
	crashes      []vmEvent
	versions     []acceptedVersion
	// joinsFromOpenGroups holds the joins of VMs whose old group still had an open head.
	joinsFromOpenGroups []groupengine.Observation
	// conditions holds what VMs reported about themselves.
	conditions  []reportedCondition
	evacuations []evacuation
	ownEnds     []ownEnd
	// endless holds the periods in which VMs answered without end.
	endless []endlessAnswers
	warmups []vmWarmup
	// cuts holds the periods in which nodes were cut off from all upstreams.
	cuts []disturbance
	// crowdings holds the periods in which most new connections went to one node.
	crowdings []disturbance
	// crashingParts holds the periods in which requests had a prompt part that crashes VMs, partCrashes the crashes.
	crashingParts []crashingPart
	partCrashes   []partCrash
}

func (h *history) recordObservation(o groupengine.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, o)
}

func (h *history) recordCall(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) recordDisturbance(d disturbance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, d)
}

func (h *history) recordUndisturbing(d disturbance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.undisturbing = append(h.undisturbing, d)
}

func (h *history) recordDeparture(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.departures = append(h.departures, vmEvent{vm, time.Now()})
}

func (h *history) recordTermination(vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.terminations = append(h.terminations, vmEvent{vm, time.Now()})
}

func (h *history) recordCrash(e vmEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.crashes = append(h.crashes, e)
}

func (h *history) recordVersion(a acceptedVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, a)
}

func (h *history) recordJoinFromOpenGroup(o groupengine.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.joinsFromOpenGroups = append(h.joinsFromOpenGroups, o)
}
