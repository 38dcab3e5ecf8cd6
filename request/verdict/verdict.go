// Package verdict classifies whether a request took effect, and defines the error type that reports it to callers.
// Every error returned to a caller is an *Error of this package. Values are scoped to one request.
package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict states whether a request took effect. The zero value is MayHaveRun, so that a verdict that was not set never
// claims certainty.
type Verdict uint8

// Verdicts of the HTTP contract.
const (
	// MayHaveRun: it is unknown whether the request took effect.
	MayHaveRun Verdict = iota
	// NotRun: the request did not take effect and will not take effect later.
	NotRun
	// Ran: the request took effect.
	Ran
)

var verdictNames = [...]string{"may_have_run", "not_run", "ran"}

// String returns the name used in the HTTP contract.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return fmt.Sprintf("verdict(%d)", uint8(v))
	}
	return verdictNames[v]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Code is the machine-readable class of an error.
type Code string

// The error codes of the HTTP contract.
const (
	// CodeInvalid: the input is invalid; Field names the field.
	CodeInvalid Code = "invalid"
	// CodeNotFound: the requested object does not exist.
	CodeNotFound Code = "not_found"
	// CodeUnauthorized: the request carries no key that is in force.
	CodeUnauthorized Code = "unauthorized"
	// CodeStalePlan: the plan is no longer valid; Detail has a new plan where possible.
	CodeStalePlan Code = "stale_plan"
	// CodeConflict: the request conflicts with another one.
	CodeConflict Code = "conflict"
	// CodeOverloaded: a limit is reached; RetryAfter is the delay before the next attempt.
	CodeOverloaded Code = "overloaded"
	// CodeUnavailable: a component that the request depends on cannot be reached.
	CodeUnavailable Code = "unavailable"
	// CodeWrongOwner: this instance does not own the partition.
	CodeWrongOwner Code = "wrong_owner"
	// CodeFenced: the epoch of the request is too low.
	CodeFenced Code = "fenced"
	// CodeExpired: the ticket or plan is past its retention period.
	CodeExpired Code = "expired"
	// CodeFailed: the task ran and failed.
	CodeFailed Code = "failed"
	// CodeInternal: an internal failure of the system.
	CodeInternal Code = "internal"
)

// Error is an error with a verdict and a code.
type Error struct {
	Verdict Verdict `json:"verdict"`
	Code    Code    `json:"code"`
	// Field is the path of the invalid input field, for CodeInvalid.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// RetryAfter is the delay after which a retry is useful; zero means that a retry is not useful.
	RetryAfter time.Duration `json:"-"`
	// Detail is an optional value for the caller, such as a new plan.
	Detail any `json:"detail,omitempty"`
	// Owner is the peer address of the owner as known to the responding instance, for CodeWrongOwner. It is not sent to
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

// New returns an error with a verdict, a code and a formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Invalid returns a NotRun error with CodeInvalid for an input field.
func Invalid(field, format string, args ...any) *Error {
	e := New(NotRun, CodeInvalid, format, args...)
	e.Field = field
	return e
}

// Wrap returns an error like New with a cause, whose text is appended to the message.
func Wrap(cause error, v Verdict, code Code, format string, args ...any) *Error {
	e := New(v, code, format, args...)
	e.cause = errors.WithStack(cause)
	e.Message += ": " + cause.Error()
	return e
}

// WithRetryAfter sets the retry delay and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithDetail attaches a detail for the caller and returns e.
func (e *Error) WithDetail(detail any) *Error {
	e.Detail = detail
	return e
}

// Of returns the verdict of an error: Ran for nil, MayHaveRun for an error without a verdict.
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
