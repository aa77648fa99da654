package tpconfig

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// File is the content of a YAML file with the name that faults give it.
type File struct {
	Name string
	Data []byte
}

// node is one YAML value with its position. Exactly one of scalar, fields and
// items is used, as kind tells.
type node struct {
	pos    Position
	kind   nodeKind
	scalar ast.Node
	fields []field
	items  []*node
}

type nodeKind uint8

const (
	kindNull nodeKind = iota
	kindScalar
	kindMapping
	kindList
)

// field is one entry of a mapping.
type field struct {
	name  string
	pos   Position
	value *node
}

// get returns the value of a field, or nil.
func (n *node) get(name string) *node {
	for _, f := range n.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

// key returns the name by which an entry of a list is known, or "".
func (n *node) key() string {
	for _, name := range []string{"name", "path"} {
		v := n.get(name)
		if v == nil || v.kind != kindScalar {
			continue
		}
		if s, ok := v.scalar.(*ast.StringNode); ok {
			return s.Value
		}
	}
	return ""
}

// reader turns the library's syntax tree into nodes.
type reader struct {
	file   string
	faults Faults
}

// read parses a file into a tree. The tree of an empty file is a null node.
func read(f File) (root *node, faults Faults) {
	r := &reader{file: f.Name}
	root = &node{pos: Position{File: f.Name, Line: 1, Column: 1}}
	// The parser of go-yaml panics on some malformed input.
	defer func() {
		if p := recover(); p != nil {
			faults = append(r.faults, Fault{Position: root.pos, Message: fmt.Sprintf("malformed YAML: %v", p)})
		}
	}()
	parsed, err := parser.ParseBytes(f.Data, 0)
	if err != nil {
		return root, Faults{r.syntax(err)}
	}
	docs := parsed.Docs
	for i, doc := range docs {
		if i > 0 && doc.Body != nil {
			r.fault(doc.Body, "a configuration is one YAML document")
		}
	}
	if len(docs) > 0 && docs[0].Body != nil {
		root = r.node(docs[0].Body)
	}
	return root, r.faults
}

// syntax turns an error of the parser into a fault.
func (r *reader) syntax(err error) Fault {
	pos := Position{File: r.file, Line: 1, Column: 1}
	var y yaml.Error
	if !errors.As(err, &y) {
		return Fault{Position: pos, Message: err.Error()}
	}
	return Fault{Position: r.position(y.GetToken()), Message: y.GetMessage()}
}

func (r *reader) position(t *token.Token) Position {
	p := Position{File: r.file, Line: 1, Column: 1}
	if t != nil && t.Position != nil {
		p.Line, p.Column = max(1, t.Position.Line), max(1, t.Position.Column)
	}
	return p
}

func (r *reader) fault(at ast.Node, format string, args ...any) {
	r.faults = append(r.faults, Fault{Position: r.position(at.GetToken()), Message: fmt.Sprintf(format, args...)})
}

func (r *reader) node(n ast.Node) *node {
	v := &node{pos: r.position(n.GetToken())}
	switch n := n.(type) {
	case *ast.NullNode:
		v.kind = kindNull
	case *ast.MappingNode:
		v.kind = kindMapping
		r.mapping(v, n.Values)
		if n.IsFlowStyle {
			v.pos = r.position(n.GetToken())
		}
	case *ast.MappingValueNode:
		v.kind = kindMapping
		r.mapping(v, []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		v.kind = kindList
		for _, item := range n.Values {
			v.items = append(v.items, r.node(item))
		}
		r.duplicates(v.items)
	case *ast.StringNode, *ast.LiteralNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		v.kind = kindScalar
		v.scalar = n
	default:
		r.fault(n, "anchors, aliases, tags and merge keys are not supported")
	}
	return v
}

func (r *reader) mapping(v *node, values []*ast.MappingValueNode) {
	for i, entry := range values {
		pos := r.position(entry.Key.GetToken())
		if i == 0 {
			v.pos = pos
		}
		name, ok := entry.Key.(*ast.StringNode)
		if !ok {
			r.fault(entry.Key, "a field's name is plain text")
			continue
		}
		if v.get(name.Value) != nil {
			r.fault(entry.Key, "field %q is given twice", name.Value)
			continue
		}
		v.fields = append(v.fields, field{name: name.Value, pos: pos, value: r.node(entry.Value)})
	}
}

// duplicates reports entries of a list that have the same name, which would
// also make an overlay ambiguous.
func (r *reader) duplicates(items []*node) {
	seen := make(map[string]Position)
	for _, item := range items {
		key := item.key()
		if key == "" {
			continue
		}
		if first, ok := seen[key]; ok {
			r.faults = append(r.faults, Fault{Position: item.pos, Message: fmt.Sprintf("%q is already defined in line %d", key, first.Line)})
			continue
		}
		seen[key] = item.pos
	}
}
