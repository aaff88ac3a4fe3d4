package httpapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/platform"
)

// put returns the error of a write to a platform with this handler.
func put(t *testing.T, h http.HandlerFunc) error {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	_, err := New(server.URL, http.DefaultTransport, 200*time.Millisecond).Put(context.Background(), "k", []byte("{}"), 0)
	return err
}

// A failed write is reported as having no effect only if that is certain.
func TestOutcomesOfWrites(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"conflict":         {status(http.StatusPreconditionFailed), platform.ErrConflict},
		"rate limit":       {status(http.StatusTooManyRequests), platform.ErrUnavailable},
		"outage":           {status(http.StatusServiceUnavailable), platform.ErrUnavailable},
		"internal error":   {status(http.StatusInternalServerError), platform.ErrUnknown},
		"not JSON":         {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("?")) }, platform.ErrUnknown},
		"aborted response": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, platform.ErrUnknown},
		"no response": {func(_ http.ResponseWriter, r *http.Request) {
			// The server notices that the caller disconnects only after the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, platform.ErrUnknown},
	}
	for name, c := range cases {
		if err := put(t, c.handler); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	closed := httptest.NewServer(status(http.StatusOK))
	closed.Close()
	if _, err := New(closed.URL, &http.Transport{}, time.Second).Put(context.Background(), "k", []byte("{}"), 0); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("closed port: %v", err)
	}
}

// The store's clock starts at the Date header and is advanced monotonically.
func TestStoreTime(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Date", "Sun, 06 Nov 1994 08:49:37 GMT")
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	c := New(server.URL, http.DefaultTransport, time.Second)
	if !c.StoreTime().IsZero() {
		t.Error("the store's time is set before the first response")
	}
	if _, err := c.Get(context.Background(), "k"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("got %v", err)
	}
	if got := c.StoreTime(); got.Year() != 1994 || got.Sub(time.Date(1994, 11, 6, 8, 49, 37, 0, time.UTC)) < 0 {
		t.Errorf("store's time %s", got)
	}
}
