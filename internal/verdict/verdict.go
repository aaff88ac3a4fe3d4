// Package verdict defines the verdict on a failed or finished request, which states
// whether an upstream may have run it. Callers use the verdict to decide whether a retry is safe.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a request may have run at an upstream.
type Verdict uint8

const (
	// NotRun means that no upstream ran any part of the request.
	NotRun Verdict = iota + 1
	// MayHaveRun means that an upstream may have run all or part of the request.
	MayHaveRun
	// Ran means that an upstream ran the request and its response is known.
	Ran
)

// Header is the HTTP header that carries the verdict to callers and between entries.
const Header = "Marbleroad-Verdict"

// String returns the wire form: not-run, may-have-run or ran; "unknown" for any other value.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// Parse returns the verdict of a wire form. An unknown form counts as MayHaveRun, the
// safe assumption.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	}
	return MayHaveRun
}

// Error is the final failure of a request, with what its caller needs to handle it.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status for the caller.
	Status int
	// Code is a stable machine-readable reason such as "over-limit".
	Code string
	// Detail is one human-readable sentence.
	Detail string
	// RetryAfter is the time to wait before a retry; zero when a retry does not help.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only.
	Cause error
}

// Error implements error. It includes the cause, so its text is for logs only.
func (e *Error) Error() string {
	if e.Cause == nil {
		return e.Code + ": " + e.Detail
	}
	return e.Code + ": " + e.Detail + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// As returns err as an *Error. An error without a verdict counts as MayHaveRun.
func As(err error) *Error {
	var v *Error
	if errors.As(err, &v) {
		return v
	}
	return &Error{
		Verdict: MayHaveRun,
		Status:  500,
		Code:    "internal",
		Detail:  "the entry failed while it handled the request",
		Cause:   err,
	}
}
