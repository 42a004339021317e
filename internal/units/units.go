// Package units converts quantities such as "4 core" to whole numbers of base units.
// The arithmetic is exact; a quantity that is not a whole number of base units is refused.
package units

import (
	"math/big"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Dimension is the kind of resource or value that a unit measures.
type Dimension string

// Dimensions, each with its base unit.
const (
	Processor   Dimension = "processor"   // millicore
	Memory      Dimension = "memory"      // byte
	Accelerator Dimension = "accelerator" // device
	Time        Dimension = "time"        // millisecond
	Rate        Dimension = "rate"        // request per 1000 s
	Count       Dimension = "count"       // one
)

// baseUnitNames maps each dimension to the name of its base unit, which error messages use.
var baseUnitNames = map[Dimension]string{
	Processor:   "millicore",
	Memory:      "byte",
	Accelerator: "device",
	Time:        "millisecond",
	Rate:        "request per 1000 s",
	Count:       "one",
}

const (
	// maxNumberBytes bounds the length of a number and so the cost of its arithmetic.
	// 40 digits exceed the largest int64 times any factor of practical use.
	maxNumberBytes = 40
	// maxUnitNameBytes bounds the name of a unit.
	maxUnitNameBytes = 64
	// MaxQuantityBytes bounds the length of a quantity, which is a number, blanks and a unit.
	MaxQuantityBytes = 256
)

// Unit is an entry of the unit table. One unit equals Factor base units of its dimension.
type Unit struct {
	Name      string
	Dimension Dimension
	Factor    *big.Rat
}

// Table maps names to units. It is immutable after New and safe for concurrent use.
type Table struct {
	units map[string]Unit
}

// New returns a table of the listed units. The error is an ErrTable that names the first unit that is invalid or listed
// twice.
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

// ParseUnit checks and converts one entry of the unit table.
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

// CheckName returns an error unless name can be the unit of a quantity: it must start with a letter, have at most
// maxUnitNameBytes bytes and contain no blanks and no unprintable characters.
func CheckName(name string) error {
	first, _ := utf8.DecodeRuneInString(name)
	if !utf8.ValidString(name) || !unicode.IsLetter(first) || len(name) > maxUnitNameBytes {
		return ErrTable.With("unit name %q must start with a letter and have at most %d bytes", truncateForMessage(name), maxUnitNameBytes)
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
	if _, known := baseUnitNames[Dimension(name)]; !known {
		return "", ErrTable.With("dimension %q is not one of processor, memory, accelerator, time, rate, count", truncateForMessage(name))
	}
	return Dimension(name), nil
}

// ParseNumber parses a whole number ("12"), a decimal ("1.5") or a fraction ("3/4").
// It refuses signs, exponents and digit separators.
func ParseNumber(s string) (*big.Rat, error) {
	if len(s) > maxNumberBytes {
		return nil, ErrMalformed.With("%q has more than %d characters", truncateForMessage(s), maxNumberBytes)
	}
	numerator, denominator, isFraction := strings.Cut(s, "/")
	if isFraction && isDigits(numerator) && isDigits(denominator) {
		return parseFraction(s, numerator, denominator)
	}
	whole, decimals, isDecimal := strings.Cut(s, ".")
	if isDigits(whole) && (!isDecimal || isDigits(decimals)) {
		value, _ := new(big.Rat).SetString(s)
		return value, nil
	}
	return nil, ErrMalformed.With("%q is not a whole number, decimal or fraction", s)
}

// parseFraction parses the parts as decimal integers. big.Rat.SetString would read a part with a leading 0 as octal.
func parseFraction(s, numerator, denominator string) (*big.Rat, error) {
	n, _ := new(big.Int).SetString(numerator, 10)
	d, _ := new(big.Int).SetString(denominator, 10)
	if d.Sign() == 0 {
		return nil, ErrMalformed.With("%q divides by 0", s)
	}
	return new(big.Rat).SetFrac(n, d), nil
}

// isDigits reports whether s consists of at least one ASCII digit and nothing else.
func isDigits(s string) bool {
	for _, c := range []byte(s) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return s != ""
}

// Resolve converts a quantity to base units of the dimension. The error is ErrMalformed, ErrUnknown, ErrDimension,
// ErrNotWhole or ErrRange.
func (t *Table) Resolve(quantity string, dimension Dimension) (int64, error) {
	number, unit, err := t.parseQuantity(quantity)
	if err != nil {
		return 0, err
	}
	if unit.Dimension != dimension {
		return 0, ErrDimension.With("%q: unit %q measures %s, but %s is needed", quantity, unit.Name, unit.Dimension, dimension)
	}
	base := new(big.Rat).Mul(number, unit.Factor)
	if !base.IsInt() {
		return 0, ErrNotWhole.With("%q is %s %s, which is not a whole number", quantity, base.RatString(), baseUnitNames[dimension])
	}
	if !base.Num().IsInt64() {
		return 0, ErrRange.With("%q is %s %s, which exceeds 2^63-1", quantity, base.RatString(), baseUnitNames[dimension])
	}
	return base.Num().Int64(), nil
}

// parseQuantity splits a quantity into its number and its unit.
func (t *Table) parseQuantity(quantity string) (*big.Rat, Unit, error) {
	if len(quantity) > MaxQuantityBytes {
		return nil, Unit{}, ErrMalformed.With("%q has more than %d bytes", truncateForMessage(quantity), MaxQuantityBytes)
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

// truncateForMessage limits s to 60 bytes and marks the cut, for use in an error message.
func truncateForMessage(s string) string {
	const maxBytes = 60
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}
