// Package jsonbody reads JSON bodies of HTTP responses up to a maximum size.
package jsonbody

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/bodylimit"
)

// Decode reads a body of up to maxBytes bytes to its end and decodes it. A longer one fails with
// bodylimit.ErrTooLong.
func Decode(body io.Reader, maxBytes int64, into any) error {
	data, err := io.ReadAll(bodylimit.Reader(body, maxBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	return errors.Wrap(json.Unmarshal(data, into), "decode answer")
}
