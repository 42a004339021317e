package units

import (
	"errors"
	"math/big"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

func testTable(t testing.TB) *Table {
	t.Helper()
	table, err := New([]*pb.Unit{
		{Name: "core", Dimension: "processor", Factor: "1000"},
		{Name: "bench", Dimension: "processor", Factor: "8/3"},
		{Name: "GiB", Dimension: "memory", Factor: "1073741824"},
		{Name: "tizen", Dimension: "time", Factor: "0.1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestResolve guards against rounding, and against a refusal with the wrong error.
func TestResolve(t *testing.T) {
	cases := []struct {
		quantity  string
		dimension Dimension
		want      int64
		err       error
	}{
		{"4 core", Processor, 4000, nil},
		{"0.001 core", Processor, 1, nil},
		{"3/8 bench", Processor, 1, nil},
		{"1/3 bench", Processor, 0, ErrNotWhole},
		{"0.0001 core", Processor, 0, ErrNotWhole},
		{"0.3 tizen", Time, 0, ErrNotWhole},
		{"30 tizen", Time, 3, nil},
		{"8589934591.9999999990686774253845214843 GiB", Memory, 0, ErrNotWhole},
		{"8589934591.999999999068677425384521484375 GiB", Memory, 0, ErrMalformed},
		{"8589934592 GiB", Memory, 0, ErrRange},
		{"8589934591 GiB", Memory, 8589934591 << 30, nil},
		{"4 Core", Processor, 0, ErrUnknown},
		{"4 GiB", Processor, 0, ErrDimension},
		{"-4 core", Processor, 0, ErrMalformed},
		{"1e3 core", Processor, 0, ErrMalformed},
		{"1_000 core", Processor, 0, ErrMalformed},
		{"4core", Processor, 0, ErrMalformed},
		{"4 / 2 core", Processor, 0, ErrMalformed},
		{"1/0 core", Processor, 0, ErrMalformed},
		{"", Processor, 0, ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.quantity, func(t *testing.T) {
			is := is.New(t)
			got, err := testTable(t).Resolve(c.quantity, c.dimension)
			is.True(errors.Is(err, c.err))
			is.Equal(got, c.want)
		})
	}
}

// TestResolveIsExact guards against a result that is not exactly number times factor.
func TestResolveIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.StringMatching(`[0-9]{1,9}(\.[0-9]{1,6}|/[1-9][0-9]{0,5})?`).Draw(t, "number")
		factor := rapid.StringMatching(`[1-9][0-9]{0,6}(\.[0-9]{1,4}|/[1-9][0-9]{0,3})?`).Draw(t, "factor")
		table, err := New([]*pb.Unit{{Name: "u", Dimension: "count", Factor: factor}})
		if err != nil {
			t.Fatal(err)
		}
		want := new(big.Rat).Mul(parseExactly(number), parseExactly(factor))
		got, err := table.Resolve(number+" u", Count)
		if (err == nil) != want.IsInt() || err == nil && want.Cmp(new(big.Rat).SetInt64(got)) != 0 {
			t.Fatalf("got %d, %v; want %s", got, err, want)
		}
	})
}

// parseExactly parses a number with integer arithmetic only. big.Rat.SetString would read "010/1" as octal.
func parseExactly(s string) *big.Rat {
	numerator, denominator, _ := strings.Cut(s, "/")
	whole, decimals, _ := strings.Cut(numerator, ".")
	n, _ := new(big.Int).SetString(whole+decimals, 10)
	d, ok := new(big.Int).SetString(denominator, 10)
	if !ok {
		d = new(big.Int).Exp(big.NewInt(10), big.NewInt(int64(len(decimals))), nil)
	}
	return new(big.Rat).SetFrac(n, d)
}

// FuzzResolve guards against panics and against quantities that resolve to a negative number.
func FuzzResolve(f *testing.F) {
	for _, seed := range []string{"4 core", "1/3 bench", "0.1 tizen", "999999999999999999999999 GiB", "1 2", "./. core"} {
		f.Add(seed)
	}
	units := testTable(f)
	f.Fuzz(func(t *testing.T, quantity string) {
		for dimension := range baseUnitNames {
			if got, err := units.Resolve(quantity, dimension); err == nil && got < 0 {
				t.Fatalf("%q resolved to %d", quantity, got)
			}
		}
	})
}
