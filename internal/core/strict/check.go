package strict

import (
	"encoding"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
)

var (
	rawType         = reflect.TypeFor[json.RawMessage]()
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	textType        = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Check returns the faults that prevent decoding n into t: unknown fields and values of the wrong type.
//
// The field is the path of n, empty for the whole document. Values for a json.RawMessage or an interface type are not
// checked, and neither is the zero Node, which Parse returns after a syntax error.
func Check(n Node, t reflect.Type, field string) Faults {
	c := checker{}
	c.check(n, t, field)
	return c.faults
}

type checker struct {
	faults Faults
}

// addFault adds a fault at the position of n.
func (c *checker) addFault(n Node, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{At: n.At, Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) check(n Node, t reflect.Type, field string) {
	switch {
	case t == rawType || t.Kind() == reflect.Interface || !n.Exists():
		return
	case reflect.PointerTo(t).Implements(unmarshalerType), reflect.PointerTo(t).Implements(textType):
		c.checkUnmarshaler(n, t, field)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		if _, null := n.Value.(Null); !null {
			c.check(n, t.Elem(), field)
		}
	case reflect.Struct:
		c.checkStruct(n, t, field)
	case reflect.Map:
		c.checkMap(n, t, field)
	case reflect.Slice, reflect.Array:
		c.checkSlice(n, t, field)
	default:
		c.checkScalar(n, t, field)
	}
}

// checkUnmarshaler validates the node with the type's own unmarshaler.
func (c *checker) checkUnmarshaler(n Node, t reflect.Type, field string) {
	if err := json.Unmarshal(n.Encode(), reflect.New(t).Interface()); err != nil {
		c.addFault(n, field, "%v", err)
	}
}

func (c *checker) checkStruct(n Node, t reflect.Type, field string) {
	object, ok := n.Value.(Object)
	if !ok {
		c.addFault(n, field, "must be an object, not %s", n.Kind())
		return
	}
	known := Fields(t)
	for _, m := range object.Members {
		path := FieldPath(field, m.Name)
		if ft, ok := known[m.Name]; ok {
			c.check(m.Value, ft, path)
			continue
		}
		// The position of an unknown field is that of its name, not of its value.
		c.faults = append(c.faults, Fault{At: m.At, Field: path, Message: unknownField(m.Name, known)})
	}
}

func unknownField(name string, known map[string]reflect.Type) string {
	for _, k := range slices.Sorted(maps.Keys(known)) {
		if strings.EqualFold(k, name) {
			return fmt.Sprintf("unknown field, %q is meant", k)
		}
	}
	return "unknown field"
}

func (c *checker) checkMap(n Node, t reflect.Type, field string) {
	object, ok := n.Value.(Object)
	if !ok {
		c.addFault(n, field, "must be an object, not %s", n.Kind())
		return
	}
	for _, m := range object.Members {
		c.check(m.Value, t.Elem(), FieldPath(field, m.Name))
	}
}

func (c *checker) checkSlice(n Node, t reflect.Type, field string) {
	array, ok := n.Value.(Array)
	if !ok {
		c.addFault(n, field, "must be an array, not %s", n.Kind())
		return
	}
	for i, item := range array.Items {
		c.check(item, t.Elem(), IndexPath(field, i))
	}
}

func (c *checker) checkScalar(n Node, t reflect.Type, field string) {
	switch t.Kind() {
	case reflect.String:
		if _, ok := n.Value.(String); !ok {
			c.addFault(n, field, "must be a string, not %s", n.Kind())
		}
	case reflect.Bool:
		if _, ok := n.Value.(Bool); !ok {
			c.addFault(n, field, "must be true or false, not %s", n.Kind())
		}
	default:
		c.checkNumber(n, t, field)
	}
}

func (c *checker) checkNumber(n Node, t reflect.Type, field string) {
	number, ok := n.Value.(Number)
	if !ok {
		c.addFault(n, field, "must be a number, not %s", n.Kind())
		return
	}
	var err error
	switch t.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		_, err = strconv.ParseInt(number.Text, 10, t.Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		if strings.HasPrefix(number.Text, "-") {
			c.addFault(n, field, "must not be negative")
			return
		}
		_, err = strconv.ParseUint(number.Text, 10, t.Bits())
	case reflect.Float32, reflect.Float64:
		_, err = strconv.ParseFloat(number.Text, t.Bits())
	default:
		panic(fmt.Sprintf("cannot decode JSON into type %v", t))
	}
	if err != nil {
		c.addFault(n, field, "%s is not a whole number in range", number.Text)
	}
}

// Fields returns the types of a struct's JSON fields by name, including those of embedded structs.
func Fields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case !f.IsExported(), name == "-", f.Anonymous && name == "":
			continue
		case name == "":
			name = f.Name
		}
		fields[name] = f.Type
	}
	return fields
}
