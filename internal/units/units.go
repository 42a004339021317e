// Package units resolves quantities such as "4 core" to whole numbers of base units.
// All arithmetic is exact; no value is rounded.
package units

import (
	"math/big"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Dimension is what a unit measures.
type Dimension string

// Dimensions and their base units.
const (
	Processor   Dimension = "processor"   // millicore
	Memory      Dimension = "memory"      // byte
	Accelerator Dimension = "accelerator" // device
	Time        Dimension = "time"        // millisecond
	Rate        Dimension = "rate"        // request per 1000 s
	Count       Dimension = "count"       // one
)

// baseUnits maps each dimension to the name of its base unit, for messages.
var baseUnits = map[Dimension]string{
	Processor:   "millicore",
	Memory:      "byte",
	Accelerator: "device",
	Time:        "millisecond",
	Rate:        "request per 1000 s",
	Count:       "one",
}

const (
	// maxNumberBytes bounds the digits of a number, and with them the cost of its arithmetic.
	// 40 digits exceed the largest int64 times any factor of practical use.
	maxNumberBytes = 40
	// maxNameBytes bounds the name of a unit.
	maxNameBytes = 64
	// MaxQuantityBytes bounds a quantity: a number, blanks and a unit.
	MaxQuantityBytes = 256
)

// Unit is a named unit: one unit is Factor base units of its dimension.
type Unit struct {
	Name      string
	Dimension Dimension
	Factor    *big.Rat
}

// Table maps names to units. It is immutable after New and safe for concurrent use.
type Table struct {
	units map[string]Unit
}

// New builds a table. It returns an error that names the first unit that is not valid or occurs twice.
func New(list []*pb.Unit) (*Table, error) {
	t := &Table{units: make(map[string]Unit, len(list))}
	for _, u := range list {
		unit, err := ParseUnit(u)
		if err != nil {
			return nil, err
		}
		if _, exists := t.units[unit.Name]; exists {
			return nil, ErrTable.With("unit %q is listed twice", unit.Name)
		}
		t.units[unit.Name] = unit
	}
	return t, nil
}

// ParseUnit checks one entry of the unit table.
func ParseUnit(u *pb.Unit) (Unit, error) {
	if err := CheckName(u.GetName()); err != nil {
		return Unit{}, err
	}
	dimension, err := ParseDimension(u.GetDimension())
	if err != nil {
		return Unit{}, ErrTable.With("unit %q: %s", u.GetName(), errs.From(err).Message)
	}
	factor, err := ParseNumber(u.GetFactor())
	if err != nil {
		return Unit{}, ErrTable.With("unit %q: factor %s", u.GetName(), errs.From(err).Message)
	}
	if factor.Sign() == 0 {
		return Unit{}, ErrTable.With("unit %q: factor must be greater than 0", u.GetName())
	}
	return Unit{Name: u.GetName(), Dimension: dimension, Factor: factor}, nil
}

// CheckName reports whether name can be written as the unit of a quantity: it starts with a letter
// and holds no blanks and no control characters.
func CheckName(name string) error {
	first, _ := utf8.DecodeRuneInString(name)
	if !utf8.ValidString(name) || !unicode.IsLetter(first) || len(name) > maxNameBytes {
		return ErrTable.With("unit name %q must start with a letter and have at most %d bytes", clip(name), maxNameBytes)
	}
	for _, r := range name {
		if unicode.IsSpace(r) || !unicode.IsPrint(r) {
			return ErrTable.With("unit name %q must not contain blanks or control characters", name)
		}
	}
	return nil
}

// ParseDimension returns the dimension with the given name.
func ParseDimension(name string) (Dimension, error) {
	if _, known := baseUnits[Dimension(name)]; !known {
		return "", ErrTable.With("dimension %q is not one of processor, memory, accelerator, time, rate, count", clip(name))
	}
	return Dimension(name), nil
}

// ParseNumber reads a whole number ("12"), a decimal ("1.5") or a fraction ("3/4").
// Signs, exponents and digit separators are refused.
func ParseNumber(s string) (*big.Rat, error) {
	if len(s) > maxNumberBytes {
		return nil, ErrMalformed.With("%q has more than %d characters", clip(s), maxNumberBytes)
	}
	numerator, denominator, fraction := strings.Cut(s, "/")
	if fraction && isDigits(numerator) && isDigits(denominator) {
		return parseFraction(s, numerator, denominator)
	}
	whole, decimals, decimal := strings.Cut(s, ".")
	if isDigits(whole) && (!decimal || isDigits(decimals)) {
		value, _ := new(big.Rat).SetString(s)
		return value, nil
	}
	return nil, ErrMalformed.With("%q is not a whole number, decimal or fraction", s)
}

func parseFraction(s, numerator, denominator string) (*big.Rat, error) {
	n, _ := new(big.Int).SetString(numerator, 10)
	d, _ := new(big.Int).SetString(denominator, 10)
	if d.Sign() == 0 {
		return nil, ErrMalformed.With("%q divides by 0", s)
	}
	return new(big.Rat).SetFrac(n, d), nil
}

func isDigits(s string) bool {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return s != ""
}

// Resolve returns the quantity in base units of the dimension.
// Errors: ErrMalformed, ErrUnknown, ErrDimension, ErrNotWhole, ErrRange.
func (t *Table) Resolve(quantity string, dimension Dimension) (int64, error) {
	number, unit, err := t.split(quantity)
	if err != nil {
		return 0, err
	}
	if unit.Dimension != dimension {
		return 0, ErrDimension.With("%q: unit %q measures %s, but %s is needed", quantity, unit.Name, unit.Dimension, dimension)
	}
	base := new(big.Rat).Mul(number, unit.Factor)
	if !base.IsInt() {
		return 0, ErrNotWhole.With("%q is %s %s, which is not a whole number", quantity, base.RatString(), baseUnits[dimension])
	}
	if !base.Num().IsInt64() {
		return 0, ErrRange.With("%q is %s %s, which exceeds 2^63-1", quantity, base.RatString(), baseUnits[dimension])
	}
	return base.Num().Int64(), nil
}

func (t *Table) split(quantity string) (*big.Rat, Unit, error) {
	if len(quantity) > MaxQuantityBytes {
		return nil, Unit{}, ErrMalformed.With("%q has more than %d bytes", clip(quantity), MaxQuantityBytes)
	}
	parts := strings.Fields(quantity)
	if len(parts) != 2 {
		return nil, Unit{}, ErrMalformed.With("%q does not consist of a number, a blank and a unit", quantity)
	}
	number, err := ParseNumber(parts[0])
	if err != nil {
		return nil, Unit{}, ErrMalformed.With("%q: %s", quantity, errs.From(err).Message)
	}
	unit, known := t.units[parts[1]]
	if !known {
		return nil, Unit{}, ErrUnknown.With("%q: unit %q is not in the unit table", quantity, parts[1])
	}
	return number, unit, nil
}

// clip shortens s for use in a message.
func clip(s string) string {
	const longest = 60
	if len(s) <= longest {
		return s
	}
	return strings.ToValidUTF8(s[:longest], "") + "..."
}
