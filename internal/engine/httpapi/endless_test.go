package httpapi

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/engine"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/test/standin/unending"
)

const (
	endlessTimeout = 300 * time.Millisecond
	// maxEndlessBytes bounds what a call reads: at most 16 KiB of body, in chunks of a byte that take six bytes each, and
	// the connection's buffer.
	maxEndlessBytes = 6*16<<10 + 8<<10
)

// calls are the calls to an upstream VM.
var calls = map[string]func(context.Context, *Client, string) error{
	"probe": func(ctx context.Context, c *Client, address string) error {
		_, err := c.Probe(ctx, address)
		return err
	},
	"assign": func(ctx context.Context, c *Client, address string) error {
		return c.Assign(ctx, address, engine.Order{})
	},
}

// A probe result that is followed by white space without end counted as read, and an order as accepted although its
// answer did not end.
func TestEndlessAnswerFails(t *testing.T) {
	for name, call := range calls {
		for _, status := range []string{"200 OK", "409 Conflict", "500 Internal Server Error"} {
			for kind, response := range unending.Bodies(status, `{"ready":true}`, " ") {
				t.Run(name+" "+status+" "+kind, func(t *testing.T) {
					t.Parallel()
					checkEndlessCall(t, response, 0, call)
					checkEndlessCall(t, response, unending.Slow, call)
				})
			}
		}
	}
}

// checkEndlessCall checks that a call fails and closes its connection.
func checkEndlessCall(t *testing.T, response unending.Response, pause time.Duration, call func(context.Context, *Client, string) error) {
	t.Helper()
	s := unending.New(t, response, pause)
	meter := new(transport.Meter)
	rt := &http.Transport{DialContext: transport.Metered(transport.Dialer("").DialContext, meter), DisableCompression: true}
	ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
	defer cancel()
	if err := call(ctx, New(rt), s.Address()); err == nil || errors.Is(err, engine.ErrFenced) {
		t.Errorf("pause %s: error %v", pause, err)
	}
	s.AwaitClosed(t)
	if in, _ := meter.Bytes(); in > maxEndlessBytes {
		t.Errorf("pause %s: %d bytes were read", pause, in)
	}
}

// The error of a call names the reason, so that logs tell a response without an end from no response.
func TestEndlessAnswerIsNamed(t *testing.T) {
	for name, call := range calls {
		s := unending.New(t, unending.Bodies("200 OK", "", " ")["no length"], 0)
		if err := call(context.Background(), New(&http.Transport{}), s.Address()); !errors.Is(err, bodylimit.ErrTooLong) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
