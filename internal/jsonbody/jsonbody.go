// Package jsonbody reads JSON bodies of HTTP responses up to a maximum size.
package jsonbody

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/bodylimit"
)

// MaxBytes is the maximum size of a response: a full listing of the platform's store is
// a few megabytes.
const MaxBytes = 64 << 20

// Decode reads a body of up to maxBytes bytes to its end and decodes it. A longer one fails with
// bodylimit.ErrTooLong.
func Decode(body io.Reader, maxBytes int64, into any) error {
	data, err := io.ReadAll(bodylimit.Reader(body, maxBytes))
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
