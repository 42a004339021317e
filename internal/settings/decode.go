// Package settings decodes YAML files strictly against a protobuf schema, and loads and validates the settings of entry
// VMs, intake VMs and control VMs. Each problem found in a file is reported with its line and a remedy.
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

// maxFileBytes is the maximum size of a settings file or release note.
const maxFileBytes = 4 << 20

// Decode decodes YAML data into the message. Keys are the camelCase field names of the protobuf JSON mapping. Unknown
// keys, duplicate keys, values of the wrong type, empty values, anchors, aliases and tags are rejected. A duration is a
// string such as "500ms". The file name is used only in errors. A non-nil error has the type Problems.
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
	d := decoder{r}
	d.message("", body, into.ProtoReflect())
}

// parse returns the root node of the only document in data. If there is none, it reports a problem and returns nil.
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
	return singleDocument(r, file)
}

// singleDocument returns the body of the only document that is not empty, or nil after reporting a problem.
func singleDocument(r *report, file *ast.File) ast.Node {
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

// decoder sets the fields of protobuf messages from YAML nodes. Paths such as "entryVms[0].id" locate a value in errors.
type decoder struct{ *report }

func (d decoder) message(path string, node ast.Node, m protoreflect.Message) {
	if isDuration(m.Descriptor()) {
		d.duration(path, node, m)
		return
	}
	if strings.HasPrefix(string(m.Descriptor().FullName()), "google.protobuf.") {
		d.add(lineOf(node), "remove the key", "%s: values of type %s are not supported", path, m.Descriptor().FullName())
		return
	}
	values, ok := mappingValues(node)
	if !ok {
		d.addTypeMismatch(path, node, "a mapping with the keys "+keyNames(m.Descriptor()))
		return
	}
	seen := map[string]int{}
	for _, value := range values {
		if d.isFull() {
			return
		}
		d.entry(path, value, m, seen)
	}
}

// entry decodes one key of a mapping. seen holds the lines of the keys decoded so far.
func (d decoder) entry(path string, value *ast.MappingValueNode, m protoreflect.Message, seen map[string]int) {
	key, line := keyOf(value), lineOf(value.Key)
	if d.reportDuplicate(path, key, line, seen) {
		return
	}
	field := m.Descriptor().Fields().ByJSONName(key)
	if field == nil {
		d.add(line, suggestion(key, m.Descriptor()), "unknown key %q in %s", truncate(key), displayPath(path))
		return
	}
	if oneof := field.ContainingOneof(); oneof != nil && m.WhichOneof(oneof) != nil {
		d.add(line, "keep one of the two", "%q and %q are mutually exclusive", m.WhichOneof(oneof).JSONName(), key)
		return
	}
	fieldPath := joinPath(path, key)
	d.lines[fieldPath] = line
	d.field(fieldPath, value.Value, field, m)
}

// reportDuplicate reports whether the key was already set, and adds a problem if so.
func (d decoder) reportDuplicate(path, key string, line int, seen map[string]int) bool {
	first, duplicate := seen[key]
	if duplicate {
		d.add(line, "remove one of the two", "key %q in %s is already set on line %d", truncate(key), displayPath(path), first)
	}
	seen[key] = line
	return duplicate
}

func (d decoder) field(path string, node ast.Node, field protoreflect.FieldDescriptor, m protoreflect.Message) {
	if node == nil || node.Type() == ast.NullType {
		d.addAt(path, "give it a value or remove the key", "%s has no value", path)
		return
	}
	switch {
	case field.IsList():
		d.list(path, node, field, m.Mutable(field).List())
	case field.IsMap():
		d.mapField(path, node, field, m.Mutable(field).Map())
	case field.Message() != nil:
		d.message(path, node, m.Mutable(field).Message())
	default:
		if value, ok := d.scalar(path, node, field); ok {
			m.Set(field, value)
		}
	}
}

func (d decoder) list(path string, node ast.Node, field protoreflect.FieldDescriptor, list protoreflect.List) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addTypeMismatch(path, node, "a list")
		return
	}
	for i, item := range sequence.Values {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if item == nil || item.Type() == ast.NullType {
			d.add(lineOf(node), "remove the empty item", "%s has no value", itemPath)
			continue
		}
		d.lines[itemPath] = lineOf(item)
		if field.Message() != nil {
			d.message(itemPath, item, list.AppendMutable().Message())
		} else if value, ok := d.scalar(itemPath, item, field); ok {
			list.Append(value)
		}
	}
}

func (d decoder) mapField(path string, node ast.Node, field protoreflect.FieldDescriptor, m protoreflect.Map) {
	values, ok := mappingValues(node)
	if !ok || field.MapKey().Kind() != protoreflect.StringKind {
		d.addTypeMismatch(path, node, "a mapping")
		return
	}
	seen := map[string]int{}
	for _, entry := range values {
		key := keyOf(entry)
		entryPath := joinPath(path, key)
		if d.reportDuplicate(path, key, lineOf(entry.Key), seen) {
			continue
		}
		d.lines[entryPath] = lineOf(entry.Key)
		mapKey := protoreflect.ValueOfString(key).MapKey()
		if field.MapValue().Message() != nil {
			d.message(entryPath, entry.Value, m.Mutable(mapKey).Message())
		} else if value, ok := d.scalar(entryPath, entry.Value, field.MapValue()); ok {
			m.Set(mapKey, value)
		}
	}
}

func (d decoder) addTypeMismatch(path string, node ast.Node, want string) {
	d.add(lineOf(node), "write "+want, "%s must be %s, not %s", displayPath(path), want, describeNode(node))
}

// mappingValues returns the entries of a mapping, or false if the node is not a mapping.
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

// keyNames returns the keys of a message, separated by commas.
func keyNames(d protoreflect.MessageDescriptor) string {
	names := make([]string, d.Fields().Len())
	for i := range names {
		names[i] = d.Fields().Get(i).JSONName()
	}
	return strings.Join(names, ", ")
}

// suggestion returns a remedy for an unknown key: the known key that differs from it only in case and separators, or else
// the list of known keys.
func suggestion(key string, d protoreflect.MessageDescriptor) string {
	normalize := func(s string) string {
		return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(s))
	}
	names := strings.Split(keyNames(d), ", ")
	i := slices.IndexFunc(names, func(name string) bool { return normalize(name) == normalize(key) })
	if i >= 0 {
		return fmt.Sprintf("write %q", names[i])
	}
	return "known keys: " + keyNames(d)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// displayPath returns the path as it appears in messages.
func displayPath(path string) string {
	if path == "" {
		return "the top level"
	}
	return path
}

// lineOf returns the line of a node, or 0 if it is unknown.
func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
