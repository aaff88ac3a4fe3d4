package groupengine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

func (v *VM) request(w http.ResponseWriter, r *http.Request) {
	v.Received.Add(1)
	id := r.Header.Get("Attempt-Id")
	from, _, _ := strings.Cut(r.RemoteAddr, ":")
	observeRequest := func(k Kind) {
		o := v.groupObservation(k)
		o.Request, o.Target, o.From, o.PromptParts = id, r.RequestURI, from, r.Header.Get("Prompt-Prefix")
		v.observe(o)
	}
	observeRequest(RequestReceived)
	defer observeRequest(RequestFinished)
	v.mu.Lock()
	v.headers = append(v.headers, r.Header.Clone())
	v.targets = append(v.targets, r.RequestURI)
	v.mu.Unlock()
	echoedID := id
	if v.WrongAttemptID.Load() {
		echoedID = "someone-elses"
	}
	w.Header().Set("Attempt-Id", echoedID)
	v.addConditionHeaders(w.Header())
	admitted, accepted := v.admit()
	defer v.finish(admitted)
	if v.Refuse.Load() || !accepted {
		refuse(w)
		return
	}
	if !v.prefill(r.Context(), admitted) {
		panic(http.ErrAbortHandler)
	}
	if admitted.hasEnded() {
		refuse(w)
		return
	}
	if !v.execute(func() { observeRequest(RequestExecuted) }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Seal", "seal-of-"+v.config.ID)
	if v.Endless.Load().Answer(w, id) || v.Malformed.Load().Answer(w) {
		return
	}
	if v.Unframed.Load() {
		// net/http then sends no chunks and closes the connection.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if v.config.Events == 0 {
		time.Sleep(v.config.ServiceTime)
		_, _ = fmt.Fprintf(w, "answer of %s to %s", v.config.Service, r.RequestURI)
		return
	}
	v.stream(w, r, admitted)
}

// refuse rejects a request as not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// prefill waits until the VM has read the prompt or ended the work. It returns false if the caller left meanwhile.
func (v *VM) prefill(ctx context.Context, admitted *work) bool {
	if v.config.PrefillTime == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-admitted.ended():
		return true
	case <-time.After(v.config.PrefillTime):
		return true
	}
}

// execute counts and observes the execution of a request, unless the VM was halted. observe may panic.
func (v *VM) execute(observe func()) bool {
	v.halting.RLock()
	defer v.halting.RUnlock()
	if v.halted {
		return false
	}
	v.Executed.Add(1)
	observe()
	return true
}
