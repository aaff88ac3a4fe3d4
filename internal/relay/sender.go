// Package relay sends a request to one upstream and carries the answer back.
// It knows at every failure whether the upstream may have run the request.
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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/verdict"
)

// Headers of the upstreams' protocol.
const (
	// RequestIDHeader carries the request's ID; engines echo it.
	RequestIDHeader = "X-Request-Id"
	// RunIDHeader names the run that an engine began, for resuming.
	RunIDHeader = "X-Run-Id"
	// RefusedHeader with the value "not-run" is an upstream's word that it
	// did not begin the request.
	RefusedHeader = "X-Refused"
	// GroupHeader and GenerationHeader say which group the entry believes in.
	GroupHeader      = "Marbleroad-Group"
	GenerationHeader = "Marbleroad-Generation"
	// PriorityHeader carries the priority, 0 to 9.
	PriorityHeader = "Marbleroad-Priority"

	refusedNotRun = "not-run"
)

// Codes of failures in this package.
const (
	CodeUnreachable = "upstream-unreachable"
	CodeRefused     = "upstream-refused"
	CodeBroken      = "upstream-broken"
	CodeForeign     = "foreign-answer"
	CodeDeadline    = "deadline"
	// CodeMisdirected means that another VM has the address, or that the VM is
	// not the head of a group.
	CodeMisdirected = "upstream-misdirected"
)

// ErrForeignAnswer means that an answer belongs to another request.
var ErrForeignAnswer = errors.New("answer belongs to another request")

// Outgoing is one request to one upstream.
type Outgoing struct {
	Address   string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	RequestID string
	// Once is true when the request must not run twice: it goes out on a
	// connection of its own, which net/http never replays.
	Once bool
	// Peer is true when the request goes to another entry, over mutual TLS if set.
	Peer bool
	// Echo is true when the upstream's protocol promises to echo the request ID.
	Echo bool
	// Host is the host that the upstream is told; empty for the address.
	Host string
	// Dialect is how the upstream is spoken to; nil for marbleroad's own way.
	Dialect Dialect
	// Observe, if set, gets the status and header of an answer that is the upstream's own, also of
	// one that refuses the request.
	Observe func(status int, h http.Header)
}

// Dialect is one way of speaking to upstreams.
type Dialect interface {
	// Mark sets what names the request in its header.
	Mark(h http.Header, requestID string)
	// Judge returns nil when the answer belongs to the request and counts as
	// run; otherwise a *verdict.Error that says what it is instead.
	Judge(resp *http.Response, requestID string) error
}

// Sender sends requests. It may be used from any goroutine.
type Sender struct {
	shared *http.Transport
	single *http.Transport
	// scheme is http or https, for requests to other entries.
	peerScheme string
}

const (
	idleTimeout     = 60 * time.Second
	idlePerUpstream = 256
	writeBuffer     = 32 << 10
)

// NewSender returns a sender whose connections come from the dialer. peerTLS is used towards other entries; nil
// sends plain HTTP to them.
//
// Two transports: net/http's Transport replays some requests on its own when
// a reused connection breaks (idempotent methods, and any request with an
// Idempotency-Key), which would run a non-idempotent request twice. It never
// replays on a connection that is not reused, so the single transport keeps none.
// Requests that may be repeated keep connections, and are made so that they look
// like none of these: each Send arrives once at most.
func NewSender(dialer *net.Dialer, peerTLS *tls.Config) *Sender {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
	base := http.Transport{
		DialContext:         dial,
		TLSClientConfig:     peerTLS,
		TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idlePerUpstream,
		WriteBufferSize:     writeBuffer,
		DisableCompression:  true,
	}
	single := base.Clone()
	single.DisableKeepAlives = true
	scheme := "http"
	if peerTLS != nil {
		scheme = "https"
	}
	return &Sender{shared: base.Clone(), single: single, peerScheme: scheme}
}

// countingConn counts the bytes written, and takes back a request that is given up
// before any byte of its answer came.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// unanswered is true from a write until the next byte is read.
	unanswered atomic.Bool
}

// Write implements net.Conn. Bytes count before they are handed over, since a
// failed write may have sent a part.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	c.unanswered.Store(true)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

// Close implements net.Conn. With a request under way it resets the connection:
// after an orderly close the system would still deliver a request that a broken link
// holds up, seconds after its caller left.
func (c *countingConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unanswered.Load() {
		if err := tcp.SetLinger(0); err != nil && !errors.Is(err, net.ErrClosed) {
			return errors.CombineErrors(err, c.Conn.Close())
		}
	}
	return c.Conn.Close()
}

// wireWatch sees whether any byte of one request reached a connection.
type wireWatch struct {
	conns []*countingConn
	base  []int64
	// reused is true when the newest connection had carried another request.
	reused bool
}

func (w *wireWatch) gotConn(info httptrace.GotConnInfo) {
	w.reused = info.Reused
	inner := info.Conn
	if secure, ok := inner.(*tls.Conn); ok {
		inner = secure.NetConn()
	}
	conn, ok := inner.(*countingConn)
	if !ok {
		return
	}
	w.conns = append(w.conns, conn)
	w.base = append(w.base, conn.written.Load())
}

func (w *wireWatch) touched() bool {
	for i, conn := range w.conns {
		if conn.written.Load() != w.base[i] {
			return true
		}
	}
	return false
}

// Send sends the request and returns the upstream's answer with its header
// read. The caller closes the body. Every error is a *verdict.Error.
func (s *Sender) Send(ctx context.Context, o Outgoing) (*http.Response, error) {
	transport := s.shared
	if o.Once {
		transport = s.single
	}
	resp, watch, err := s.roundTrip(ctx, transport, o)
	if err != nil && watch.stale(ctx) {
		resp, watch, err = s.roundTrip(ctx, s.single, o)
	}
	if err != nil {
		return nil, classify(ctx, watch, err)
	}
	judged := o.judge(resp)
	if o.Observe != nil && ownAnswer(judged) {
		o.Observe(resp.StatusCode, resp.Header)
	}
	if judged != nil {
		_ = resp.Body.Close()
		return nil, judged
	}
	return resp, nil
}

func (s *Sender) roundTrip(ctx context.Context, transport *http.Transport, o Outgoing) (*http.Response, *wireWatch, error) {
	watch := &wireWatch{}
	req, err := s.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: watch.gotConn}), o)
	if err != nil {
		return nil, watch, errors.Wrap(err, "the request cannot be sent")
	}
	resp, err := transport.RoundTrip(req)
	return resp, watch, err
}

// stale reports whether a request failed only because the upstream had closed the idle
// connection that it was about to be written to: no byte was, so it goes out anew.
func (w *wireWatch) stale(ctx context.Context) bool {
	return w.reused && !w.touched() && ctx.Err() == nil
}

// ownAnswer reports whether an answer that was judged so is of the upstream that was meant: it ran the
// request or refused it.
func ownAnswer(judged error) bool {
	return judged == nil || verdict.As(judged).Code == CodeRefused
}

func (o Outgoing) judge(resp *http.Response) error {
	if o.Dialect != nil {
		return o.Dialect.Judge(resp, o.RequestID)
	}
	return check(resp, o)
}

// target returns the URL that has net/http send path, with its query, byte for
// byte.
func target(scheme, address, path string) (*url.URL, error) {
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
	u, err := target(scheme, o.Address, o.Path)
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
	o.mark(req.Header)
	neverReplayed(req)
	return req, nil
}

// replayHeaders are those that have net/http take any request for idempotent.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// neverReplayed has net/http not send the request again by itself. It would, on a reused
// connection, if it could get the body anew and the method or a header says idempotent; such
// sends are in no budget (33 of 112 repeats at a plain service). Names of headers are the same in
// lower case, where net/http does not look for them.
func neverReplayed(req *http.Request) {
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

func (o Outgoing) mark(h http.Header) {
	if o.Dialect != nil {
		o.Dialect.Mark(h, o.RequestID)
		return
	}
	h.Set(RequestIDHeader, o.RequestID)
}

func classify(ctx context.Context, watch *wireWatch, err error) *verdict.Error {
	v := verdict.NotRun
	// When the context ends, net/http may still be about to write on a
	// connection that it has.
	if watch.touched() || (ctx.Err() != nil && len(watch.conns) > 0) {
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
	return failure(v, CodeBroken, "the connection broke before the answer", err)
}

// check refuses answers that are not this request's own, and reads an
// upstream's word that it did not run the request.
func check(resp *http.Response, o Outgoing) error {
	echo := resp.Header.Get(RequestIDHeader)
	if echo != o.RequestID && (o.Echo || echo != "") {
		return failure(verdict.MayHaveRun, CodeForeign, "the upstream answered another request", ErrForeignAnswer)
	}
	if resp.Header.Get(RefusedHeader) == refusedNotRun {
		return failure(verdict.NotRun, CodeRefused, "the upstream refused the request before running it", nil)
	}
	return nil
}

// Failure returns a failed send with the status that fits its verdict.
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

// Whole reads an answer's body to its end, at most limit bytes. An error is a
// *verdict.Error with MayHaveRun.
func Whole(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, failure(verdict.MayHaveRun, CodeBroken, "the answer broke off", err)
	}
	if int64(len(body)) > limit {
		return nil, failure(verdict.MayHaveRun, CodeBroken, "the answer is larger than the entry takes", nil)
	}
	return body, nil
}
