// Package httpcheck checks that what a server sent is a valid and whole HTTP response, before anything in it is used. A
// server in trouble, or a program of another protocol at its port, may send anything at any time, and net/http accepts
// more than a caller may get.
package httpcheck

import (
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"
)

// ErrPart means that a response without a length ended with its connection while its request was still being written, so
// that it may be a part.
//
// The operating system reports a reset of a connection once. If a write gets the error, a read that follows it sees an
// orderly end.
var ErrPart = errors.New("the response ended before its request was written")

// Major versions of HTTP.
const (
	http1 = 1
	http2 = 2
)

// Transport is an http.RoundTripper that returns valid responses only. The end of a response's body is checked
// too. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
	// major is the version of HTTP that the connections carry.
	major int
}

// NewTransport returns a transport that sends requests with base, over HTTP/2 if its protocols include that and over
// HTTP/1.1 otherwise. Requests must state the length of their bodies. base must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	if base.Protocols != nil && base.Protocols.HTTP2() {
		// It has no unframed responses, and net/http checks the names of fields.
		return &Transport{base: base, major: http2}
	}
	base.DialContext = observed(base.DialContext)
	return &Transport{base: base, major: http1}
}

// RoundTrip implements http.RoundTripper. It returns ErrInvalid for a response that is not valid.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	x := &exchange{request: r}
	trace := &httptrace.ClientTrace{GotConn: x.gotConn}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	resp.Request = r
	if err := errors.CombineErrors(check(resp, t.major), x.checkHead(resp)); err != nil {
		x.abandon(resp)
		return nil, err
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp, exchange: x}
	return resp, nil
}

// CloseIdleConnections closes the idle connections; http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// exchange is one request and its response.
type exchange struct {
	request *http.Request
	// conn is the newest connection that net/http chose for the request, plain whether it is unencrypted.
	conn  *Conn
	plain bool
}

// gotConn records a connection that net/http chose for the request.
func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	x.conn, x.plain = unwrap(info.Conn)
	switch {
	case x.conn == nil:
	case !x.plain:
		x.conn.ignoreHead()
	case info.Reused:
		x.conn.beginRequest()
	}
}

// checkHead returns an error for what only the bytes of a head show, which can't be seen on an encrypted connection.
func (x *exchange) checkHead(resp *http.Response) error {
	if x.conn == nil {
		return nil
	}
	return x.conn.checkHead(resp.ProtoAtLeast(1, 1))
}

// abandon closes the connection of a response that is not used, so that it carries no further request.
func (x *exchange) abandon(resp *http.Response) {
	if x.conn != nil {
		_ = x.conn.Close()
	}
	_ = resp.Body.Close()
}

// requestWritten reports whether the request was written completely. It must be called only when the response has ended
// with its connection. It reports false for an encrypted connection, where that can't be known.
func (x *exchange) requestWritten() bool {
	return x.conn != nil && x.plain && x.conn.closeAndCheckWritten(x.request.ContentLength)
}

// checkedBody is the body of a response. It is used by one goroutine.
type checkedBody struct {
	io.ReadCloser
	resp     *http.Response
	exchange *exchange
}

// Read implements io.Reader. At the end of a response that is not whole, it returns an error instead of io.EOF.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if the response is whole.
func (b *checkedBody) checkEnd() error {
	if Unframed(b.resp) && !b.exchange.requestWritten() {
		return ErrPart
	}
	if err := checkNames(b.resp.Trailer); err != nil {
		return err
	}
	return io.EOF
}

// Unframed reports whether only the end of its connection ends a response: it has neither a length nor chunks. Such a
// response looks the same whether its upstream finished it or terminated.
func Unframed(resp *http.Response) bool {
	noBody := resp.Request != nil && resp.Request.Method == http.MethodHead
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !noBody
}
