// Package jsonbody reads JSON bodies of HTTP responses up to a maximum size.
package jsonbody

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxBytes is the maximum size of a response: a full listing of the platform's store is
// a few megabytes.
const MaxBytes = 64 << 20

// Decode reads a body to its end and decodes it. A body longer than MaxBytes is truncated,
// and therefore fails to decode.
func Decode(body io.Reader, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, MaxBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode answer")
}

// Drain reads the rest of a body and closes it, so that the connection can be reused.
// After an error the connection is not reused, so errors are ignored.
func Drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxBytes))
	_ = body.Close()
}
