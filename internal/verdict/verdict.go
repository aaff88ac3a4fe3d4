// Package verdict says, for every failed or finished request, whether an
// upstream may have run it. Callers decide by it whether a retry is safe.
package verdict

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict tells whether a request may have run at an upstream.
type Verdict uint8

const (
	// NotRun means that no upstream ran any part of the request.
	NotRun Verdict = iota + 1
	// MayHaveRun means that an upstream may have run the request in part or whole.
	MayHaveRun
	// Ran means that an upstream ran the request and its answer is known.
	Ran
)

// Header carries the verdict to callers and between entries.
const Header = "Marbleroad-Verdict"

// String returns the wire form: not-run, may-have-run or ran.
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

// Parse reads the wire form. Anything unknown is MayHaveRun, the safe reading.
func Parse(s string) Verdict {
	switch s {
	case "not-run":
		return NotRun
	case "ran":
		return Ran
	}
	return MayHaveRun
}

// Error is a request's final failure, with what a caller needs to go on.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Status is the HTTP status for the caller.
	Status int
	// Code is a stable machine-readable reason such as "over-limit".
	Code string
	// Detail is one sentence for a person.
	Detail string
	// RetryAfter is when to come back; zero when a retry does not help.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs only.
	Cause error
}

// Error implements error.
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
