package transport

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrStalled means that a response started too late or stalled, or that the complete response took too
// long.
var ErrStalled = errors.New("nothing of the answer arrived in time")

// Progress bounds a call by the progress of its response. Over a saturated link a large response takes
// many times as long as a small one. A bound on the complete response alone would discard what has
// arrived, and the next attempt would transfer all of it again.
type Progress struct {
	stallTimeout time.Duration
	timer        *time.Timer
	deadline     time.Time
	cancel       context.CancelCauseFunc
}

// WithProgress returns a context that is cancelled with the cause ErrStalled if the response does not
// start within startTimeout, if nothing of it arrives for stallTimeout, or if it is not complete after
// maxDuration. Calls with a client of Peers report progress by themselves, other calls by RecordArrival and
// Reader. The caller must call Stop when the call is over.
func WithProgress(ctx context.Context, startTimeout, stallTimeout, maxDuration time.Duration) (context.Context, *Progress) {
	ctx, cancel := context.WithCancelCause(ctx)
	p := &Progress{stallTimeout: stallTimeout, deadline: time.Now().Add(maxDuration), cancel: cancel}
	p.timer = time.AfterFunc(min(startTimeout, maxDuration), func() { cancel(ErrStalled) })
	return context.WithValue(ctx, progressKey{}, p), p
}

// RecordArrival records that a part of the response arrived: it restarts the stall timeout, within the bound
// on the complete response.
func (p *Progress) RecordArrival() {
	if p.timer.Stop() {
		p.timer.Reset(min(p.stallTimeout, time.Until(p.deadline)))
	}
}

// Reader returns a reader of the response's body that records each read of data as progress.
func (p *Progress) Reader(body io.Reader) io.Reader { return progressReader{p, body} }

// Stop cancels the context.
func (p *Progress) Stop() {
	p.timer.Stop()
	p.cancel(nil)
}

// progressReader records reads of a response's body as progress.
type progressReader struct {
	progress *Progress
	body     io.Reader
}

// Read implements io.Reader.
func (r progressReader) Read(buf []byte) (int, error) {
	n, err := r.body.Read(buf)
	if n > 0 {
		r.progress.RecordArrival()
	}
	return n, err
}

// progressKey is the context key of the Progress.
type progressKey struct{}

// progressTransport records the arrival of a response and of its body in the Progress of the request's
// context, if there is one.
type progressTransport struct{ inner http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t progressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.inner.RoundTrip(r)
	p, ok := r.Context().Value(progressKey{}).(*Progress)
	if err != nil || !ok {
		return resp, err
	}
	p.RecordArrival()
	resp.Body = struct {
		io.Reader
		io.Closer
	}{p.Reader(resp.Body), resp.Body}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the inner transport; http.Client calls it.
func (t progressTransport) CloseIdleConnections() {
	if inner, ok := t.inner.(interface{ CloseIdleConnections() }); ok {
		inner.CloseIdleConnections()
	}
}
