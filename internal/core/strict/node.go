package strict

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Node is a JSON value with its position; the zero Node means that there is no value.
type Node struct {
	At    Position
	Value Value
}

// Value is one kind of JSON value.
//
//sumtype:decl
type Value interface{ value() }

// Object holds the members of an object in document order.
type Object struct{ Members []Member }

// Array holds the items of an array.
type Array struct{ Items []Node }

// String is an unquoted and unescaped string.
type String struct{ Text string }

// Number is the literal text of a number.
type Number struct{ Text string }

// Bool is true or false.
type Bool struct{ True bool }

// Null is null.
type Null struct{}

// Member is a key and its value in an object.
type Member struct {
	Name  string
	At    Position // of the name
	Value Node
}

func (Object) value() {}
func (Array) value()  {}
func (String) value() {}
func (Number) value() {}
func (Bool) value()   {}
func (Null) value()   {}

// Kind returns the name of the node's kind for messages, such as "an object".
func (n Node) Kind() string {
	switch n.Value.(type) {
	case nil:
		return "nothing"
	case Object:
		return "an object"
	case Array:
		return "an array"
	case String:
		return "a string"
	case Number:
		return "a number"
	case Bool:
		return "a boolean"
	case Null:
		return "null"
	default:
		panic(fmt.Sprintf("unhandled JSON value %T", n.Value))
	}
}

// Field returns the value of an object's member, or the zero Node when there is none.
func (n Node) Field(name string) Node {
	object, _ := n.Value.(Object)
	for _, m := range object.Members {
		if m.Name == name {
			return m.Value
		}
	}
	return Node{}
}

// Items returns the items of an array, or nil for other kinds.
func (n Node) Items() []Node {
	array, _ := n.Value.(Array)
	return array.Items
}

// Text returns the text of a string, or "" for other kinds.
func (n Node) Text() string {
	s, _ := n.Value.(String)
	return s.Text
}

// Exists reports whether there is a value.
func (n Node) Exists() bool {
	return n.Value != nil
}

// WithValue returns a copy of the node with the given value.
func (n Node) WithValue(v Value) Node {
	n.Value = v
	return n
}

// Encode returns the node as JSON text.
func (n Node) Encode() []byte {
	var b bytes.Buffer
	n.write(&b)
	return b.Bytes()
}

func (n Node) write(b *bytes.Buffer) {
	switch v := n.Value.(type) {
	case nil, Null:
		b.WriteString("null")
	case Object:
		writeList(b, '{', '}', v.Members, func(m Member) {
			writeString(b, m.Name)
			b.WriteByte(':')
			m.Value.write(b)
		})
	case Array:
		writeList(b, '[', ']', v.Items, func(item Node) { item.write(b) })
	case String:
		writeString(b, v.Text)
	case Number:
		b.WriteString(v.Text)
	case Bool:
		fmt.Fprintf(b, "%t", v.True)
	default:
		panic(fmt.Sprintf("unhandled JSON value %T", v))
	}
}

func writeList[T any](b *bytes.Buffer, first, last byte, list []T, write func(T)) {
	b.WriteByte(first)
	for i, v := range list {
		if i > 0 {
			b.WriteByte(',')
		}
		write(v)
	}
	b.WriteByte(last)
}

func writeString(b *bytes.Buffer, s string) {
	text, err := json.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("a string cannot fail to encode: %v", err))
	}
	b.Write(text)
}
