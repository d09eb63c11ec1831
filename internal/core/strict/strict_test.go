package strict_test

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"teaselloft/internal/core/strict"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

type inner struct {
	Depth int `json:"depth"`
}

type document struct {
	inner
	Name  string          `json:"name"`
	Size  uint8           `json:"size"`
	On    bool            `json:"on"`
	Ratio float64         `json:"ratio"`
	List  []inner         `json:"list"`
	Table map[string]int  `json:"table"`
	Any   json.RawMessage `json:"any"`
	Maybe *inner          `json:"maybe"`
	At    time.Time       `json:"at"`
}

func faults(err error) []string {
	var lines []string
	for _, f := range strict.FaultsOf(err) {
		lines = append(lines, f.String())
	}
	return lines
}

// Guards against faults that encoding/json accepts or reports only one at a time, and against wrong positions.
func TestDecodeListsEveryFault(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name, text string
		want       []string
	}{
		{"unknown field", "{\n  \"nam\": 1}", []string{`f:2:3: field "nam": unknown field`}},
		{"case of a field", `{"Name":"a"}`, []string{`f:1:2: field "Name": unknown field, "name" is meant`}},
		{"duplicate key", "{\"name\":\"a\",\n\"name\":\"b\"}", []string{`f:2:1: field "name": duplicate key, first used on line 1`}},
		{"duplicate key in raw", `{"any":{"x":1,"x":2}}`, []string{`f:1:15: field "any.x": duplicate key, first used on line 1`}},
		{"trailing data", "{}\n x", []string{`f:2:2: trailing data after the document`}},
		{"second document", "{} {}", []string{`f:1:4: trailing data after the document`}},
		{"no document", " ", []string{`f:1:2: unexpected end of the document`}},
		{"unfinished", `{"name":`, []string{`f:1:9: unexpected end of the document`}},
		{"invalid UTF-8", "{\"name\":\"a\xff\"}", []string{`f:1:11: invalid UTF-8`}},
		{"negative", `{"size":-1}`, []string{`f:1:9: field "size": must not be negative`}},
		{"out of range", `{"size":256}`, []string{`f:1:9: field "size": 256 is not a whole number in range`}},
		{"fraction", `{"depth":1.5}`, []string{`f:1:10: field "depth": 1.5 is not a whole number in range`}},
		{"null", `{"name":null}`, []string{`f:1:9: field "name": must be a string, not null`}},
		{"time", `{"at":"noon"}`, []string{`f:1:7: field "at": parsing time "noon" as "2006-01-02T15:04:05Z07:00": cannot parse "noon" as "2006"`}},
		{"not an object", `[]`, []string{`f:1:1: must be an object, not an array`}},
		{"several", `{"name":1,"on":"x","list":[{},{"depth":"1"}],"table":{"a":true},"ratio":{}}`, []string{
			`f:1:9: field "name": must be a string, not a number`,
			`f:1:16: field "on": must be true or false, not a string`,
			`f:1:40: field "list[1].depth": must be a number, not a string`,
			`f:1:59: field "table.a": must be a number, not a boolean`,
			`f:1:73: field "ratio": must be a number, not an object`,
		}},
	} {
		var d document
		err := strict.Decode("f", []byte(test.text), &d)
		c.Check(err, qt.ErrorIs, strict.ErrInvalid, qt.Commentf(test.name))
		c.Check(faults(err), qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
}

// Guards against deeply nested documents that exhaust the stack.
func TestDecodeBoundsNesting(t *testing.T) {
	c := qt.New(t)
	var any json.RawMessage
	err := strict.Decode("f", []byte(strings.Repeat("[", 100_000)), &any)
	c.Assert(faults(err), qt.HasLen, 1)
	c.Assert(err, qt.ErrorMatches, `f:1:\d+: nested deeper than 64 levels`)
}

// Guards against defaults that are lost when a field is absent.
func TestDecodeKeepsDefaults(t *testing.T) {
	c := qt.New(t)
	d := document{Name: "default", Size: 3}
	c.Assert(strict.Decode("f", []byte(`{"size":4,"maybe":null,"any":[1]}`), &d), qt.IsNil)
	c.Assert(d.Name, qt.Equals, "default")
	c.Assert(d.Size, qt.Equals, uint8(4))
}

// Guards against values that change in a round trip through Parse and Encode.
func TestEncodeReturnsWhatWasParsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := generate(t, 3)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		root, faults := strict.Parse("f", text)
		if err := faults.Err(); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		var got any
		if err := json.Unmarshal(root.Encode(), &got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, value) {
			t.Fatalf("%s became %s", text, root.Encode())
		}
	})
}

func generate(t *rapid.T, depth int) any {
	kinds := 4
	if depth > 0 {
		kinds = 6
	}
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case 0:
		return nil
	case 1:
		return rapid.Bool().Draw(t, "bool")
	case 2:
		return rapid.Float64Range(-1e9, 1e9).Draw(t, "number")
	case 3:
		return rapid.String().Draw(t, "string")
	case 4:
		list := []any{}
		for range rapid.IntRange(0, 3).Draw(t, "items") {
			list = append(list, generate(t, depth-1))
		}
		return list
	default:
		object := map[string]any{}
		for range rapid.IntRange(0, 3).Draw(t, "members") {
			object[rapid.String().Draw(t, "key")] = generate(t, depth-1)
		}
		return object
	}
}
