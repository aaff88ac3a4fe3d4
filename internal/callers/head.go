package callers

import (
	"bytes"
	"net/http"
)

// LengthHeader states whether a request's header, as received on its connection, has a
// Content-Length field. net/http removes that field from a request with chunked encoding,
// so a request with both can't be detected in its http.Header.
type LengthHeader uint8

const (
	// LengthHeaderUnknown means that the header was not recorded completely: it was read together
	// with an earlier request, exceeds maxHeaderBytes, or was read on an encrypted connection or
	// another listener's.
	LengthHeaderUnknown LengthHeader = iota
	// LengthHeaderAbsent means that the header has no Content-Length field.
	LengthHeaderAbsent
	// LengthHeaderPresent means that the header has a Content-Length field.
	LengthHeaderPresent
)

// maxHeaderBytes bounds the recorded part of a header: twice the size that servers here accept.
const maxHeaderBytes = 128 << 10

var (
	headerEnd  = []byte("\r\n\r\n")
	lengthName = []byte("\ncontent-length:")
	// prefaceStart starts an HTTP/2 connection without encryption, and looks like a header.
	prefaceStart = []byte("PRI * HTTP/2")
)

// recordHeader records the bytes of a header up to its end, and returns those of p that belong to it; the caller holds mu. A
// header above maxHeaderBytes is not recorded completely, but the servers don't accept it either. Nothing is recorded of
// encrypted bytes.
func (c *Conn) recordHeader(p []byte) []byte {
	if c.listener.encrypted || len(c.header)+len(p) > maxHeaderBytes {
		return p
	}
	if c.headerComplete() {
		return nil
	}
	before := len(c.header)
	c.header = append(c.header, p...)
	if end := bytes.Index(c.header, headerEnd); end >= 0 {
		c.header = c.header[:end+len(headerEnd)]
		p = p[:max(0, len(c.header)-before)]
	}
	if c.listener.unencryptedHTTP2 && bytes.HasPrefix(c.header, prefaceStart) {
		c.startPhase(multiplexed)
	}
	return p
}

// dropHeader discards the recorded header; the caller holds mu. The memory of a large one is not kept for the next.
func (c *Conn) dropHeader() {
	c.header = c.header[:0]
	if cap(c.header) > keptHeaderBytes {
		c.header = nil
	}
}

// keptHeaderBytes is the size up to which a connection keeps the memory of a recorded header.
const keptHeaderBytes = 2 << 10

// TakeLengthHeader inspects the recorded header of a request and discards it. tracked is false for a
// request from another listener's connection.
func TakeLengthHeader(r *http.Request) (seen LengthHeader, tracked bool) {
	c := connOf(r)
	if c == nil {
		return LengthHeaderUnknown, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.dropHeader()
	header, _, complete := bytes.Cut(c.header, headerEnd)
	switch {
	case !complete:
		return LengthHeaderUnknown, true
	case bytes.Contains(bytes.ToLower(header), lengthName):
		return LengthHeaderPresent, true
	}
	return LengthHeaderAbsent, true
}
