package settings

import (
	"maps"

	"github.com/goccy/go-yaml/token"
)

const (
	// maxDepth limits the nesting of collections, because the parser is recursive. The schema has 5 levels.
	maxDepth = 32
	// maxKeys limits the number of keys in one mapping, because the parsing time of goccy/go-yaml 1.19.2 grows
	// quadratically with it: 80,000 keys took 12 s. The largest message of the schema has 15 fields.
	maxKeys = 1000
	// maxItems limits the number of items in one list for the same reason: 80,000 empty items took 5.7 s, 20,000 took 0.2 s.
	maxItems = 20_000
)

// unsupportedTokens are the YAML features whose effect on a value cannot be seen in the line of the value.
var unsupportedTokens = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.MergeKeyType:   "a merge key",
	token.TagType:        "a tag",
	token.DirectiveType:  "a directive",
	token.MappingKeyType: `an explicit key ("?")`,
}

// checkTokens rejects unsupported YAML features, and files that would cost the parser too much stack or time. It reports
// a problem and returns false in these cases.
func checkTokens(r *report, tokens token.Tokens) bool {
	s := nestingTracker{keys: map[int]int{}, items: map[int]int{}}
	for _, t := range tokens {
		if name, unsupported := unsupportedTokens[t.Type]; unsupported {
			r.add(t.Position.Line, "write the value out in place", "%s (%q) is not supported", name, truncate(t.Value))
			return false
		}
		s.add(t)
		if s.depth > maxDepth || s.entriesOnLine > maxDepth {
			r.add(t.Position.Line, "remove the extra nesting", "collections are nested more than %d deep", maxDepth)
			return false
		}
		if s.keys[s.column] > maxKeys || s.items[s.column] > maxItems {
			r.add(t.Position.Line, "split the file", "a mapping has more than %d keys, or a list more than %d items", maxKeys, maxItems)
			return false
		}
	}
	return true
}

// nestingTracker tracks the nesting of collections and their sizes over the tokens of a file.
type nestingTracker struct {
	depth         int         // number of open brackets and braces
	line          int         // line of the last token
	entriesOnLine int         // list items that start on this line: "- - -" nests lists without brackets
	keys          map[int]int // keys of the open block mappings, by column
	items         map[int]int // items of the open block lists, by column
	column        int         // column of the last key or item
}

// add updates the tracker with the next token.
func (s *nestingTracker) add(t *token.Token) {
	if t.Position.Line != s.line {
		s.line, s.entriesOnLine = t.Position.Line, 0
		s.closeCollections(t.Position.Column)
	}
	switch t.Type {
	case token.SequenceStartType, token.MappingStartType:
		s.depth++
	case token.SequenceEndType, token.MappingEndType:
		s.depth--
	case token.SequenceEntryType:
		s.entriesOnLine++
		s.column = t.Position.Column
		s.items[s.column]++
	case token.MappingValueType:
		s.countKey(t)
	}
}

// closeCollections drops the counts of the block mappings and lists that end because a line starts at the given column.
func (s *nestingTracker) closeCollections(column int) {
	ended := func(at, _ int) bool { return at > column }
	maps.DeleteFunc(s.keys, ended)
	maps.DeleteFunc(s.items, ended)
}

// countKey counts the key before a ":" token unless it is in a flow mapping.
func (s *nestingTracker) countKey(t *token.Token) {
	if t.Prev == nil || s.depth > 0 {
		return
	}
	s.column = t.Prev.Position.Column
	s.keys[s.column]++
}
