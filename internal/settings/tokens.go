package settings

import (
	"maps"

	"github.com/goccy/go-yaml/token"
)

const (
	// maxDepth bounds nested collections, since the parser recurses; the schema nests 5 deep.
	maxDepth = 32
	// maxKeys bounds the keys of one mapping. The time of goccy/go-yaml 1.19.2 grows with their square: 80,000 keys took
	// 12 s. The largest message of the schema has 15 fields.
	maxKeys = 1000
	// maxItems bounds the items of one list, for the same reason: 80,000 empty items took 5.7 s, 20,000 took 0.2 s.
	maxItems = 20_000
)

// refusedTokens are YAML features that would make a value differ from what its line shows.
var refusedTokens = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.MergeKeyType:   "a merge key",
	token.TagType:        "a tag",
	token.DirectiveType:  "a directive",
	token.MappingKeyType: `an explicit key ("?")`,
}

// checkTokens refuses files that would cost the parser too much stack or time.
func checkTokens(r *report, tokens token.Tokens) bool {
	s := shape{keys: map[int]int{}, items: map[int]int{}}
	for _, t := range tokens {
		if name, refused := refusedTokens[t.Type]; refused {
			r.add(t.Position.Line, "write the value out in place", "%s (%q) is not supported", name, clip(t.Value))
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

// shape follows the nesting of a file.
type shape struct {
	depth         int         // open brackets and braces
	line          int         // of the last token
	entriesOnLine int         // "- - -" nests without brackets
	keys          map[int]int // keys of the open block mappings, by column
	items         map[int]int // items of the open block lists, by column
	column        int         // of the last key or item
}

func (s *shape) add(t *token.Token) {
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
		s.key(t)
	}
}

// closeCollections forgets the mappings and lists that a line starting at the column ends.
func (s *shape) closeCollections(column int) {
	ended := func(at, _ int) bool { return at > column }
	maps.DeleteFunc(s.keys, ended)
	maps.DeleteFunc(s.items, ended)
}

func (s *shape) key(t *token.Token) {
	if t.Prev == nil || s.depth > 0 {
		return
	}
	s.column = t.Prev.Position.Column
	s.keys[s.column]++
}
