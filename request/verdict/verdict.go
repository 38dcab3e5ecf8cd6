// Package verdict defines the answer to the question whether a request may have run, and the error type that carries it
// to callers. Every error that reaches a caller is an *Error of this package. Values live as long as one request.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a request may have run. The zero value is MayHaveRun, so that a forgotten verdict never claims
// certainty.
type Verdict uint8

// The verdicts.
const (
	// MayHaveRun: it is unknown whether the request took effect.
	MayHaveRun Verdict = iota
	// NotRun: the request did not take effect and will not.
	NotRun
	// Ran: the request took effect.
	Ran
)

var names = [...]string{"may_have_run", "not_run", "ran"}

// String returns the name used in the HTTP contract.
func (v Verdict) String() string {
	if int(v) >= len(names) {
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
	return names[v]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range names {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Code classifies an error for programs.
type Code string

// The error codes of the HTTP contract.
const (
	// CodeInvalid: the input is wrong; Field says where.
	CodeInvalid Code = "invalid"
	// CodeNotFound: the named object does not exist.
	CodeNotFound Code = "not_found"
	// CodeStalePlan: the plan no longer holds; a fresh one is attached where possible.
	CodeStalePlan Code = "stale_plan"
	// CodeConflict: another request won.
	CodeConflict Code = "conflict"
	// CodeOverloaded: a limit is reached; RetryAfter says when to come back.
	CodeOverloaded Code = "overloaded"
	// CodeUnavailable: a part that the request needs cannot be reached.
	CodeUnavailable Code = "unavailable"
	// CodeWrongOwner: this instance does not own the partition.
	CodeWrongOwner Code = "wrong_owner"
	// CodeFenced: the epoch of the request is too low.
	CodeFenced Code = "fenced"
	// CodeExpired: the ticket or plan is past its retention.
	CodeExpired Code = "expired"
	// CodeFailed: the task ran and failed.
	CodeFailed Code = "failed"
	// CodeInternal: a fault of the system.
	CodeInternal Code = "internal"
)

// Error is an error with a verdict.
type Error struct {
	Verdict Verdict `json:"verdict"`
	Code    Code    `json:"code"`
	// Field is the path of the wrong input field, for CodeInvalid.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// RetryAfter is when a retry is useful; zero means that no retry is.
	RetryAfter time.Duration `json:"-"`
	// Detail is an optional value for the caller, such as a fresh plan.
	Detail any `json:"detail,omitempty"`
	// Owner is the peer address of the owner that the answering instance knows, for CodeWrongOwner. It is not sent to
	// callers.
	Owner string `json:"-"`

	cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s (%s)", e.Code, e.Field, e.Message, e.Verdict)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Verdict)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error with a verdict.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Invalid returns the error for a wrong input field; nothing ran.
func Invalid(field, format string, args ...any) *Error {
	e := New(NotRun, CodeInvalid, format, args...)
	e.Field = field
	return e
}

// Wrap returns an error with a verdict and a cause.
func Wrap(cause error, v Verdict, code Code, format string, args ...any) *Error {
	e := New(v, code, format, args...)
	e.cause = errors.WithStack(cause)
	e.Message += ": " + cause.Error()
	return e
}

// After sets the retry time and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// With attaches a detail for the caller and returns e.
func (e *Error) With(detail any) *Error {
	e.Detail = detail
	return e
}

// Of returns the verdict of an error: Ran for nil, MayHaveRun for errors without one.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// From returns err as an *Error. An error without a verdict becomes an internal error with MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, CodeInternal, "internal error")
}
