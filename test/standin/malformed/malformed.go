// Package malformed sends answers that are no whole, valid HTTP responses, as servers in trouble do. Stand-ins use it.
package malformed

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is an answer that is written as it is, without reading more of its request.
type Answer struct {
	// Before is written before the status line.
	Before string
	// Status is the status line, without its line end.
	Status string
	// Fields are complete lines of the head, which follow the fields that the request determines.
	Fields string
	// Body is all that follows the head.
	Body string
	// Reset makes the connection end with a reset, Pause after the answer. It is closed without one otherwise, but a
	// close resets it too if a part of the request is unread.
	Reset bool
	Pause time.Duration
}

const (
	ok = "HTTP/1.1 200 OK"
	// event is a whole answer to a plain request too.
	event     = "id: 1\ndata: x\n\n"
	framed    = "Content-Length: 15\r\n"
	chunked   = "f\r\n" + event + "\r\n0\r\n\r\n"
	resetWait = 30 * time.Millisecond
)

// Parts are parts of answers without a length, whose connection ends while their request is still being written.
var Parts = map[string]*Answer{
	"reset":              {Status: ok, Body: event, Reset: true, Pause: resetWait},
	"reset at once":      {Status: ok, Body: event, Reset: true},
	"reset, HTTP/1.0":    {Status: "HTTP/1.0 200 OK", Body: event, Reset: true, Pause: resetWait},
	"reset, over 1 MiB":  {Status: ok, Body: strings.Repeat(event, 1<<17), Reset: true, Pause: resetWait},
	"closed, not read":   {Status: ok, Body: event, Pause: resetWait},
	"reset in its event": {Status: ok, Body: event[:8], Reset: true, Pause: resetWait},
}

// Statuses are answers whose status line is none of a final response.
var Statuses = map[string]*Answer{
	"status 000": {Status: "HTTP/1.1 000 Unknown", Fields: framed, Body: event},
	"status 000 that says that the request did not run": {Status: "HTTP/1.1 000 Unknown", Fields: framed + refusal, Body: event},
	"status 099":        {Status: "HTTP/1.1 099 Unknown", Fields: framed, Body: event},
	"status 101":        {Status: "HTTP/1.1 101 Switching Protocols", Fields: "Connection: upgrade\r\nUpgrade: x\r\n", Body: event},
	"status 600":        {Status: "HTTP/1.1 600 Unknown", Fields: framed, Body: event},
	"status of a sign":  {Status: "HTTP/1.1 +20 OK", Fields: framed, Body: event},
	"version 2, framed": {Status: "HTTP/2.0 200 OK", Fields: framed, Body: event},
	"version 2":         {Status: "HTTP/2.0 200 OK", Body: event},
}

// refusal are header fields that state that the request did not run and that the server leaves, in the protocols of both
// kinds of upstreams.
const refusal = "Not-Executed: 1\r\nX-Refused: not-run\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\n"

// Names are answers with a blank or a control byte in the name of a field, of which some hide the framing of the body from
// net/http, and answers whose framing is not valid for other reasons.
var Names = map[string]*Answer{
	"blank":            {Status: ok, Fields: framed + "Foo Bar: x\r\n", Body: event},
	"blank at its end": {Status: ok, Fields: framed + "Foo : x\r\n", Body: event},
	"blank in a refusal": {Status: "HTTP/1.1 503 Service Unavailable", Fields: framed + refusal + "Foo Bar: x\r\n",
		Body: event},
	"blank in the name of the length":       {Status: ok, Fields: "Content-Length : 4\r\n", Body: event},
	"blank in the name of the encoding":     {Status: ok, Fields: "Transfer-Encoding : chunked\r\n", Body: chunked},
	"blank in that name, folded":            {Status: ok, Fields: "Transfer-Encoding\r\n : chunked\r\n", Body: chunked},
	"blank in that name, broken off":        {Status: ok, Fields: "Transfer-Encoding : chunked\r\n", Body: chunked[:10]},
	"control byte":                          {Status: ok, Fields: framed + "Foo\x01: x\r\n", Body: event},
	"tab":                                   {Status: ok, Fields: framed + "Foo\t: x\r\n", Body: event},
	"NUL":                                   {Status: ok, Fields: framed + "Fo\x00o: x\r\n", Body: event},
	"DEL":                                   {Status: ok, Fields: framed + "Foo\x7f: x\r\n", Body: event},
	"no name":                               {Status: ok, Fields: framed + ": x\r\n", Body: event},
	"no colon":                              {Status: ok, Fields: framed + "Foo\r\n", Body: event},
	"control byte in a value":               {Status: ok, Fields: framed + "Foo: x\x00\r\n", Body: event},
	"body under its length":                 {Status: ok, Fields: "Content-Length: 16\r\n", Body: event},
	"two lengths":                           {Status: ok, Fields: framed + "Content-Length: 4\r\n", Body: event},
	"blank in an interim response":          {Before: "HTTP/1.1 103 Early Hints\r\nFoo Bar: x\r\n\r\n", Status: ok, Fields: framed, Body: event},
	"control byte in an interim response":   {Before: "HTTP/1.1 103 Early Hints\r\nFoo\x01: x\r\n\r\n", Status: ok, Fields: framed, Body: event},
	"blank in a trailer":                    {Status: ok, Fields: "Trailer: Foo\r\nTransfer-Encoding: chunked\r\n", Body: strings.TrimSuffix(chunked, "\r\n") + "Foo Bar: x\r\n\r\n"},
	"control byte in a trailer":             {Status: ok, Fields: "Transfer-Encoding: chunked\r\n", Body: strings.TrimSuffix(chunked, "\r\n") + "Foo\x01: x\r\n\r\n"},
	"chunks of HTTP/1.0":                    {Status: "HTTP/1.0 200 OK", Fields: "Transfer-Encoding: chunked\r\n", Body: chunked},
	"chunks of HTTP/1.0, broken off":        {Status: "HTTP/1.0 200 OK", Fields: "Transfer-Encoding: chunked\r\n", Body: chunked[:10]},
	"chunks of HTTP/1.0 behind an interim":  {Before: "HTTP/1.0 103 Early Hints\r\n\r\n", Status: "HTTP/1.0 200 OK", Fields: "transfer-encoding:chunked\r\n", Body: chunked},
	"chunks of HTTP/1.0 with other framing": {Status: "HTTP/1.0 200 OK", Fields: framed + "Transfer-Encoding: chunked\r\n", Body: event},
}

// Send writes the answer with the given fields, and ends the connection.
func (a *Answer) Send(conn net.Conn, fields http.Header) {
	defer func() { _ = conn.Close() }()
	head := a.Before + a.Status + "\r\n"
	for name := range fields {
		head += name + ": " + fields.Get(name) + "\r\n"
	}
	_, _ = io.WriteString(conn, head+a.Fields+"\r\n"+a.Body)
	time.Sleep(a.Pause)
	if a.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// testingTB is what Serve needs of a testing.TB. Programs that use this package need not import testing.
type testingTB interface {
	Helper()
	Fatal(...any)
	Cleanup(func())
}

// Serve starts a server that sends the answer to each request, and returns its address. The answer echoes the named fields
// of its request.
func (a *Answer) Serve(t testingTB, echoed ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go a.respond(c, echoed)
		}
	}()
	return l.Addr().String()
}

// respond reads the head of a request and sends the answer to it.
func (a *Answer) respond(c net.Conn, echoed []string) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		_ = c.Close()
		return
	}
	fields := make(http.Header)
	for _, name := range echoed {
		fields.Set(name, r.Header.Get(name))
	}
	a.Send(c, fields)
}

// Answer sends the answer with the fields that are set on w, and ends the connection. It returns false, and writes
// nothing, if there is no such answer.
func (a *Answer) Answer(w http.ResponseWriter) bool {
	if a == nil {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a.Send(conn, w.Header())
	return true
}
