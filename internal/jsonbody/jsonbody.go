// Package jsonbody reads the JSON bodies of HTTP answers, within a bound.
package jsonbody

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// MaxBytes bounds one answer: a whole listing of the platform's store is a few
// megabytes.
const MaxBytes = 64 << 20

// Decode reads a body to its end and decodes it.
func Decode(body io.Reader, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, MaxBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode answer")
}

// Drain reads what is left of a body and closes it, so that the connection can be
// used again. A failure only costs the connection.
func Drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxBytes))
	_ = body.Close()
}
