package logging

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// writeKeyValue converts a JSON object to a line of key=value pairs in the same order. A line that is not a JSON object
// is written unchanged.
func writeKeyValue(out *bytes.Buffer, line []byte) {
	if convertPlain(out, line) {
		return
	}
	out.Reset()
	if err := convertAny(out, line); err != nil {
		out.Reset()
		out.Write(line)
	}
}

// convertPlain is the fast path for objects without nested values, escapes and non-ASCII characters, which nearly all
// lines are. Decoding all lines with encoding/json took 12% of the processor time of an entry VM under load. It returns
// false for all other lines.
func convertPlain(out *bytes.Buffer, line []byte) bool {
	rest, ok := bytes.CutPrefix(line, []byte("{"))
	if !ok {
		return false
	}
	for {
		key, after, ok := plainString(rest)
		if !ok || len(after) == 0 || after[0] != ':' {
			return false
		}
		if out.Len() > 0 {
			out.WriteByte(' ')
		}
		out.Write(key)
		out.WriteByte('=')
		if rest, ok = writePlainValue(out, after[1:]); !ok || len(rest) == 0 {
			return false
		}
		switch rest[0] {
		case ',':
			rest = rest[1:]
		case '}':
			out.WriteByte('\n')
			return len(bytes.TrimSpace(rest[1:])) == 0
		default:
			return false
		}
	}
}

// plainString splits a quoted string of printable ASCII without escapes off the start of line.
func plainString(line []byte) (text, rest []byte, ok bool) {
	if len(line) == 0 || line[0] != '"' {
		return nil, nil, false
	}
	end := bytes.IndexByte(line[1:], '"')
	if end < 0 {
		return nil, nil, false
	}
	text = line[1 : 1+end]
	for _, c := range text {
		if c < ' ' || c > '~' || c == '\\' {
			return nil, nil, false
		}
	}
	return text, line[2+end:], true
}

// writePlainValue writes the string, number, boolean or null at the start of line and returns the rest of the line.
func writePlainValue(out *bytes.Buffer, line []byte) ([]byte, bool) {
	if len(line) > 0 && line[0] == '"' {
		text, rest, ok := plainString(line)
		if !ok {
			return nil, false
		}
		quoted := needsQuotes(text)
		if quoted {
			out.WriteByte('"')
		}
		out.Write(text)
		if quoted {
			out.WriteByte('"')
		}
		return rest, true
	}
	end := bytes.IndexAny(line, ",}")
	if end <= 0 || line[0] == '{' || line[0] == '[' {
		return nil, false
	}
	out.Write(line[:end])
	return line[end:], true
}

func needsQuotes(text []byte) bool {
	return len(text) == 0 || bytes.ContainsAny(text, " =")
}

// convertAny converts any JSON object. Nested values are written as JSON.
func convertAny(out *bytes.Buffer, line []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.UseNumber()
	if _, err := decoder.Token(); err != nil {
		return fmt.Errorf("decode a log line: %w", err)
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return fmt.Errorf("decode a key of a log line: %w", err)
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return fmt.Errorf("decode a value of a log line: %w", err)
		}
		if out.Len() > 0 {
			out.WriteByte(' ')
		}
		fmt.Fprintf(out, "%s=%s", key, formatValue(value))
	}
	out.WriteByte('\n')
	return nil
}

// formatValue formats a JSON value: a string without its quotes unless it needs them, any other value as JSON.
func formatValue(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		compact := string(raw)
		if strings.ContainsAny(compact, " \"=") {
			return strconv.Quote(compact)
		}
		return compact
	}
	if text == "" || strings.ContainsAny(text, " \"=\n\t\\") {
		return strconv.Quote(text)
	}
	return text
}
