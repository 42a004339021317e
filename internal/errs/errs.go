// Package errs defines the error type that is sent between processes and to API clients. An error has a stable code,
// tells whether the operation was carried out, and names a remedy.
package errs

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Outcome tells whether an operation that returned an error was carried out.
type Outcome string

// Values of Outcome.
const (
	// OutcomeNone applies to requests that have no operation to carry out, such as a malformed query.
	OutcomeNone Outcome = ""
	// OutcomeNotRun means that the operation was not carried out and will not be.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the operation may have been carried out.
	OutcomeUnknown Outcome = "unknown"
)

// Error is the error of an API request or of a call between VMs.
type Error struct {
	// Code identifies the kind of error. It is stable, so that programs can rely on it.
	Code string
	// Status is the HTTP status of the answer.
	Status  int
	Outcome Outcome
	Message string
	// Remedy tells the reader how to resolve the error.
	Remedy string
	cause  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Remedy)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether target is an *Error with the same code.
func (e *Error) Is(target error) bool {
	var other *Error
	return errors.As(target, &other) && other.Code == e.Code
}

// With returns a copy of e with a message formatted as by fmt.Errorf. If format contains exactly one %w, its operand
// becomes the cause.
func (e *Error) With(format string, args ...any) *Error {
	copied := *e
	formatted := fmt.Errorf(format, args...)
	copied.Message = formatted.Error()
	copied.cause = errors.Unwrap(formatted)
	return &copied
}

// WithUnknownOutcome returns a copy of e that says that the operation may have been carried out.
func (e *Error) WithUnknownOutcome() *Error {
	copied := *e
	copied.Outcome = OutcomeUnknown
	return &copied
}

// Proto converts e to its wire form.
func (e *Error) Proto() *pb.Error {
	return &pb.Error{Code: e.Code, Outcome: string(e.Outcome), Message: e.Message, Remedy: e.Remedy}
}

// FromProto converts the wire form of an error that was received with an HTTP status.
func FromProto(status int, p *pb.Error) *Error {
	return &Error{Code: p.GetCode(), Status: status, Outcome: Outcome(p.GetOutcome()), Message: p.GetMessage(), Remedy: p.GetRemedy()}
}

// From returns the *Error in the chain of err, or an ErrInternal with err as its cause if there is none.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return ErrInternal.With("%w", err)
}

// Errors that several packages return. With adds a specific message.
var (
	ErrInternal = &Error{Code: "internal", Status: http.StatusInternalServerError, Outcome: OutcomeUnknown,
		Message: "unexpected failure", Remedy: "see the log of the entry VM; a retry with the same idempotency key is safe"}
	ErrInvalid = &Error{Code: "invalid", Status: http.StatusBadRequest, Outcome: OutcomeNotRun,
		Message: "the request is malformed", Remedy: "correct the request and send it again"}
	ErrUnauthenticated = &Error{Code: "unauthenticated", Status: http.StatusUnauthorized, Outcome: OutcomeNotRun,
		Message: "the bearer token is missing or unknown", Remedy: "send Authorization: Bearer with a token listed in the settings"}
	ErrForbidden = &Error{Code: "forbidden", Status: http.StatusForbidden, Outcome: OutcomeNotRun,
		Message: "the token does not allow this", Remedy: "use a token of the right role and member"}
	ErrNotFound = &Error{Code: "not-found", Status: http.StatusNotFound, Outcome: OutcomeNotRun,
		Message: "no such object", Remedy: "list the existing ones and check the name"}
	ErrTooLarge = &Error{Code: "too-large", Status: http.StatusRequestEntityTooLarge, Outcome: OutcomeNotRun,
		Message: "the body exceeds the limit", Remedy: "send a smaller body or raise limits.maxBodyBytes"}
	ErrNoQuorum = &Error{Code: "no-quorum", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun,
		Message: "a majority of the group's voters cannot be reached", Remedy: "retry later; see 'lentilyard status' for the voters"}
	ErrOutcomeUnknown = &Error{Code: "outcome-unknown", Status: http.StatusBadGateway, Outcome: OutcomeUnknown,
		Message: "the operation may have been carried out", Remedy: "ask again with the same idempotency key"}
	ErrBusy = &Error{Code: "busy", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun,
		Message: "this entry VM has no memory left for the request", Remedy: "send it again later, or to another entry VM"}
	ErrDraining = &Error{Code: "draining", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun,
		Message: "this entry VM is shutting down", Remedy: "send the request to another entry VM"}
)
