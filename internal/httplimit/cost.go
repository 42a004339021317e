package httplimit

import (
	"bytes"
	"net/http"
	"unicode/utf8"
)

const (
	// lineBytes is what a header line takes beside its text: an entry of a map, a list and two strings, at the growth of the map.
	lineBytes = 128
	// valueBytes is what a value of a JSON body takes at most beside its text: one struct or message and its share of a growing list.
	valueBytes = 128
	// textFactor is what each byte of a text takes: one in the text as received and one in a copy.
	textFactor = 2
	// bodyCopies is how often the text of a body is held beside the body: decoded, encoded for another VM, and on its way there.
	bodyCopies = 3
	// replacedBytes is the size of the character that replaces each byte of a text that is not UTF-8.
	replacedBytes = 3
	// shortestLine is the length of the shortest header line.
	shortestLine = 4
)

// costOfPart returns the memory that a received part of a header takes once it is parsed. The lines of an encrypted part cannot be
// counted, so that it is taken to consist of the shortest ones.
func costOfPart(part []byte, encrypted bool) int64 {
	lines := bytes.Count(part, []byte{'\n'})
	if encrypted {
		lines = len(part) / shortestLine
	}
	return int64(textFactor*len(part) + lineBytes*lines)
}

// costOfHeader returns the memory that a parsed header takes.
func costOfHeader(h http.Header) int64 {
	cost := int64(0)
	for name, values := range h {
		cost += textFactor * int64(len(name))
		for _, value := range values {
			cost += lineBytes + textFactor*int64(len(value))
		}
	}
	return cost
}

// costOfDecoding returns the memory that a JSON body takes once it is decoded and forwarded, beside the body itself.
func costOfDecoding(body []byte) int64 {
	values := 0
	for _, c := range body {
		if c == ',' || c == '{' || c == '[' {
			values++
		}
	}
	text := len(body)
	if !utf8.Valid(body) {
		text *= replacedBytes
	}
	return int64(bodyCopies*text + valueBytes*values)
}
