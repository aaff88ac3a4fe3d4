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

func put(t *testing.T, h http.HandlerFunc) error {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	_, err := New(server.URL, http.DefaultTransport, 200*time.Millisecond).Put(context.Background(), "k", []byte("{}"), 0)
	return err
}

// TestOutcomesOfWrites: only what certainly had no effect is told as such.
func TestOutcomesOfWrites(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"conflict":      {status(http.StatusPreconditionFailed), platform.ErrConflict},
		"rate limit":    {status(http.StatusTooManyRequests), platform.ErrUnavailable},
		"outage":        {status(http.StatusServiceUnavailable), platform.ErrUnavailable},
		"inner failure": {status(http.StatusInternalServerError), platform.ErrUnknown},
		"no JSON":       {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("?")) }, platform.ErrUnknown},
		"broken answer": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, platform.ErrUnknown},
		"no answer": {func(_ http.ResponseWriter, r *http.Request) {
			// With the body read, the server sees the caller leave.
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

// TestStoreTime: the clock is the store's, carried on monotonically.
func TestStoreTime(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Date", "Sun, 06 Nov 1994 08:49:37 GMT")
		w.WriteHeader(http.StatusNotFound)
	}))
	defer server.Close()
	c := New(server.URL, http.DefaultTransport, time.Second)
	if !c.StoreTime().IsZero() {
		t.Error("a clock before the first answer")
	}
	if _, err := c.Get(context.Background(), "k"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("got %v", err)
	}
	if got := c.StoreTime(); got.Year() != 1994 || got.Sub(time.Date(1994, 11, 6, 8, 49, 37, 0, time.UTC)) < 0 {
		t.Errorf("store's clock %s", got)
	}
}
