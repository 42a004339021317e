package settings

import (
	"encoding/base64"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// decimalPattern matches plain decimal integers. It excludes YAML's octal, hexadecimal and underscored integers, since 010
// would be read as 8.
var decimalPattern = regexp.MustCompile(`^-?(0|[1-9][0-9]*)$`)

func (d decoder) scalar(path string, node ast.Node, field protoreflect.FieldDescriptor) (protoreflect.Value, bool) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return d.stringValue(path, node)
	case protoreflect.BoolKind:
		return d.boolValue(path, node)
	case protoreflect.EnumKind:
		return d.enumValue(path, node, field.Enum())
	case protoreflect.BytesKind:
		return d.bytesValue(path, node)
	case protoreflect.FloatKind, protoreflect.DoubleKind:
		return d.floatValue(path, node, field.Kind())
	default:
		return d.integerValue(path, node, field.Kind())
	}
}

func stringOf(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func (d decoder) stringValue(path string, node ast.Node) (protoreflect.Value, bool) {
	value, ok := stringOf(node)
	if !ok {
		d.addTypeMismatch(path, node, "a string (in quotes if it looks like a number or a boolean)")
		return protoreflect.Value{}, false
	}
	if !utf8.ValidString(value) {
		d.add(lineOf(node), "store the file as UTF-8", "%s is not valid UTF-8", path)
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfString(value), true
}

func (d decoder) boolValue(path string, node ast.Node) (protoreflect.Value, bool) {
	b, ok := node.(*ast.BoolNode)
	if !ok {
		d.addTypeMismatch(path, node, "true or false")
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfBool(b.Value), true
}

func (d decoder) enumValue(path string, node ast.Node, enum protoreflect.EnumDescriptor) (protoreflect.Value, bool) {
	name, ok := stringOf(node)
	if value := enum.Values().ByName(protoreflect.Name(name)); ok && value != nil {
		return protoreflect.ValueOfEnum(value.Number()), true
	}
	names := make([]string, enum.Values().Len())
	for i := range names {
		names[i] = string(enum.Values().Get(i).Name())
	}
	d.addTypeMismatch(path, node, "one of "+strings.Join(names, ", "))
	return protoreflect.Value{}, false
}

func (d decoder) bytesValue(path string, node ast.Node) (protoreflect.Value, bool) {
	text, ok := stringOf(node)
	decoded, err := base64.StdEncoding.DecodeString(text)
	if !ok || err != nil {
		d.addTypeMismatch(path, node, "a string in base64")
		return protoreflect.Value{}, false
	}
	return protoreflect.ValueOfBytes(decoded), true
}

func (d decoder) floatValue(path string, node ast.Node, kind protoreflect.Kind) (protoreflect.Value, bool) {
	_, isInteger := node.(*ast.IntegerNode)
	_, isFloat := node.(*ast.FloatNode)
	if !isInteger && !isFloat {
		d.addTypeMismatch(path, node, "a number")
		return protoreflect.Value{}, false
	}
	bits := 64
	if kind == protoreflect.FloatKind {
		bits = 32
	}
	value, err := strconv.ParseFloat(node.GetToken().Value, bits)
	if err != nil || math.IsInf(value, 0) || math.IsNaN(value) {
		d.addTypeMismatch(path, node, "a finite number")
		return protoreflect.Value{}, false
	}
	if bits == 32 {
		return protoreflect.ValueOfFloat32(float32(value)), true
	}
	return protoreflect.ValueOfFloat64(value), true
}

func (d decoder) integerValue(path string, node ast.Node, kind protoreflect.Kind) (protoreflect.Value, bool) {
	_, isInteger := node.(*ast.IntegerNode)
	if !isInteger || !decimalPattern.MatchString(node.GetToken().Value) {
		d.addTypeMismatch(path, node, "a whole number in decimal digits")
		return protoreflect.Value{}, false
	}
	value, err := parseInteger(node.GetToken().Value, kind)
	if err != nil {
		d.add(lineOf(node), "write a number in the range of "+kind.String(), "%s: %s is out of range", path, truncate(node.GetToken().Value))
		return protoreflect.Value{}, false
	}
	return value, true
}

func parseInteger(text string, kind protoreflect.Kind) (protoreflect.Value, error) {
	switch kind {
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		value, err := strconv.ParseInt(text, 10, 32)
		return protoreflect.ValueOfInt32(int32(value)), err
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		value, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(value)), err
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		value, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(value), err
	default:
		value, err := strconv.ParseInt(text, 10, 64)
		return protoreflect.ValueOfInt64(value), err
	}
}

func isDuration(d protoreflect.MessageDescriptor) bool {
	return d.FullName() == (&durationpb.Duration{}).ProtoReflect().Descriptor().FullName()
}

func (d decoder) duration(path string, node ast.Node, m protoreflect.Message) {
	const remedy = `write a number with the unit ns, us, ms, s, m or h, such as "500ms"`
	text, ok := stringOf(node)
	if !ok {
		d.add(lineOf(node), remedy, "%s must be a duration, not %s", path, describeNode(node))
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.add(lineOf(node), remedy, "%s: %q is not a duration", path, truncate(text))
		return
	}
	proto.Merge(m.Interface(), durationpb.New(value))
}

// describeNode returns the type and text of a node for use in a message.
func describeNode(node ast.Node) string {
	switch n := node.(type) {
	case nil, *ast.NullNode:
		return "empty"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "the number " + truncate(n.GetToken().Value)
	case *ast.BoolNode:
		return "the boolean " + n.GetToken().Value
	}
	text, _ := stringOf(node)
	return strconv.Quote(truncate(text))
}

// truncate shortens text from a file for use in a message.
func truncate(s string) string {
	const maxBytes = 60
	if len(s) <= maxBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxBytes], "") + "..."
}
