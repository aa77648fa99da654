package tpconfig

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// File is the content of a YAML file. Name is the file's name in faults.
type File struct {
	Name string
	Data []byte
}

// node is one YAML value with its position. Its kind determines which one of
// scalar, fields and items is used; a null value uses none.
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

// get returns the value of the field with the given name, or nil if there is
// none.
func (n *node) get(name string) *node {
	for _, f := range n.fields {
		if f.name == name {
			return f.value
		}
	}
	return nil
}

// key returns the value of the field name or path, which identifies an entry of
// a list. It returns "" if n has neither as plain text.
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

// treeBuilder converts the syntax tree of the YAML library to nodes.
type treeBuilder struct {
	file   string
	faults Faults
}

// parse parses a file into a tree. It returns a null node for an empty file.
func parse(f File) (root *node, faults Faults) {
	b := &treeBuilder{file: f.Name}
	root = &node{pos: Position{File: f.Name, Line: 1, Column: 1}}
	// The parser of go-yaml panics on some malformed input.
	defer func() {
		if p := recover(); p != nil {
			faults = append(b.faults, Fault{Position: root.pos, Message: fmt.Sprintf("malformed YAML: %v", p)})
		}
	}()
	parsed, err := parser.ParseBytes(f.Data, 0)
	if err != nil {
		return root, Faults{b.syntaxFault(err)}
	}
	docs := parsed.Docs
	for i, doc := range docs {
		if i > 0 && doc.Body != nil {
			b.addFault(doc.Body, "a configuration is one YAML document")
		}
	}
	if len(docs) > 0 && docs[0].Body != nil {
		root = b.node(docs[0].Body)
	}
	return root, b.faults
}

// syntaxFault converts an error of the parser to a fault.
func (b *treeBuilder) syntaxFault(err error) Fault {
	pos := Position{File: b.file, Line: 1, Column: 1}
	var y yaml.Error
	if !errors.As(err, &y) {
		return Fault{Position: pos, Message: err.Error()}
	}
	return Fault{Position: b.position(y.GetToken()), Message: y.GetMessage()}
}

func (b *treeBuilder) position(t *token.Token) Position {
	p := Position{File: b.file, Line: 1, Column: 1}
	if t != nil && t.Position != nil {
		p.Line, p.Column = max(1, t.Position.Line), max(1, t.Position.Column)
	}
	return p
}

func (b *treeBuilder) addFault(at ast.Node, format string, args ...any) {
	b.faults = append(b.faults, Fault{Position: b.position(at.GetToken()), Message: fmt.Sprintf(format, args...)})
}

func (b *treeBuilder) node(n ast.Node) *node {
	v := &node{pos: b.position(n.GetToken())}
	switch n := n.(type) {
	case *ast.NullNode:
		v.kind = kindNull
	case *ast.MappingNode:
		v.kind = kindMapping
		b.addFields(v, n.Values)
		if n.IsFlowStyle {
			v.pos = b.position(n.GetToken())
		}
	case *ast.MappingValueNode:
		v.kind = kindMapping
		b.addFields(v, []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		v.kind = kindList
		for _, item := range n.Values {
			v.items = append(v.items, b.node(item))
		}
		b.checkDuplicates(v.items)
	case *ast.StringNode, *ast.LiteralNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		v.kind = kindScalar
		v.scalar = n
	default:
		b.addFault(n, "anchors, aliases, tags and merge keys are not supported")
	}
	return v
}

func (b *treeBuilder) addFields(v *node, values []*ast.MappingValueNode) {
	for i, entry := range values {
		pos := b.position(entry.Key.GetToken())
		if i == 0 {
			v.pos = pos
		}
		name, ok := entry.Key.(*ast.StringNode)
		if !ok {
			b.addFault(entry.Key, "a field's name is plain text")
			continue
		}
		if v.get(name.Value) != nil {
			b.addFault(entry.Key, "field %q is given twice", name.Value)
			continue
		}
		v.fields = append(v.fields, field{name: name.Value, pos: pos, value: b.node(entry.Value)})
	}
}

// checkDuplicates records a fault for each entry of a list that has the key of
// an earlier entry. Such entries would also make an overlay ambiguous.
func (b *treeBuilder) checkDuplicates(items []*node) {
	seen := make(map[string]Position)
	for _, item := range items {
		key := item.key()
		if key == "" {
			continue
		}
		if first, ok := seen[key]; ok {
			b.faults = append(b.faults, Fault{Position: item.pos, Message: fmt.Sprintf("%q is already defined in line %d", key, first.Line)})
			continue
		}
		seen[key] = item.pos
	}
}
