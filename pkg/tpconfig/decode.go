package tpconfig

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// decoder decodes a tree into plain structs. It continues after a fault, to
// report all of them, and records the position of each value.
type decoder struct {
	faults Faults
	// at maps the path of a value, such as pools[0].targets[3].zone, to its
	// position.
	at map[string]Position
	// invalid holds the paths whose value could not be decoded.
	invalid map[string]bool
}

var durationType = reflect.TypeFor[time.Duration]()

func newDecoder() *decoder {
	return &decoder{at: make(map[string]Position), invalid: make(map[string]bool)}
}

func (d *decoder) addFault(path string, pos Position, format string, args ...any) {
	d.invalid[path] = true
	d.faults = append(d.faults, Fault{Position: pos, Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) decode(path string, n *node, v reflect.Value) {
	d.at[path] = n.pos
	switch v.Kind() {
	case reflect.Struct:
		d.structure(path, n, v)
	case reflect.Slice:
		d.list(path, n, v)
	case reflect.Map:
		d.mapping(path, n, v)
	default:
		d.scalar(path, n, v)
	}
}

func (d *decoder) structure(path string, n *node, v reflect.Value) {
	if n.kind == kindNull {
		return
	}
	if n.kind != kindMapping {
		d.addFault(path, n.pos, "%s: want a mapping of fields, found %s", displayPath(path), describeValue(n))
		return
	}
	for _, f := range n.fields {
		i := fieldIndex(v.Type(), f.name)
		if i < 0 {
			d.addFault(joinPath(path, f.name), f.pos, "unknown field %q", joinPath(path, f.name))
			continue
		}
		d.decode(joinPath(path, f.name), f.value, v.Field(i))
	}
}

func (d *decoder) list(path string, n *node, v reflect.Value) {
	if n.kind == kindNull {
		return
	}
	if n.kind != kindList {
		d.addFault(path, n.pos, "%s: want a list, found %s", displayPath(path), describeValue(n))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.items), len(n.items)))
	for i, item := range n.items {
		d.decode(fmt.Sprintf("%s[%d]", path, i), item, v.Index(i))
	}
}

func (d *decoder) mapping(path string, n *node, v reflect.Value) {
	if n.kind == kindNull {
		return
	}
	if n.kind != kindMapping {
		d.addFault(path, n.pos, "%s: want a mapping, found %s", displayPath(path), describeValue(n))
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, f := range n.fields {
		value := reflect.New(v.Type().Elem()).Elem()
		d.decode(joinPath(path, f.name), f.value, value)
		v.SetMapIndex(reflect.ValueOf(f.name).Convert(v.Type().Key()), value)
	}
}

// scalar decodes a scalar value. It checks that the YAML kind matches the type
// of v; apart from durations, the YAML library converts the value.
func (d *decoder) scalar(path string, n *node, v reflect.Value) {
	wantKind, ok := scalarKind(n, v.Type())
	if !ok {
		d.addFault(path, n.pos, "%s: want %s, found %s", displayPath(path), wantKind, describeValue(n))
		return
	}
	if v.Type() == durationType {
		d.duration(path, n, v)
		return
	}
	if err := yaml.NodeToValue(n.scalar, v.Addr().Interface()); err != nil {
		d.addFault(path, n.pos, "%s: want %s, found %s", displayPath(path), wantKind, describeValue(n))
		return
	}
	if v.Kind() == reflect.Float64 && (math.IsInf(v.Float(), 0) || math.IsNaN(v.Float())) {
		v.SetFloat(0)
		d.addFault(path, n.pos, "%s: want %s, found %s", displayPath(path), wantKind, describeValue(n))
	}
}

func (d *decoder) duration(path string, n *node, v reflect.Value) {
	text := n.scalar.(*ast.StringNode).Value
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.addFault(path, n.pos, "%s: want a duration with a unit (ns, us, ms, s, m, h) such as 30s, found %q", displayPath(path), text)
		return
	}
	v.SetInt(int64(parsed))
}

// scalarKind returns the name of the value that a field of type t requires, for
// a fault's message, and reports whether n is such a value.
func scalarKind(n *node, t reflect.Type) (string, bool) {
	_, isString := n.scalar.(*ast.StringNode)
	_, isLiteral := n.scalar.(*ast.LiteralNode)
	_, isInteger := n.scalar.(*ast.IntegerNode)
	_, isFloat := n.scalar.(*ast.FloatNode)
	_, isBool := n.scalar.(*ast.BoolNode)
	switch {
	case t == durationType:
		return "a duration with a unit (ns, us, ms, s, m, h) such as 30s", isString
	case t.Kind() == reflect.String:
		return "text", isString || isLiteral
	case t.Kind() == reflect.Bool:
		return "true or false", isBool
	case t.Kind() == reflect.Float64:
		return "a number", isInteger || isFloat
	default:
		return "a whole number", isInteger
	}
}

func fieldIndex(t reflect.Type, name string) int {
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ","); tag == name && tag != "" && tag != "-" {
			return i
		}
	}
	return -1
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func displayPath(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}

// describeValue returns the name of a value for a fault's message.
func describeValue(n *node) string {
	switch n.kind {
	case kindNull:
		return "nothing"
	case kindMapping:
		return "a mapping"
	case kindList:
		return "a list"
	default:
		return fmt.Sprintf("%q", n.scalar.GetToken().Value)
	}
}
