package strict

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"unicode/utf8"
)

// maxDepth bounds nesting, so that a malicious document cannot exhaust the stack.
const maxDepth = 64

// errNesting is the fault of a document that is nested deeper than maxDepth.
var errNesting = fmt.Errorf("nested deeper than %d levels", maxDepth)

// Parse parses a document into nodes; its faults are syntax errors, too deep nesting, invalid UTF-8, duplicate keys and
// trailing data.
//
// After a syntax error or too deep nesting it returns the zero Node. A duplicate key keeps its first value.
func Parse(file string, data []byte) (Node, Faults) {
	p := &parser{file: file, data: data, lines: lineStarts(data), decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	p.checkEncoding()
	root, err := p.parseValue("", 0)
	if err != nil {
		p.addSyntaxError(err)
		return Node{}, p.faults
	}
	if rest := p.skipSpace(p.decoder.InputOffset()); rest < int64(len(data)) {
		p.addFault(rest, "", "trailing data after the document")
	}
	return root, p.faults
}

type parser struct {
	file    string
	data    []byte
	lines   []int64 // offset of the start of each line
	decoder *json.Decoder
	faults  Faults
}

func lineStarts(data []byte) []int64 {
	starts := []int64{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, int64(i+1))
		}
	}
	return starts
}

func (p *parser) position(offset int64) Position {
	line := sort.Search(len(p.lines), func(i int) bool { return p.lines[i] > offset })
	return Position{File: p.file, Line: line, Column: int(offset-p.lines[line-1]) + 1}
}

func (p *parser) addFault(offset int64, field, message string) {
	p.faults = append(p.faults, Fault{At: p.position(offset), Field: field, Message: message})
}

// checkEncoding adds a fault for the first invalid UTF-8 byte of each line.
func (p *parser) checkEncoding() {
	for i, start := range p.lines {
		end := int64(len(p.data))
		if i+1 < len(p.lines) {
			end = p.lines[i+1]
		}
		if at := invalidByte(p.data[start:end]); at >= 0 {
			p.addFault(start+int64(at), "", "invalid UTF-8")
		}
	}
}

// invalidByte returns the index of the first byte that is not valid UTF-8, or -1.
func invalidByte(text []byte) int {
	for i := 0; i < len(text); {
		r, size := utf8.DecodeRune(text[i:])
		if r == utf8.RuneError && size <= 1 {
			return i
		}
		i += size
	}
	return -1
}

// skipSpace returns the offset of the next byte that is not white space.
func (p *parser) skipSpace(offset int64) int64 {
	for offset < int64(len(p.data)) && bytes.IndexByte([]byte(" \t\r\n"), p.data[offset]) >= 0 {
		offset++
	}
	return offset
}

// skipSeparators returns the offset of the next byte that is neither white space nor a token separator.
func (p *parser) skipSeparators(offset int64) int64 {
	for offset < int64(len(p.data)) && bytes.IndexByte([]byte(" \t\r\n,:"), p.data[offset]) >= 0 {
		offset++
	}
	return offset
}

// nextToken returns the next token and its start offset.
func (p *parser) nextToken() (json.Token, int64, error) {
	start := p.skipSeparators(p.decoder.InputOffset())
	token, err := p.decoder.Token()
	return token, start, err
}

func (p *parser) parseValue(field string, depth int) (Node, error) {
	token, start, err := p.nextToken()
	if err != nil {
		return Node{}, err
	}
	node := Node{At: p.position(start)}
	switch t := token.(type) {
	case json.Delim:
		if depth >= maxDepth {
			return node, errNesting
		}
		if t == '{' {
			node.Value, err = p.parseObject(field, depth+1)
		} else {
			node.Value, err = p.parseArray(field, depth+1)
		}
	case string:
		node.Value = String{Text: t}
	case json.Number:
		node.Value = Number{Text: t.String()}
	case bool:
		node.Value = Bool{True: t}
	case nil:
		node.Value = Null{}
	default:
		panic(fmt.Sprintf("unhandled JSON token %T", token))
	}
	return node, err
}

func (p *parser) parseObject(field string, depth int) (Object, error) {
	var object Object
	seen := map[string]Position{}
	for p.decoder.More() {
		token, start, err := p.nextToken()
		if err != nil {
			return object, err
		}
		name, ok := token.(string)
		if !ok {
			return object, errors.New("object key is not a string")
		}
		path := FieldPath(field, name)
		member := Member{Name: name, At: p.position(start)}
		first, duplicate := seen[name]
		if duplicate {
			p.addFault(start, path, fmt.Sprintf("duplicate key, first used on line %d", first.Line))
		}
		member.Value, err = p.parseValue(path, depth)
		if !duplicate {
			seen[name] = member.At
			object.Members = append(object.Members, member)
		}
		if err != nil {
			return object, err
		}
	}
	_, _, err := p.nextToken() // the closing delimiter
	return object, err
}

func (p *parser) parseArray(field string, depth int) (Array, error) {
	var array Array
	for p.decoder.More() {
		item, err := p.parseValue(IndexPath(field, len(array.Items)), depth)
		array.Items = append(array.Items, item)
		if err != nil {
			return array, err
		}
	}
	_, _, err := p.nextToken() // the closing delimiter
	return array, err
}

func (p *parser) addSyntaxError(err error) {
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &syntax):
		p.addFault(max(syntax.Offset-1, 0), "", err.Error())
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		p.addFault(int64(len(p.data)), "", "unexpected end of the document")
	default:
		p.addFault(p.decoder.InputOffset(), "", err.Error())
	}
}

// FieldPath returns the field path of a member of the object at path.
func FieldPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// IndexPath returns the field path of an item of the array at path.
func IndexPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
