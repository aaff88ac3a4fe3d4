package gateway

import (
	"io"

	"github.com/marbleroad/marbleroad/internal/resource"
)

const (
	// unreservedBytes is the size up to which a response is buffered without a reservation. Nearly all
	// are smaller.
	unreservedBytes = 16 << 10
	// bufferStep is the number of bytes that are reserved at a time for a longer one.
	bufferStep = 64 << 10
	// defaultBufferBytes limits the reserved buffers of a node without a budget.
	defaultBufferBytes = 64 << 20
)

// bufferPool returns the pool for what a node buffers for callers and upstreams that are slow: that of its budget.
func bufferPool(b *resource.Budget) *resource.Pool {
	if b == nil {
		return resource.NewPool(defaultBufferBytes)
	}
	return b.Pool
}

// bufferedBody is a body, or its beginning, with the bytes that are reserved for it.
type bufferedBody struct {
	data     []byte
	pool     *resource.Pool
	reserved int
}

// release returns the reserved bytes to the pool. Further calls have no effect.
func (b *bufferedBody) release() {
	if b.reserved > 0 {
		b.pool.Release(int64(b.reserved))
		b.reserved = 0
	}
}

// discard drops the body and returns its reserved bytes.
func (b *bufferedBody) discard() {
	b.data = nil
	b.release()
}

// readBuffered reads a response of at most limit bytes; 0 means no limit. It reports whether that is all of it:
// it stops after limit bytes and, with resource.ErrExhausted, when the pool has no room. Either way the result holds
// what was read so far and must be released.
func readBuffered(r io.Reader, pool *resource.Pool, limit int) (body *bufferedBody, complete bool, err error) {
	body = &bufferedBody{pool: pool}
	for free := unreservedBytes; ; free = bufferStep {
		if limit > 0 {
			free = min(free, limit-len(body.data))
		}
		if free == 0 {
			return body, false, nil
		}
		if len(body.data) >= unreservedBytes {
			if !pool.Reserve(int64(free)) {
				return body, false, resource.ErrExhausted
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
