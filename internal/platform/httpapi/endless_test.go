package httpapi

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/test/standin/unending"
)

// maxEndlessBytes bounds what a call reads: a list has 16 MiB at most, and pieces of this test's size take little more as
// chunks.
const maxEndlessBytes = 17 << 20

// calls are the calls to the platform, with the error that each has when it has no response.
var calls = map[string]struct {
	call   func(*Client) error
	failed error
}{
	"get": {func(c *Client) error {
		_, err := c.Get(context.Background(), "k")
		return err
	}, platform.ErrUnavailable},
	"list": {func(c *Client) error {
		_, _, err := c.List(context.Background(), "k/")
		return err
	}, platform.ErrUnavailable},
	"watch": {func(c *Client) error {
		_, _, err := c.Watch(context.Background(), "k/", 1, time.Millisecond)
		return err
	}, platform.ErrUnavailable},
	"members": {func(c *Client) error {
		_, err := c.Members(context.Background(), "x", 1)
		return err
	}, platform.ErrUnavailable},
	"put": {func(c *Client) error {
		_, err := c.Put(context.Background(), "k", []byte("{}"), 1)
		return err
	}, platform.ErrUnknown},
}

// Up to 64 MiB of a response were read into memory, and as many bytes again to reuse the connection. The status of an
// error counted although its response did not end.
func TestEndlessAnswerFails(t *testing.T) {
	for name, c := range calls {
		for _, status := range []string{"200 OK", "404 Not Found", "410 Gone", "412 Precondition Failed", "503 Service Unavailable"} {
			for kind, response := range unending.Bodies(status, `{"objects":[`, `{"key":"`+strings.Repeat("x", 16<<10)+`"},`) {
				t.Run(name+" "+status[:3]+" "+kind, func(t *testing.T) {
					checkEndlessCall(t, unending.New(t, response, 0), 5*time.Second, c.call, c.failed)
				})
				t.Run(name+" "+status[:3]+" "+kind+", slow", func(t *testing.T) {
					t.Parallel()
					checkEndlessCall(t, unending.New(t, response, unending.Slow), 200*time.Millisecond, c.call, c.failed)
				})
			}
		}
	}
}

// checkEndlessCall checks that a call fails as one without a response, and closes its connection.
func checkEndlessCall(t *testing.T, s *unending.Server, timeout time.Duration, call func(*Client) error, failed error) {
	t.Helper()
	meter := new(transport.Meter)
	rt := &http.Transport{DialContext: transport.Metered(transport.Dialer("").DialContext, meter), DisableCompression: true}
	err := call(New("http://"+s.Address(), rt, timeout))
	if !errors.Is(err, failed) || errors.IsAny(err, platform.ErrNotFound, platform.ErrCompacted, platform.ErrConflict) {
		t.Errorf("error %v", err)
	}
	s.AwaitClosed(t)
	if in, _ := meter.Bytes(); in > maxEndlessBytes {
		t.Errorf("%d bytes were read", in)
	}
}

// The error of a call names the reason.
func TestEndlessAnswerIsNamed(t *testing.T) {
	for name, c := range calls {
		s := unending.New(t, unending.Bodies("200 OK", `[`, strings.Repeat("1,", 8<<10))["no length"], 0)
		if err := c.call(New("http://"+s.Address(), http.DefaultTransport, 5*time.Second)); !errors.Is(err, bodylimit.ErrTooLong) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
