package transport

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrSilent means that nothing of an answer arrived for as long as its bound allows, or that the
// whole of it took too long.
var ErrSilent = errors.New("nothing of the answer arrived in time")

// Progress bounds a call by what arrives of its answer. Over a full link a large answer takes many
// times as long as a small one; a bound on the whole of it would throw away what has arrived, and
// the next try would carry it all again.
type Progress struct {
	pause time.Duration
	timer *time.Timer
	end   time.Time
	stop  context.CancelCauseFunc
}

// WithProgress returns a context that ends when the answer does not begin within first, when nothing
// of it arrives for pause, or when it is not whole after most. Its cause is then ErrSilent. Calls with a
// client of Peers tell it of arrivals, others by Arrived and Reader. The caller calls Stop when the call is over.
func WithProgress(ctx context.Context, first, pause, most time.Duration) (context.Context, *Progress) {
	ctx, stop := context.WithCancelCause(ctx)
	p := &Progress{pause: pause, end: time.Now().Add(most), stop: stop}
	p.timer = time.AfterFunc(min(first, most), func() { stop(ErrSilent) })
	return context.WithValue(ctx, progressKey{}, p), p
}

// Arrived gives the answer another pause, within the bound of the whole.
func (p *Progress) Arrived() {
	if p.timer.Stop() {
		p.timer.Reset(min(p.pause, time.Until(p.end)))
	}
}

// Reader returns a reader of the answer's body that takes each arrival as progress.
func (p *Progress) Reader(body io.Reader) io.Reader { return progressReader{p, body} }

// Stop ends the context.
func (p *Progress) Stop() {
	p.timer.Stop()
	p.stop(nil)
}

type progressReader struct {
	progress *Progress
	body     io.Reader
}

// Read implements io.Reader.
func (r progressReader) Read(into []byte) (int, error) {
	n, err := r.body.Read(into)
	if n > 0 {
		r.progress.Arrived()
	}
	return n, err
}

// progressKey is where a context holds its Progress.
type progressKey struct{}

// progressTransport tells the Progress of a call's context of each arrival.
type progressTransport struct{ inner http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t progressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.inner.RoundTrip(r)
	p, ok := r.Context().Value(progressKey{}).(*Progress)
	if err != nil || !ok {
		return resp, err
	}
	p.Arrived()
	resp.Body = struct {
		io.Reader
		io.Closer
	}{p.Reader(resp.Body), resp.Body}
	return resp, nil
}

// CloseIdleConnections is called by http.Client.
func (t progressTransport) CloseIdleConnections() {
	if inner, ok := t.inner.(interface{ CloseIdleConnections() }); ok {
		inner.CloseIdleConnections()
	}
}
