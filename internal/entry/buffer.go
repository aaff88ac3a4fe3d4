package entry

import (
	"io"
	"sync/atomic"
)

const (
	// maxBufferedTotal bounds the bytes of all responses that are buffered at a time beyond unreservedBytes each. It is
	// the size of the largest response that is buffered, and a small part of an entry's memory.
	maxBufferedTotal = maxBufferedBody
	// unreservedBytes is the size up to which each response is buffered. Nearly all responses are smaller.
	unreservedBytes = 16 << 10
	// bufferStep is the number of bytes that are reserved at a time for a longer response.
	bufferStep = 64 << 10
)

// responseBuffers limits the bytes of responses that are buffered. It is safe for concurrent use.
type responseBuffers struct{ used atomic.Int64 }

// read reads the beginning of a response: up to maxBufferedBody bytes, and less if others use the buffers. complete is
// true if that is all of it. The caller must release what is reserved.
func (b *responseBuffers) read(body io.Reader) (data []byte, reserved int64, complete bool, err error) {
	for step := int64(unreservedBytes); ; step = bufferStep {
		if len(data) >= unreservedBytes {
			if int64(len(data))+step > maxBufferedBody || !b.reserve(step) {
				return data, reserved, false, nil
			}
			reserved += step
		}
		part, err := io.ReadAll(io.LimitReader(body, step))
		data = append(data, part...)
		if err != nil || int64(len(part)) < step {
			return data, reserved, err == nil, err
		}
	}
}

// reserve reserves n bytes; it reports false if that would exceed the limit.
func (b *responseBuffers) reserve(n int64) bool {
	if b.used.Add(n) <= maxBufferedTotal {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *responseBuffers) release(n int64) { b.used.Add(-n) }
