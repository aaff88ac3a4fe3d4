package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/marbleroad/marbleroad/internal/relay"
	"github.com/marbleroad/marbleroad/internal/verdict"
)

// RetryAfterMillisHeader gives the retry delay in milliseconds; Retry-After
// itself only has whole seconds.
const RetryAfterMillisHeader = "Marbleroad-Retry-After-Ms"

const problemTypePrefix = "https://marbleroad.example/problems/"

// problem is the body of an RFC 9457 problem document.
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail"`
	Instance     string `json:"instance,omitempty"`
	Verdict      string `json:"verdict"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// openAIError is the error body that OpenAI clients expect.
type openAIError struct {
	Error openAIErrorBody `json:"error"`
}

// openAIErrorBody describes the failure inside an openAIError.
type openAIErrorBody struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Verdict   string `json:"verdict"`
	RequestID string `json:"request_id,omitempty"`
}

// newOpenAIError converts a failure to the OpenAI format.
func newOpenAIError(id string, e *verdict.Error) openAIError {
	kind := "server_error"
	if e.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	if e.Status == http.StatusTooManyRequests {
		kind = "rate_limit_error"
	}
	return openAIError{Error: openAIErrorBody{
		Message:   e.Detail,
		Type:      kind,
		Code:      e.Code,
		Verdict:   e.Verdict.String(),
		RequestID: id,
	}}
}

// writeError sends a final failure. No byte of a response may have been sent
// before.
func writeError(w http.ResponseWriter, id string, openAI bool, e *verdict.Error) {
	h := w.Header()
	if id != "" {
		h.Set(relay.RequestIDHeader, id)
	}
	h.Set(verdict.Header, e.Verdict.String())
	setRetryAfter(h, e.RetryAfter)
	if openAI {
		h.Set("Content-Type", "application/json")
		w.WriteHeader(e.Status)
		_ = json.NewEncoder(w).Encode(newOpenAIError(id, e))
		return
	}
	h.Set("Content-Type", "application/problem+json")
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(problem{
		Type:         problemTypePrefix + e.Code,
		Title:        e.Code,
		Status:       e.Status,
		Detail:       e.Detail,
		Instance:     id,
		Verdict:      e.Verdict.String(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	})
}

// setRetryAfter sets both headers that give the retry delay, if there is one.
func setRetryAfter(h http.Header, after time.Duration) {
	if after <= 0 {
		return
	}
	h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	h.Set(RetryAfterMillisHeader, strconv.FormatInt(after.Milliseconds(), 10))
}

// errorEvent returns the error event that ends a stream which can't be completed.
func errorEvent(id string, e *verdict.Error) []byte {
	data, err := json.Marshal(newOpenAIError(id, e))
	if err != nil {
		data = []byte("{}")
	}
	return []byte("event: error\ndata: " + string(data) + "\n\n")
}
