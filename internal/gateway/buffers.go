package gateway

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// unreservedBytes is the size up to which a body is buffered without a reservation. Nearly all bodies
	// are smaller.
	unreservedBytes = 16 << 10
	// bufferStep is the number of bytes that are reserved at a time for a longer body.
	bufferStep = 64 << 10
	// defaultBufferBytes limits the reserved buffers of a node whose memory is not specified.
	defaultBufferBytes = 64 << 20
	// bufferFraction is the part of the node's memory that reserved buffers may take. The rest is left for
	// the state of the fleet, connections and small bodies.
	bufferFraction = 4
)

// errBuffersFull means that the node's buffers have no room for a body.
var errBuffersFull = errors.New("the buffers of this node are full")

// bufferPool limits the bytes that a node buffers for callers and upstreams that are slow. It is safe for
// concurrent use.
type bufferPool struct {
	limit int64
	used  atomic.Int64
}

// newBufferPool returns the pool of a node with the given memory in bytes; 0 if that is unknown.
func newBufferPool(memory int64) *bufferPool {
	if memory <= 0 {
		return &bufferPool{limit: defaultBufferBytes}
	}
	return &bufferPool{limit: memory / bufferFraction}
}

// reserve reserves n bytes; it reports false if that would exceed the limit.
func (p *bufferPool) reserve(n int) bool {
	for {
		used := p.used.Load()
		if used+int64(n) > p.limit {
			return false
		}
		if p.used.CompareAndSwap(used, used+int64(n)) {
			return true
		}
	}
}

func (p *bufferPool) release(n int) { p.used.Add(-int64(n)) }

// bufferedBody is a body, or its beginning, with the bytes that are reserved for it.
type bufferedBody struct {
	data     []byte
	pool     *bufferPool
	reserved int
}

// release returns the reserved bytes to the pool. Further calls have no effect.
func (b *bufferedBody) release() {
	if b.reserved > 0 {
		b.pool.release(b.reserved)
		b.reserved = 0
	}
}

// discard drops the body and returns its reserved bytes.
func (b *bufferedBody) discard() {
	b.data = nil
	b.release()
}

// readBuffered reads a body of at most limit bytes; 0 means no limit. It reports whether the body is complete:
// it stops after limit bytes and, with errBuffersFull, when the pool has no room. Either way the result holds
// what was read so far and must be released.
func readBuffered(r io.Reader, pool *bufferPool, limit int) (body *bufferedBody, complete bool, err error) {
	body = &bufferedBody{pool: pool}
	for free := unreservedBytes; ; free = bufferStep {
		if limit > 0 {
			free = min(free, limit-len(body.data))
		}
		if free == 0 {
			return body, false, nil
		}
		if len(body.data) >= unreservedBytes {
			if !pool.reserve(free) {
				return body, false, errBuffersFull
			}
			body.reserved += free
		}
		step, err := io.ReadAll(io.LimitReader(r, int64(free)))
		if body.data == nil {
			body.data = step
		} else {
			body.data = append(body.data, step...)
		}
		if err != nil || len(step) < free {
			return body, err == nil, err
		}
	}
}
