package gateway

import (
	"context"
	"io"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestSlowCallerIsNoFailureOfItsUpstream guards against upstreams that are ejected because their callers read too slowly: the stream of
// one that has caught up again breaks off when the events that were read ahead are used up.
func TestSlowCallerIsNoFailureOfItsUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		err, cause error
		blamed     bool
	}{
		"broken off":              {io.ErrUnexpectedEOF, nil, true},
		"part of a long response": {errors.Mark(io.ErrUnexpectedEOF, errPartialResponse), nil, true},
		"stalled":                 {io.ErrUnexpectedEOF, errStalled, true},
		"the caller is slow":      {errors.Wrap(errCallerTooSlow, "read ahead"), nil, false},
		"the caller left":         {io.ErrUnexpectedEOF, context.Canceled, false},
		"in quarantine":           {io.ErrUnexpectedEOF, errQuarantined, false},
	} {
		if got := blamesUpstream(c.err, c.cause); got != c.blamed {
			t.Errorf("%s: the upstream is blamed: %t", name, got)
		}
	}
}
