package gateway

import (
	"bytes"
	"net/http"

	"github.com/marbleroad/marbleroad/internal/verdict"
)

// headSeen is what is known of a request's header as it came on its connection. net/http
// drops a length that is named beside chunks, without which such a request can't be told.
type headSeen uint8

const (
	// headUnseen means that the header came in one piece with an earlier request.
	headUnseen headSeen = iota
	// headPlain means that the header names no length.
	headPlain
	// headNamesLength means that it does.
	headNamesLength
)

var (
	headEnd    = []byte("\r\n\r\n")
	lengthName = []byte("content-length:")
)

// keepHead keeps the bytes of a header until its end has come; mu is held.
func (c *limitedConn) keepHead(p []byte) {
	if bytes.HasSuffix(c.head, headEnd) || len(c.head)+len(p) > 2*maxHeaderBytes {
		return
	}
	c.head = append(c.head, p...)
	if end := bytes.Index(c.head, headEnd); end >= 0 {
		c.head = c.head[:end+len(headEnd)]
	}
}

// takeHead judges the header that was kept, and forgets it.
func (c *limitedConn) takeHead() headSeen {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, _, whole := bytes.Cut(c.head, headEnd)
	c.head = c.head[:0]
	switch {
	case !whole:
		return headUnseen
	case bytes.Contains(bytes.ToLower(head), append([]byte("\n"), lengthName...)):
		return headNamesLength
	}
	return headPlain
}

// framing refuses a request that may be read in two ways: one reader's body is a request of
// its own for another. Where that can't be told, the connection ends with the answer, so that nothing
// hidden behind the request is read.
func framing(w http.ResponseWriter, r *http.Request) *verdict.Error {
	c, ok := r.Context().Value(connKey{}).(*limitedConn)
	if !ok {
		return nil
	}
	seen := c.takeHead()
	if len(r.TransferEncoding) == 0 || seen == headPlain {
		return nil
	}
	w.Header().Set("Connection", "close")
	if seen == headUnseen {
		return nil
	}
	return &verdict.Error{Verdict: verdict.NotRun, Status: http.StatusBadRequest, Code: codeBadBody, Detail: "the request names a length and comes in chunks"}
}
