// Package settings reads YAML files strictly against a protobuf schema.
// Every error names file, line and remedy.
package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxFileBytes bounds a settings file or release note.
const maxFileBytes = 4 << 20

// Decode reads YAML into the message. Keys are the camelCase names of the JSON mapping. Unknown keys, duplicate
// keys, values of the wrong type, empty values, anchors, aliases and tags are refused. A duration is a string such as
// "500ms". An error is of type Problems.
func Decode(file string, data []byte, into proto.Message) error {
	r := newReport(file)
	decode(r, data, into)
	return r.err()
}

func decode(r *report, data []byte, into proto.Message) {
	if len(data) > maxFileBytes {
		r.add(0, "shorten the file", "the file has %d bytes, more than the limit of %d", len(data), maxFileBytes)
		return
	}
	body := parse(r, data)
	if body == nil {
		return
	}
	w := walker{r}
	w.message("", body, into.ProtoReflect())
}

// parse returns the root node, or nil after reporting a problem.
func parse(r *report, data []byte) ast.Node {
	tokens := lexer.Tokenize(string(data))
	if !checkTokens(r, tokens) {
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		reportSyntax(r, err)
		return nil
	}
	return soleBody(r, file)
}

func soleBody(r *report, file *ast.File) ast.Node {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		r.add(0, "write at least one key", "the file is empty")
		return nil
	case 1:
		return bodies[0]
	}
	r.add(lineOf(bodies[1]), "put each document into its own file", "the file holds %d documents instead of one", len(bodies))
	return nil
}

func reportSyntax(r *report, err error) {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		r.add(located.GetToken().Position.Line, "correct the YAML syntax", "%s", located.GetMessage())
		return
	}
	r.add(0, "correct the YAML syntax", "%v", err)
}

// walker fills messages from nodes.
type walker struct{ *report }

func (w walker) message(path string, node ast.Node, m protoreflect.Message) {
	if isDuration(m.Descriptor()) {
		w.duration(path, node, m)
		return
	}
	if strings.HasPrefix(string(m.Descriptor().FullName()), "google.protobuf.") {
		w.add(lineOf(node), "remove the key", "%s: values of type %s are not supported", path, m.Descriptor().FullName())
		return
	}
	values, ok := mappingValues(node)
	if !ok {
		w.wrongType(path, node, "a mapping with the keys "+keyNames(m.Descriptor()))
		return
	}
	seen := map[string]int{}
	for _, value := range values {
		if w.full() {
			return
		}
		w.entry(path, value, m, seen)
	}
}

func (w walker) entry(path string, value *ast.MappingValueNode, m protoreflect.Message, seen map[string]int) {
	key, line := keyOf(value), lineOf(value.Key)
	if w.duplicate(path, key, line, seen) {
		return
	}
	field := m.Descriptor().Fields().ByJSONName(key)
	if field == nil {
		w.add(line, suggestion(key, m.Descriptor()), "unknown key %q in %s", clip(key), placeName(path))
		return
	}
	if oneof := field.ContainingOneof(); oneof != nil && m.WhichOneof(oneof) != nil {
		w.add(line, "keep one of the two", "%q and %q exclude each other", m.WhichOneof(oneof).JSONName(), key)
		return
	}
	fieldPath := join(path, key)
	w.lines[fieldPath] = line
	w.field(fieldPath, value.Value, field, m)
}

func (w walker) duplicate(path, key string, line int, seen map[string]int) bool {
	first, duplicate := seen[key]
	if duplicate {
		w.add(line, "remove one of the two", "key %q in %s is already set on line %d", clip(key), placeName(path), first)
	}
	seen[key] = line
	return duplicate
}

func (w walker) field(path string, node ast.Node, field protoreflect.FieldDescriptor, m protoreflect.Message) {
	if node == nil || node.Type() == ast.NullType {
		w.at(path, "give it a value or remove the key", "%s has no value", path)
		return
	}
	switch {
	case field.IsList():
		w.list(path, node, field, m.Mutable(field).List())
	case field.IsMap():
		w.mapField(path, node, field, m.Mutable(field).Map())
	case field.Message() != nil:
		w.message(path, node, m.Mutable(field).Message())
	default:
		if value, ok := w.scalar(path, node, field); ok {
			m.Set(field, value)
		}
	}
}

func (w walker) list(path string, node ast.Node, field protoreflect.FieldDescriptor, list protoreflect.List) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		w.wrongType(path, node, "a list")
		return
	}
	for i, item := range sequence.Values {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if item == nil || item.Type() == ast.NullType {
			w.add(lineOf(node), "remove the empty item", "%s has no value", itemPath)
			continue
		}
		w.lines[itemPath] = lineOf(item)
		if field.Message() != nil {
			w.message(itemPath, item, list.AppendMutable().Message())
		} else if value, ok := w.scalar(itemPath, item, field); ok {
			list.Append(value)
		}
	}
}

func (w walker) mapField(path string, node ast.Node, field protoreflect.FieldDescriptor, m protoreflect.Map) {
	values, ok := mappingValues(node)
	if !ok || field.MapKey().Kind() != protoreflect.StringKind {
		w.wrongType(path, node, "a mapping")
		return
	}
	seen := map[string]int{}
	for _, entry := range values {
		key := keyOf(entry)
		entryPath := join(path, key)
		if w.duplicate(path, key, lineOf(entry.Key), seen) {
			continue
		}
		w.lines[entryPath] = lineOf(entry.Key)
		mapKey := protoreflect.ValueOfString(key).MapKey()
		if field.MapValue().Message() != nil {
			w.message(entryPath, entry.Value, m.Mutable(mapKey).Message())
		} else if value, ok := w.scalar(entryPath, entry.Value, field.MapValue()); ok {
			m.Set(mapKey, value)
		}
	}
}

func (w walker) wrongType(path string, node ast.Node, want string) {
	w.add(lineOf(node), "write "+want, "%s must be %s, not %s", placeName(path), want, describe(node))
}

func mappingValues(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func keyOf(value *ast.MappingValueNode) string {
	if s, ok := value.Key.(*ast.StringNode); ok {
		return s.Value
	}
	return value.Key.GetToken().Value
}

func keyNames(d protoreflect.MessageDescriptor) string {
	names := make([]string, d.Fields().Len())
	for i := range names {
		names[i] = d.Fields().Get(i).JSONName()
	}
	return strings.Join(names, ", ")
}

// suggestion names the known key that differs from key only in case and separators, or else all known keys.
func suggestion(key string, d protoreflect.MessageDescriptor) string {
	plain := func(s string) string {
		return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(s))
	}
	names := strings.Split(keyNames(d), ", ")
	i := slices.IndexFunc(names, func(name string) bool { return plain(name) == plain(key) })
	if i >= 0 {
		return fmt.Sprintf("write %q", names[i])
	}
	return "known keys: " + keyNames(d)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func placeName(path string) string {
	if path == "" {
		return "the top level"
	}
	return path
}

func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
