package gateway

import (
	"net/http"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// Errors of the gateway that are sent to callers.
var (
	ErrKeyRequired = &errs.Error{Code: "key-required", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "a non-idempotent request needs an Idempotency-Key that is a UUIDv7",
		Remedy:  "send a fresh UUIDv7 with each new request and the same one with each retry"}
	ErrKeyReused = &errs.Error{Code: "key-reused", Status: http.StatusUnprocessableEntity, Outcome: errs.OutcomeNotRun,
		Message: "the idempotency key belongs to a different request", Remedy: "use a new key for a new request"}
	ErrInProgress = &errs.Error{Code: "in-progress", Status: http.StatusConflict, Outcome: errs.OutcomeUnknown,
		Message: "a request with this idempotency key is being worked on", Remedy: "ask again later with the same key"}
	ErrAnswerNotKept = &errs.Error{Code: "answer-not-kept", Status: http.StatusConflict, Outcome: outcomeExecuted,
		Message: "the request was executed; its answer exceeded the size that is kept", Remedy: "read the result by other means; do not use a new key"}
	ErrDigestRequired = &errs.Error{Code: "digest-required", Status: http.StatusLengthRequired, Outcome: errs.OutcomeNotRun,
		Message: "a non-idempotent request with a large body needs a sha-256 Content-Digest", Remedy: "send Content-Digest: sha-256=:BASE64: (RFC 9530)"}
	ErrDigestMismatch = &errs.Error{Code: "digest-mismatch", Status: http.StatusBadRequest, Outcome: errs.OutcomeUnknown,
		Message: "the body does not match its Content-Digest", Remedy: "check the body; use a new key for a corrected request"}
	ErrOwnerUnreachable = &errs.Error{Code: "owner-unreachable", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "not run by this attempt: the failure domain that owns the key cannot be reached", Remedy: "ask again with the same idempotency key"}
	ErrRateLimit = &errs.Error{Code: "rate-limit", Status: http.StatusTooManyRequests, Outcome: errs.OutcomeNotRun,
		Message: "the contract's request rate is used up", Remedy: "send fewer requests a second or raise limits.requestRate of the contract"}
	ErrExecutorFailed = &errs.Error{Code: "executor-failed", Status: http.StatusBadGateway, Outcome: errs.OutcomeUnknown,
		Message: "the executor failed while it worked on the request", Remedy: "ask again; with a non-idempotent request use the same idempotency key"}
	ErrDeadlineExceeded = &errs.Error{Code: "deadline-exceeded", Status: http.StatusGatewayTimeout, Outcome: errs.OutcomeUnknown,
		Message: "the deadline passed while the request was worked on", Remedy: "ask again; with a non-idempotent request use the same idempotency key"}
	ErrExecutorUnreachable = &errs.Error{Code: "executor-unreachable", Status: http.StatusServiceUnavailable, Outcome: errs.OutcomeNotRun,
		Message: "the executor could not be reached", Remedy: "retry later"}
	ErrTooManyHops = &errs.Error{Code: "too-many-hops", Status: http.StatusLoopDetected, Outcome: errs.OutcomeNotRun,
		Message: "the request was forwarded too often", Remedy: "check that all entry VMs list the same failure domains"}
	ErrCallerGone = &errs.Error{Code: "caller-gone", Status: 499, Outcome: errs.OutcomeUnknown,
		Message: "the caller closed the connection", Remedy: "ask again; with a non-idempotent request use the same idempotency key"}
	errTruncated = &errs.Error{Code: "answer-cut", Status: http.StatusBadGateway, Outcome: errs.OutcomeUnknown,
		Message: "the answer ended early", Remedy: "ask again; with a non-idempotent request use the same idempotency key"}
)
