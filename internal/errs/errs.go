// Package errs defines the error type that crosses process boundaries.
// Each error has a stable code, says whether a request ran, and names the remedy.
package errs

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Outcome says whether the refused operation was carried out.
type Outcome string

// Outcomes of a refused operation.
const (
	// OutcomeNone applies where nothing could have run, such as a malformed query.
	OutcomeNone Outcome = ""
	// OutcomeNotRun means that the operation was not and will not be carried out.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the operation may have been carried out.
	OutcomeUnknown Outcome = "unknown"
)

// Error is a typed refusal.
type Error struct {
	// Code is stable and meant for programs.
	Code string
	// Status is the HTTP status of the refusal.
	Status  int
	Outcome Outcome
	Message string
	// Remedy says what the reader should do next.
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

// With returns a copy of e with a formatted message. A trailing error operand of %w becomes its cause.
func (e *Error) With(format string, args ...any) *Error {
	copied := *e
	formatted := fmt.Errorf(format, args...)
	copied.Message = formatted.Error()
	copied.cause = errors.Unwrap(formatted)
	return &copied
}

// Proto converts e to its wire form.
func (e *Error) Proto() *pb.Error {
	return &pb.Error{Code: e.Code, Outcome: string(e.Outcome), Message: e.Message, Remedy: e.Remedy}
}

// FromProto converts the wire form received with the given HTTP status.
func FromProto(status int, p *pb.Error) *Error {
	return &Error{Code: p.GetCode(), Status: status, Outcome: Outcome(p.GetOutcome()), Message: p.GetMessage(), Remedy: p.GetRemedy()}
}

// From returns err as an *Error. An untyped error becomes ErrInternal.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return ErrInternal.With("%w", err)
}

// Errors shared by several packages. Use With to add the particulars.
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
	ErrDraining = &Error{Code: "draining", Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun,
		Message: "this entry VM is shutting down", Remedy: "send the request to another entry VM"}
)
