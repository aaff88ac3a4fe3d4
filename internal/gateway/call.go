// Package gateway handles the requests of callers according to the routes of the catalog: it finds the
// route and team of a request, chooses an upstream, relays the response, and continues at another upstream
// if the first one fails.
//
// Concurrency: requests run on the goroutines of net/http. The target table holds the state of all
// upstreams under a lock that is held briefly and never during a call. The catalog and the fleet are read
// as immutable snapshots.
package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/forward"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// Call is a decoded request of a caller.
type Call struct {
	// ID identifies this attempt of the caller. A caller that repeats a request uses a new ID.
	ID     string
	Method string
	Host   string
	// Path and Query are the bytes that the caller sent, unchanged. A query includes its question mark.
	Path  string
	Query string
	// Header is the caller's header. It must not be modified.
	Header http.Header
	Body   []byte
	// Key is the caller's key, by which its team is found; empty if the caller sent none.
	Key string
	// CallerTimeout is the caller's timeout; zero if the caller sent none.
	CallerTimeout time.Duration
	// Model is the requested model; empty for plain services.
	Model string
	// PromptTokens and MaxTokens are the caller's token counts; zero when unknown.
	PromptTokens int
	MaxTokens    int
	// PromptParts are the IDs of the parts of the prompt that other prompts may share, in order.
	PromptParts []string
	// ExpectedTokens is the caller's estimate of the response length in tokens.
	ExpectedTokens int
	// LastEvent is the ID of the last event of the stream that the caller has already received.
	LastEvent string

	// The gateway fills in the fields below.

	Arrived  time.Time
	Deadline time.Time
	Route    *catalog.Route
	Team     string
	// TeamHomes are the regions to which the team's requests are restricted.
	TeamHomes catalog.Homes
	// Priority is that of the team if it has one, and that of the route otherwise; 0 is the highest.
	Priority int
	Service  string
	// Waited is the estimated time that the caller has spent on earlier attempts.
	Waited time.Duration
	// Returning is true if, by its timeout, the caller was refused before; only with the setting overload.returns.
	Returning bool
	// CatalogVersion is the version of the configuration that applies to the call, CatalogAge the time
	// since it was last verified to be the newest.
	CatalogVersion uint64
	CatalogAge     time.Duration

	// forwarded is what the node that forwarded the call knows of it; nil for a call of this node's own caller.
	forwarded *forward.Envelope

	// inFlight is the call's entry in the registry of the requests in flight.
	inFlight *inFlightRequest

	// cachedFingerprint is the fingerprint after its first use; zero before.
	cachedFingerprint quarantine.Fingerprint
	// cachedTraits are the traits that the request shares with others, and their fingerprints; nil before the first
	// use, and if there are none.
	cachedTraits            []quarantine.Trait
	cachedTraitFingerprints []quarantine.Fingerprint
	// judgement is the quarantine state of the request before its most recent send.
	judgement quarantine.Judgement
}

// fingerprint identifies the content of the request. It is computed on first use, when the body has been
// read and the team is known.
func (c *Call) fingerprint() quarantine.Fingerprint {
	if c.cachedFingerprint == 0 {
		c.cachedFingerprint = quarantine.Request{Team: c.Team, Method: c.Method, Host: c.Host, Target: c.Path + c.Query, Body: c.Body}.Fingerprint()
	}
	return c.cachedFingerprint
}

// forwardedField adds the node that forwarded the call to a log line.
func (c *Call) forwardedField(line *zerolog.Event) *zerolog.Event {
	if c.forwarded == nil {
		return line
	}
	return line.Str("forwarded_by", c.forwarded.Node)
}

// Attempt describes one send of a call to one upstream.
type Attempt struct {
	// VM is the ID of the only VM that may run the request.
	VM string
	// TimeLeft is the time left until the deadline.
	TimeLeft time.Duration
	// LastEvent is the ID of the last event that the caller has. The response continues after it.
	LastEvent string
}

// CallerDialect is the protocol between callers and the gateway.
type CallerDialect interface {
	// Read decodes the head of a request and leaves the body unread. It returns a call also with an error,
	// which is sent to the caller as the final response.
	Read(r *http.Request) (*Call, *verdict.Error)
	// Refuse sends an error of the gateway to the caller.
	Refuse(w http.ResponseWriter, requestID string, e *verdict.Error)
}

// UpstreamDialect is the protocol between the gateway and upstreams.
type UpstreamDialect interface {
	// Header returns the header for an attempt.
	Header(c *Call, a Attempt) http.Header
	// SetRequestID and CheckResponse implement relay.Dialect.
	SetRequestID(h http.Header, requestID string)
	CheckResponse(resp *http.Response, requestID string) error
	// Condition reads the signals about the condition of the upstream from a response. The error names the
	// parts that can't be read; the result holds all others.
	Condition(status int, h http.Header) (backpressure.Signals, error)
}

// hopHeaders apply to one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// PassOn returns a copy of the header without the fields that apply to one connection only.
func PassOn(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
