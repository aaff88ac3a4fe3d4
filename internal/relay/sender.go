// Package relay sends a request to one upstream and returns the response.
// Each error states whether the upstream may have run the request.
package relay

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/httpcheck"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// Header fields of the upstreams' protocol.
const (
	// RequestIDHeader carries the request's ID, which engines echo.
	RequestIDHeader = "X-Request-Id"
	// RunIDHeader carries the ID of the run that an engine started, by which it can be resumed.
	RunIDHeader = "X-Run-Id"
	// RefusedHeader with the value "not-run" states that the upstream did not start
	// the request.
	RefusedHeader = "X-Refused"
	// GroupHeader and GenerationHeader carry the group that the entry expects the upstream to be in.
	GroupHeader      = "Marbleroad-Group"
	GenerationHeader = "Marbleroad-Generation"
	// PriorityHeader carries the priority, 0 to 9.
	PriorityHeader = "Marbleroad-Priority"

	refusedNotRun = "not-run"
)

// Codes of the errors that Send and its callers return.
const (
	// CodeUnreachable means that no byte of the request reached the upstream.
	CodeUnreachable = "upstream-unreachable"
	// CodeRefused means that the upstream refused the request before running it.
	CodeRefused = "upstream-refused"
	// CodeBroken means that the connection failed after a part of the request was written, or that
	// the response is unusable.
	CodeBroken = "upstream-broken"
	// CodeResponseMismatch means that the response belongs to another request.
	CodeResponseMismatch = "foreign-answer"
	// CodeDeadline means that the request's context ended: its deadline expired, its caller
	// disconnected or the entry had to stop.
	CodeDeadline = "deadline"
	// CodeMisdirected means that another VM has the address now, or that the VM is
	// not the head of a group.
	CodeMisdirected = "upstream-misdirected"
)

// ErrResponseMismatch means that a response belongs to another request.
var ErrResponseMismatch = errors.New("answer belongs to another request")

// errPremature means that a response arrived before its request was sent.
var errPremature = errors.New("an answer came before the request")

// Outgoing is one request to one upstream.
type Outgoing struct {
	Address   string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	RequestID string
	// AtMostOnce is true when the request must run at most once. It is sent on a new
	// connection, on which net/http never replays a request.
	AtMostOnce bool
	// Peer is true when the request goes to another entry, over mutual TLS if that is configured.
	Peer bool
	// RequireEcho is true when the upstream's protocol requires the response to echo the request ID.
	RequireEcho bool
	// Host is the host that is sent to the upstream; empty for the address.
	Host string
	// Dialect is the upstream's variant of the protocol; nil for marbleroad's own.
	Dialect Dialect
	// OnResponse, if set, is called with the status and header of a response of the intended upstream,
	// also of one that refuses the request.
	OnResponse func(status int, h http.Header)
}

// Dialect is a variant of the protocol to upstreams.
type Dialect interface {
	// SetRequestID sets the header fields that identify the request.
	SetRequestID(h http.Header, requestID string)
	// CheckResponse returns nil when the response belongs to the request and the upstream
	// ran the request; otherwise a *verdict.Error with the reason.
	CheckResponse(resp *http.Response, requestID string) error
}

// Sender sends requests to upstreams and other entries. It may be used from any goroutine.
type Sender struct {
	// pooled reuses connections; singleUse opens a new one for each request.
	pooled    *httpcheck.Transport
	singleUse *httpcheck.Transport
	// peerScheme is http or https, for requests to other entries.
	peerScheme string
}

const (
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 60 * time.Second
	// maxIdlePerUpstream bounds the unused connections to one upstream.
	maxIdlePerUpstream = 256
	// writeBufferBytes is the size of each connection's write buffer.
	writeBufferBytes = 32 << 10
)

// NewSender returns a sender that opens its connections with the dialer. peerTLS is used for requests to other
// entries; with nil they are sent as plain HTTP.
//
// It has two transports, because net/http's Transport replays some requests by itself
// when a reused connection fails: those with an idempotent method, and any request with
// an Idempotency-Key. A replay would run a non-idempotent request twice. The Transport
// never replays on a new connection, so the single-use transport keeps no connections.
// Requests that may be repeated use the pooled transport, and preventReplay changes them
// so that net/http does not replay them: each request that Send writes arrives at most once.
func NewSender(dialer *net.Dialer, peerTLS *tls.Config) *Sender {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newCountingConn(conn), nil
	}
	base := &http.Transport{
		DialContext:         dial,
		TLSClientConfig:     peerTLS,
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerUpstream,
		WriteBufferSize:     writeBufferBytes,
		DisableCompression:  true,

		MaxResponseHeaderBytes: transport.MaxResponseHeadBytes,
	}
	singleUse := base.Clone()
	singleUse.DisableKeepAlives = true
	scheme := "http"
	if peerTLS != nil {
		scheme = "https"
	}
	return &Sender{pooled: httpcheck.NewTransport(base), singleUse: httpcheck.NewTransport(singleUse), peerScheme: scheme}
}

// Send sends the request and returns the upstream's response once its header is
// read. The caller must close the body. Every error is a *verdict.Error.
func (s *Sender) Send(ctx context.Context, o Outgoing) (*http.Response, error) {
	transport := s.pooled
	if o.AtMostOnce {
		transport = s.singleUse
	}
	resp, tracker, err := s.roundTrip(ctx, transport, o)
	if err != nil && tracker.staleConn(ctx) {
		resp, tracker, err = s.roundTrip(ctx, s.singleUse, o)
	}
	if err != nil {
		return nil, classify(ctx, tracker, err)
	}
	rejection := o.checkResponse(resp)
	if o.OnResponse != nil && fromIntendedUpstream(rejection) {
		o.OnResponse(resp.StatusCode, resp.Header)
	}
	if rejection != nil {
		_ = resp.Body.Close()
		return nil, rejection
	}
	return resp, nil
}

func (s *Sender) roundTrip(ctx context.Context, transport http.RoundTripper, o Outgoing) (*http.Response, *writeTracker, error) {
	tracker := &writeTracker{}
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn, GotFirstResponseByte: tracker.gotFirstByte}
	req, err := s.newRequest(httptrace.WithClientTrace(ctx, trace), o)
	if err != nil {
		return nil, tracker, errors.Wrap(err, "the request cannot be sent")
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, tracker, err
	}
	tracker.endHead()
	if tracker.premature {
		_ = resp.Body.Close()
		return nil, tracker, errPremature
	}
	return resp, tracker, nil
}

// fromIntendedUpstream reports whether a response with this check result came from the upstream that the
// request was meant for, which ran or refused the request.
func fromIntendedUpstream(rejection error) bool {
	return rejection == nil || verdict.As(rejection).Code == CodeRefused
}

// checkResponse returns an error for a response that belongs to another request, or that shows
// that the upstream did not run the request.
func (o Outgoing) checkResponse(resp *http.Response) error {
	if o.Dialect != nil {
		return o.Dialect.CheckResponse(resp, o.RequestID)
	}
	return checkHeaders(resp, o)
}

// targetURL returns a URL for which net/http sends path, with its query, byte for byte.
func targetURL(scheme, address, path string) (*url.URL, error) {
	u, err := url.Parse(scheme + "://" + address + path)
	if err == nil && u.RequestURI() == path && u.Host == address {
		return u, nil
	}
	opaque := &url.URL{Scheme: scheme, Host: address, Opaque: path}
	if opaque.RequestURI() != path {
		return nil, errors.Newf("path %q cannot be sent as it is", path)
	}
	return opaque, nil
}

func (s *Sender) newRequest(ctx context.Context, o Outgoing) (*http.Request, error) {
	scheme := "http"
	if o.Peer {
		scheme = s.peerScheme
	}
	var body io.Reader
	if len(o.Body) > 0 {
		body = bytes.NewReader(o.Body)
	}
	u, err := targetURL(scheme, o.Address, o.Path)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, o.Method, scheme+"://"+o.Address, body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.URL = u
	req.Host = o.Host
	req.Header = o.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	o.setRequestID(req.Header)
	preventReplay(req)
	return req, nil
}

// replayHeaders are the header fields for which net/http treats any request as idempotent.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// preventReplay keeps net/http from sending the request again by itself. On a reused connection it
// does so if it can read the body again and the method or a header field marks the request as
// idempotent. The retry budget does not count such sends (33 of 112 repeats at a plain service).
// Header names in lower case mean the same to an upstream, but net/http does not recognise them.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	for _, name := range replayHeaders {
		if values := req.Header[name]; values != nil {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = values
		}
	}
	if req.Body != nil {
		return
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Body = io.NopCloser(strings.NewReader(""))
	}
}

// setRequestID sets the header fields that identify the request.
func (o Outgoing) setRequestID(h http.Header) {
	if o.Dialect != nil {
		o.Dialect.SetRequestID(h, o.RequestID)
		return
	}
	h.Set(RequestIDHeader, o.RequestID)
}

// classify returns the error of a failed send with the verdict whether the request may have run.
func classify(ctx context.Context, tracker *writeTracker, err error) *verdict.Error {
	v := verdict.NotRun
	// When the context ends or the response is not valid, net/http may still write the request to a
	// connection that it has chosen.
	undecided := ctx.Err() != nil || errors.Is(err, httpcheck.ErrInvalid)
	if tracker.wroteBytes() || (undecided && len(tracker.conns) > 0) {
		v = verdict.MayHaveRun
	}
	if ctx.Err() != nil {
		e := failure(v, CodeDeadline, "the deadline passed or the caller left", err)
		e.Status = http.StatusGatewayTimeout
		return e
	}
	if v == verdict.NotRun {
		return failure(v, CodeUnreachable, "no byte of the request reached the upstream", err)
	}
	if errors.Is(err, httpcheck.ErrInvalid) {
		return failure(v, CodeBroken, "the upstream sent something else than an answer", err)
	}
	return failure(v, CodeBroken, "the connection broke before the answer", err)
}

// checkHeaders returns an error for a response that belongs to another request, and for one
// that states that the upstream did not run the request.
func checkHeaders(resp *http.Response, o Outgoing) error {
	echo := resp.Header.Get(RequestIDHeader)
	if echo != o.RequestID && (o.RequireEcho || echo != "") {
		return failure(verdict.MayHaveRun, CodeResponseMismatch, "the upstream answered another request", ErrResponseMismatch)
	}
	if resp.Header.Get(RefusedHeader) == refusedNotRun {
		return failure(verdict.NotRun, CodeRefused, "the upstream refused the request before running it", nil)
	}
	return nil
}

// Failure returns the error of a failed send, with the HTTP status for its verdict.
func Failure(v verdict.Verdict, code, detail string, cause error) *verdict.Error {
	return failure(v, code, detail, cause)
}

func failure(v verdict.Verdict, code, detail string, cause error) *verdict.Error {
	status := http.StatusBadGateway
	if v == verdict.NotRun {
		status = http.StatusServiceUnavailable
	}
	return &verdict.Error{Verdict: v, Status: status, Code: code, Detail: detail, Cause: cause}
}

// ReadBody reads a response's complete body, which may have at most limit bytes. Its errors
// are *verdict.Error with MayHaveRun.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, failure(verdict.MayHaveRun, CodeBroken, "the answer broke off", err)
	}
	if int64(len(body)) > limit {
		return nil, failure(verdict.MayHaveRun, CodeBroken, "the answer is larger than the entry takes", nil)
	}
	return body, nil
}
