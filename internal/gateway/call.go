// Package gateway serves callers by the routes of the catalog: it finds the
// route and team of a request, picks an upstream, relays the answer, and goes on
// at another upstream when the first one fails.
//
// Concurrency: requests run on net/http's goroutines. The board holds what is
// known of upstreams under a short lock that is never held during a call; the
// catalog and the fleet are read as immutable snapshots.
package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/quarantine"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// Call is one request of a caller, decoded.
type Call struct {
	// ID names this try; a caller's own repeats have IDs of their own.
	ID     string
	Method string
	Host   string
	// Path and Query are as the caller sent them, byte for byte. Query begins
	// with the question mark, if there is one.
	Path  string
	Query string
	// Header is the caller's header; it is not changed.
	Header http.Header
	Body   []byte
	Key    string
	// Patience is how long the caller waits; zero when it did not say.
	Patience time.Duration
	// Model is the wanted model; empty for plain services.
	Model string
	// PromptTokens and MaxTokens are the caller's token counts; zero when unknown.
	PromptTokens int
	MaxTokens    int
	// ExpectedTokens is the caller's estimate of the answer's length.
	ExpectedTokens int
	// LastEvent is the last event that the caller already has of a stream.
	LastEvent string

	// The rest is filled in by the gateway.

	Arrived  time.Time
	Deadline time.Time
	Route    *catalog.Route
	Team     string
	Priority int
	Service  string
	// Waited is how long the caller has probably waited on earlier tries.
	Waited time.Duration
	// CatalogVersion and CatalogAge say by which configuration the call is
	// handled and how long ago that was last known to be the newest.
	CatalogVersion uint64
	CatalogAge     time.Duration

	// print is the fingerprint once it was asked for; zero before.
	print quarantine.Fingerprint
	// judged is what was held against the request before its newest send.
	judged quarantine.Verdict
}

// fingerprint names what is asked for. It is worked out when first asked for, once the
// body has been read and the team is known.
func (c *Call) fingerprint() quarantine.Fingerprint {
	if c.print == 0 {
		c.print = quarantine.Request{Team: c.Team, Method: c.Method, Host: c.Host, Target: c.Path + c.Query, Body: c.Body}.Fingerprint()
	}
	return c.print
}

// Attempt is one send of a call to one upstream.
type Attempt struct {
	// VM is the ID of the one life that may take the request.
	VM string
	// Left is the time left.
	Left time.Duration
	// LastEvent is the last event that the caller has; the answer goes on after it.
	LastEvent string
}

// CallerDialect is how callers speak to the gateway.
type CallerDialect interface {
	// Read decodes a request's head. The body is left unread. An error is the
	// final answer.
	Read(r *http.Request) (*Call, *verdict.Error)
	// Refuse sends a final answer of the gateway's own.
	Refuse(w http.ResponseWriter, requestID string, e *verdict.Error)
}

// UpstreamDialect is how the gateway speaks to upstreams.
type UpstreamDialect interface {
	// Header returns the header of a send.
	Header(c *Call, a Attempt) http.Header
	// Mark and Judge make it a relay.Dialect.
	Mark(h http.Header, requestID string)
	Judge(resp *http.Response, requestID string) error
	// Condition is what an answer says of the upstream's own condition. The error names what
	// can't be read; the notice holds the rest.
	Condition(status int, h http.Header) (backpressure.Signals, error)
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// PassOn returns a copy of the header without what concerns one connection.
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
