package forward

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/internal/verdict"
)

// Header fields of forwarded requests and of the responses to them. Nodes accept them from other nodes only.
const (
	// fieldNode is the ID of the node that forwards the request; its presence marks a forwarded request.
	fieldNode = "Marbleroad-Forwarded-By"
	// fieldRequest identifies the request in both directions.
	fieldRequest   = "Marbleroad-Forwarded-Request"
	fieldTimeLeft  = "Marbleroad-Time-Left-Ms"
	fieldWaited    = "Marbleroad-Waited-Ms"
	fieldReturning = "Marbleroad-Returning"
	fieldRuns      = "Marbleroad-Runs"
	fieldLastEvent = "Marbleroad-Last-Event"
	fieldStarted   = "Marbleroad-Started"
	fieldCatalog   = "Marbleroad-Catalog"
	fieldCredit    = "Marbleroad-Credit"
	// fieldCode and fieldRetryAfter, together with verdict.Header, describe the error of a request that the other node
	// did not complete.
	fieldCode       = "Marbleroad-Error"
	fieldRetryAfter = "Marbleroad-Retry-After-Ms"
)

// fields lists all of them.
var fields = []string{fieldNode, fieldRequest, fieldTimeLeft, fieldWaited, fieldReturning, fieldRuns, fieldLastEvent, fieldStarted, fieldCatalog, fieldCredit,
	fieldCode, fieldRetryAfter, verdict.Header}

// Strip removes the fields of this package from a header.
func Strip(h http.Header) {
	for _, name := range fields {
		h.Del(name)
	}
}

// IsForwarded reports whether a request was forwarded by another node.
func IsForwarded(h http.Header) bool { return h.Get(fieldNode) != "" }

// Envelope is what the forwarding node knows of a request beyond what its caller sent.
type Envelope struct {
	// Node is the ID of the forwarding node.
	Node string
	// Request identifies the request.
	Request string
	// TimeLeft is the time until its deadline, Waited the time that its caller has spent on earlier requests, in whole
	// milliseconds on the wire. Returning is true if the caller was refused before.
	TimeLeft, Waited time.Duration
	Returning        bool
	// Runs is the number of upstreams that may have run the request. They count against the attempts of its route.
	Runs int
	// LastEvent is the ID of the last event that the caller has. Started is true if the caller has a part of the
	// response, so that it must go on from there.
	LastEvent string
	Started   bool
	// Catalog is the version of the configuration that the forwarding node applies.
	Catalog uint64
	// Credit is true if the request earns its credit for repeats at the receiving node.
	Credit bool
}

// Write sets the fields of the envelope.
func (e Envelope) Write(h http.Header) {
	h.Set(fieldNode, e.Node)
	h.Set(fieldRequest, e.Request)
	h.Set(fieldTimeLeft, strconv.FormatInt(e.TimeLeft.Milliseconds(), 10))
	h.Set(fieldWaited, strconv.FormatInt(e.Waited.Milliseconds(), 10))
	h.Set(fieldReturning, strconv.FormatBool(e.Returning))
	h.Set(fieldRuns, strconv.Itoa(e.Runs))
	h.Set(fieldLastEvent, e.LastEvent)
	h.Set(fieldStarted, strconv.FormatBool(e.Started))
	h.Set(fieldCatalog, strconv.FormatUint(e.Catalog, 10))
	h.Set(fieldCredit, strconv.FormatBool(e.Credit))
}

// Read reads the envelope of a forwarded request. A field that can't be read counts as zero: the request then has no
// time left, and is rejected.
func Read(h http.Header) Envelope {
	integer := func(name string) int64 {
		n, err := strconv.ParseInt(strings.TrimSpace(h.Get(name)), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return Envelope{
		Node:      h.Get(fieldNode),
		Request:   h.Get(fieldRequest),
		TimeLeft:  time.Duration(integer(fieldTimeLeft)) * time.Millisecond,
		Waited:    time.Duration(integer(fieldWaited)) * time.Millisecond,
		Returning: h.Get(fieldReturning) == "true",
		Runs:      int(integer(fieldRuns)),
		LastEvent: h.Get(fieldLastEvent),
		Started:   h.Get(fieldStarted) == "true",
		Catalog:   uint64(integer(fieldCatalog)),
		Credit:    h.Get(fieldCredit) == "true",
	}
}

// WriteError sends the error of a forwarded request to the node that forwarded it.
func WriteError(w http.ResponseWriter, request string, e *verdict.Error) {
	h := w.Header()
	h.Set(fieldRequest, request)
	h.Set(verdict.Header, e.Verdict.String())
	h.Set(fieldCode, e.Code)
	h.Set(fieldRetryAfter, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(e.Detail)))
	w.WriteHeader(e.Status)
	// A failed write means that the other node has disconnected: nothing is left to do.
	_, _ = w.Write([]byte(e.Detail))
}

// MarkResponse marks the header of an upstream's response as the response to a forwarded request.
func MarkResponse(h http.Header, request string) {
	Strip(h)
	h.Set(fieldRequest, request)
}

// ResponseRequest returns the request that a response answers.
func ResponseRequest(h http.Header) string { return h.Get(fieldRequest) }

// ReadError returns the error that a response describes, without its detail; nil if it is an upstream's response.
func ReadError(status int, h http.Header) *verdict.Error {
	if h.Get(verdict.Header) == "" {
		return nil
	}
	ms, err := strconv.ParseInt(h.Get(fieldRetryAfter), 10, 64)
	if err != nil {
		ms = 0
	}
	return &verdict.Error{Verdict: verdict.Parse(h.Get(verdict.Header)), Status: status, Code: h.Get(fieldCode), RetryAfter: time.Duration(ms) * time.Millisecond}
}

// SetRequest sets the field that identifies a forwarded request.
func SetRequest(h http.Header, request string) { h.Set(fieldRequest, request) }
