// Package endless sends answers without end, as servers in trouble do. Stand-ins use it.
package endless

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the part of an answer that has no end.
type Kind string

// The kinds. The first ones have no end in the head, the others in the body.
const (
	StatusLine Kind = "status line"
	NoProtocol Kind = "bytes of no protocol"
	Field      Kind = "one field"
	Fields     Kind = "many fields"
	Interim    Kind = "interim responses"
	EmptyLines Kind = "empty lines"

	// Surplus is a complete answer followed by bytes that belong to no request.
	Surplus        Kind = "surplus"
	ChunkSize      Kind = "chunk size"
	ChunkExtension Kind = "chunk extension"
	SmallChunks    Kind = "chunks of one byte with extensions"
	Chunks         Kind = "chunks"
	Trailers       Kind = "trailers"
	Unframed       Kind = "neither length nor chunks"
	ErrorBody      Kind = "error body"
	// Line is a line of a stream of events, Event an event without a closing blank line, Comments a stream of
	// blank lines and comments, and Events a stream of complete events.
	Line     Kind = "line of a stream"
	Event    Kind = "event"
	Comments Kind = "comments"
	Events   Kind = "events"
)

// Heads and Bodies are the kinds whose head or body has no end.
var (
	Heads  = []Kind{StatusLine, NoProtocol, Field, Fields, Interim, EmptyLines}
	Bodies = []Kind{Surplus, ChunkSize, ChunkExtension, SmallChunks, Chunks, Trailers, Unframed, ErrorBody, Line, Event, Comments, Events}
)

const (
	chunked   = "Transfer-Encoding: chunked\r\n\r\n"
	stream    = "Content-Type: text/event-stream\r\n" + chunked
	blockSize = 1 << 10
)

// parts are the beginning of an answer, without the fields that the request determines, and what follows it for ever.
type parts struct {
	status, rest string
	// unit returns the i-th repetition, from 1.
	unit func(i int) string
}

// partsOf returns the parts of an answer of the kind.
func partsOf(k Kind) parts {
	const ok, failed = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Internal Server Error\r\n"
	block := strings.Repeat("x", blockSize)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", blockSize, block)
	always := func(text string) func(int) string { return func(int) string { return text } }
	return map[Kind]parts{
		StatusLine:     {"", "HTTP/1.1 200 ", always(block)},
		NoProtocol:     {"", "", always("no protocol\x00\x01")},
		Field:          {ok, "X-Endless: ", always(block)},
		Fields:         {ok, "", func(i int) string { return fmt.Sprintf("%x:\r\n", i) }},
		Interim:        {"", "", always("HTTP/1.1 103 Early Hints\r\nX-Hint: x\r\n\r\n")},
		EmptyLines:     {"", "", always("\r\n")},
		Surplus:        {ok, "Content-Length: 2\r\n\r\nok", always(block)},
		ChunkSize:      {ok, chunked, always("0")},
		ChunkExtension: {ok, chunked + "1;", always(block)},
		SmallChunks:    {ok, chunked, always("1;" + strings.Repeat("x", 100) + "\r\nx\r\n")},
		Chunks:         {ok, chunked, always(chunk)},
		Trailers:       {ok, "Trailer: X-Endless\r\n" + chunked + "0\r\n", always("X-Endless: x\r\n")},
		Unframed:       {ok, "Connection: close\r\n\r\n", always(block)},
		ErrorBody:      {failed, chunked, always(chunk)},
		Line:           {ok, stream + "6\r\ndata: \r\n", always(chunk)},
		Event:          {ok, stream, always("8\r\ndata: x\n\r\n")},
		Comments:       {ok, stream, always("4\r\n: x\n\r\n")},
		Events: {ok, stream, func(i int) string {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			return fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}},
	}[k]
}

// Send writes an answer of the kind with the given fields until a write fails, and returns the number of bytes that
// were written. pause is the time before each byte; 0 writes as fast as possible.
func Send(w io.Writer, k Kind, fields http.Header, pause time.Duration) int64 {
	p := partsOf(k)
	start := p.status
	for name := range fields {
		if p.status != "" {
			start += name + ": " + fields.Get(name) + "\r\n"
		}
	}
	out := paced{w: w, pause: pause}
	out.write(start + p.rest)
	for i := 1; out.err == nil; i++ {
		out.write(p.unit(i))
	}
	return out.written
}

// paced writes texts and keeps the first error.
type paced struct {
	w       io.Writer
	pause   time.Duration
	written int64
	err     error
}

func (p *paced) write(text string) {
	for text != "" && p.err == nil {
		step := len(text)
		if p.pause > 0 {
			time.Sleep(p.pause)
			step = 1
		}
		var n int
		n, p.err = io.WriteString(p.w, text[:step])
		p.written += int64(n)
		text = text[step:]
	}
}

// Mode says which requests a stand-in answers without end, and how. It must not be changed while it is in use.
type Mode struct {
	// Kinds are the kinds of the answers.
	Kinds []Kind
	// Share is the part of the requests, 0 to 1, that gets such an answer. Which ones depends on Seed and their IDs.
	Share float64
	Seed  uint64
	// Pause is the time before each byte; 0 for answers that are sent as fast as possible.
	Pause time.Duration
}

// draw returns the kind of the answer to the request; false for a usual answer.
func (m *Mode) draw(requestID string) (Kind, bool) {
	if m == nil || len(m.Kinds) == 0 {
		return "", false
	}
	const resolution = 1 << 20
	drawn := xxhash.Sum64String(fmt.Sprint(m.Seed, " ", requestID))
	if float64(drawn%resolution) >= m.Share*resolution {
		return "", false
	}
	return m.Kinds[drawn/resolution%uint64(len(m.Kinds))], true
}

// Answer answers the request without end if the mode says so, with the fields that are set on w. It returns false,
// and writes nothing, for a request that gets a usual answer. It returns once the connection is closed.
func (m *Mode) Answer(w http.ResponseWriter, requestID string) bool {
	kind, drawn := m.draw(requestID)
	if !drawn {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	Send(conn, kind, w.Header(), m.Pause)
	return true
}
