package groupengine

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// stream sends the events after the one that Last-Event-Id names, and injects the configured faults.
// It breaks off when the head ends the work.
func (v *VM) stream(w http.ResponseWriter, r *http.Request, admitted *work) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	// The request's context ends with the connection only once the body was read.
	_, _ = io.Copy(io.Discard, r.Body)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	sent := int64(0)
	for i := from + 1; i <= v.eventCount(r); i++ {
		if n := v.TruncateAfter.Load(); n != 0 && sent >= n {
			if !v.TruncateBetween.Load() {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: half", i)
			}
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if n := v.StallAfter.Load(); n > 0 && sent >= n {
			if !v.stall(r, admitted, sent == n) {
				return
			}
		}
		v.awaitSilence(r, admitted)
		if !v.awaitMembers(r, admitted) || admitted.hasEnded() {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, r.Header.Get("Attempt-Id"), strings.Repeat("x", 20)); err != nil {
			return
		}
		_ = flush.Flush()
		sent++
		admitted.sleep(v.config.EventInterval)
	}
}

// eventCount returns the number of events of a stream: that of the query, or else Config.Events.
func (v *VM) eventCount(r *http.Request) int {
	if requested, err := strconv.Atoi(r.URL.Query().Get(EventsQuery)); err == nil {
		return requested
	}
	return v.config.Events
}

// EventsQuery is the query parameter that sets the number of events of a stream.
const EventsQuery = "events"

// stall stalls a stream for StallFor at its first call, or for good if StallFor is 0. It returns false if the caller
// disconnected.
func (v *VM) stall(r *http.Request, admitted *work, first bool) bool {
	duration := time.Duration(v.StallFor.Load())
	switch {
	case duration == 0:
		select {
		case <-r.Context().Done():
			return false
		case <-admitted.ended():
			return true
		}
	case !first:
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-admitted.ended():
		return true
	case <-time.After(duration):
		return true
	}
}

// FallSilent makes the VM send no event for the duration and then go on, as a sound VM may do.
func (v *VM) FallSilent(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.silentUntil = time.Now().Add(d)
}

// awaitSilence waits while the VM is silent, until the head ends the work or the caller disconnects.
func (v *VM) awaitSilence(r *http.Request, admitted *work) {
	v.mu.Lock()
	left := time.Until(v.silentUntil)
	v.mu.Unlock()
	if left <= 0 {
		return
	}
	select {
	case <-r.Context().Done():
	case <-admitted.ended():
	case <-time.After(left):
	}
}

// memberCheckInterval is how often a stalled stream checks whether its head may continue.
const memberCheckInterval = 20 * time.Millisecond

// awaitMembers waits while the head misses a member. It returns false if the head ended the work meanwhile or the
// caller disconnected.
func (v *VM) awaitMembers(r *http.Request, admitted *work) bool {
	for v.config.FindVM != nil && v.stalled() {
		select {
		case <-r.Context().Done():
			return false
		case <-admitted.ended():
			return false
		case <-time.After(memberCheckInterval):
		}
	}
	return true
}
