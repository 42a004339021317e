package units

import (
	"net/http"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// Errors of quantities and of the unit table.
var (
	ErrUnknown = &errs.Error{Code: "unit-unknown", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "the unit is not in the unit table", Remedy: "add the unit with its exact factor to units in the settings of the entry VMs, or write the quantity in a listed unit"}
	ErrDimension = &errs.Error{Code: "unit-dimension", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "the unit has the wrong dimension", Remedy: "write the quantity in a unit of the dimension that the field needs"}
	ErrNotWhole = &errs.Error{Code: "not-whole", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "the quantity is not a whole number of base units", Remedy: "write a quantity that is a whole number of base units; nothing is rounded"}
	ErrRange = &errs.Error{Code: "quantity-range", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "the quantity is too large", Remedy: "write a smaller quantity or check the factor of the unit"}
	ErrMalformed = &errs.Error{Code: "quantity-malformed", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "the quantity is malformed", Remedy: `write NUMBER UNIT, such as "4 core" or "1.5 GiB", without sign, exponent or digit separators`}
	ErrTable = &errs.Error{Code: "unit-table", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "the unit table is not valid", Remedy: "correct the entry under units in the settings"}
)
