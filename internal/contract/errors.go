package contract

import (
	"net/http"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// refusal returns an error for a note that was not applied.
func refusal(status int, code, message, remedy string) *errs.Error {
	return &errs.Error{Code: code, Status: status, Outcome: errs.OutcomeNotRun, Message: message, Remedy: remedy}
}

// Errors for which a release note is refused. A refused note changes no contract.
// Errors of quantities are in package units.
var (
	ErrNumberTaken = refusal(http.StatusConflict, "note-number-taken", "another note with this number is accepted",
		"read the accepted note, then send yours with the next number")
	ErrAlreadyAccepted   = refusal(http.StatusConflict, "note-accepted", "this note is already accepted", "nothing is left to do; see the status of the note")
	ErrNumberGap         = refusal(http.StatusConflict, "note-gap", "the number leaves a gap", "send the note with the next number")
	ErrMalformedNote     = refusal(http.StatusBadRequest, "note-malformed", "the note is malformed", "correct the note and send it again")
	ErrEmptyNote         = refusal(http.StatusBadRequest, "note-empty", "the note changes nothing", "list at least one contract under add, change or withdraw")
	ErrContractExists    = refusal(http.StatusConflict, "contract-exists", "the contract exists", "list it under change, or give the new contract another name")
	ErrContractMissing   = refusal(http.StatusConflict, "contract-missing", "the contract does not exist", "correct the name, or list it under add")
	ErrContractTwice     = refusal(http.StatusBadRequest, "contract-twice", "the note names a contract twice", "name each contract once in a note")
	ErrMalformedContract = refusal(http.StatusBadRequest, "contract-malformed", "the contract is malformed", "correct the contract and send the note again")
	ErrUnknownDomain     = refusal(http.StatusBadRequest, "domain-unknown", "the failure domain does not exist", "use the names under failureDomains in the settings")
	ErrMalformedEntry    = refusal(http.StatusInternalServerError, "entry-malformed", "the log entry is malformed",
		"run the same version on all entry VMs and send the note again")
)
