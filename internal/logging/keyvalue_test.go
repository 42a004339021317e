package logging

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rs/zerolog"
)

var conversionCases = []struct{ json, text string }{
	{`{"level":"info","n":3,"ok":true}`, "level=info n=3 ok=true\n"},
	{`{"a":"two words","b":"","c":"x=y"}`, `a="two words" b="" c="x=y"` + "\n"},
	{`{"a":"quote \" inside"}`, `a="quote \" inside"` + "\n"},
	{`{"a":"line\nbreak"}`, `a="line\nbreak"` + "\n"},
	{`{"a":{"b":1},"c":[1,2]}`, `a="{\"b\":1}" c=[1,2]` + "\n"},
	{`not json`, `not json`},
}

// Guards against a conversion that loses or changes a value.
func TestWriteKeyValue(t *testing.T) {
	for _, c := range conversionCases {
		is := is.New(t)
		var out bytes.Buffer
		writeKeyValue(&out, []byte(c.json))
		is.Equal(out.String(), c.text)
	}
}

// Guards against a fast path whose result differs from that of the general conversion.
func TestPlainConversionEqualsGeneral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var encoded, fast, general bytes.Buffer
		logger := zerolog.New(&encoded)
		logger.Info().Str(rapid.StringMatching("[a-z_]{1,8}").Draw(t, "key"), rapid.String().Draw(t, "text")).
			Float64("f", rapid.Float64().Draw(t, "number")).Bool("b", true).Send()
		if !convertPlain(&fast, encoded.Bytes()) {
			return
		}
		if err := convertAny(&general, encoded.Bytes()); err != nil {
			t.Fatal(err)
		}
		if fast.String() != general.String() {
			t.Fatalf("%q and %q", fast.String(), general.String())
		}
	})
}

var decisionLine = []byte(`{"level":"info","vm":"vm-b1","decision":"route","request":"NKQ4H6CZHOJKF7SOEYMM3CJ7XW","service":"kit-orders",` +
	`"member":"hanbit","policy":"latency-choices","free":2,"target":"executor-b2","in_flight":4,"latency_us":52516,` +
	`"over":"executor-b1","over_in_flight":4,"time":"2026-12-04T05:36:45Z","message":"request routed"}`)

func BenchmarkDecisionLine(b *testing.B) {
	b.Run("general", func(b *testing.B) {
		var out bytes.Buffer
		for b.Loop() {
			out.Reset()
			_ = convertAny(&out, decisionLine)
		}
	})
	b.Run("plain", func(b *testing.B) {
		var out bytes.Buffer
		for b.Loop() {
			out.Reset()
			writeKeyValue(&out, decisionLine)
		}
	})
}
