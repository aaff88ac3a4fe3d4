package callers

import (
	"bytes"
	"net/http"
)

const (
	// bytesCost is what a byte of a header takes: as received, in net/http's buffers, and as a string.
	bytesCost = 3
	// fieldCost is what a field of a header takes besides its bytes, in bytes: its entry in the map, with the map's room to
	// grow, its list of values, and a copy for the upstream. Fields may have as few as four bytes.
	fieldCost = 256
	// freeHeaderCost is the cost up to which a header needs no reservation, for instance of 2 KiB in 40 fields. A connection
	// may take as much in any case.
	freeHeaderCost = 16 << 10
	// encryptedCost is what a byte of an encrypted header takes, as its fields can't be counted, beyond freeEncryptedBytes
	// for the handshake and a header of usual size.
	encryptedCost      = 32
	freeEncryptedBytes = 4 << 10
	// readAheadBytes is the size of net/http's buffer of a connection: what it may hold beyond the end of a request.
	readAheadBytes = 4 << 10
)

// headerSize is the size of a request's header, or of a part of it.
type headerSize struct{ bytes, lines int }

func (h *headerSize) add(p []byte) {
	h.bytes += len(p)
	h.lines += bytes.Count(p, []byte{'\n'})
}

// cost returns how many bytes of memory the header takes while its request is handled.
func (h headerSize) cost(encrypted bool) int64 {
	if encrypted {
		return int64(max(0, h.bytes-freeEncryptedBytes)) * encryptedCost
	}
	return int64(h.bytes*bytesCost + h.lines*fieldCost)
}

// sizeAhead returns the size of what net/http may have read of the next request's header with the bytes p of this one.
func sizeAhead(p []byte) headerSize {
	var h headerSize
	h.add(p[max(0, len(p)-readAheadBytes):])
	return h
}

// reserveHeader reserves what the header takes, and reports whether there is room for it; the caller holds mu. If there is
// none it closes the connection: the request counts as unread.
func (c *Conn) reserveHeader() bool {
	if c.phase == multiplexed || c.closedByLimit {
		return !c.closedByLimit
	}
	cost := c.received.cost(c.listener.encrypted)
	if cost <= freeHeaderCost || c.reserved.Grow(cost) {
		return true
	}
	c.listener.options.Share.Stats.Heads.Add(1)
	c.closeByLimit()
	return false
}

// requestHeaderSize returns the size of a header that was parsed.
func requestHeaderSize(r *http.Request) headerSize {
	out := headerSize{bytes: len(r.RequestURI)}
	for name, values := range r.Header {
		for _, v := range values {
			out.bytes += len(name) + len(v)
			out.lines++
		}
	}
	return out
}
