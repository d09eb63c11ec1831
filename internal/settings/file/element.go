package file

import (
	"strconv"
	"strings"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
)

// element is a named object of the merged document.
type element struct {
	name string // as written
	path string
	node strict.Node
}

// elements returns the objects of a list that have a key.
func elements(parent strict.Node, list, path string) []element {
	var found []element
	key := keys[list]
	for _, item := range parent.Field(list).Items() {
		if name := item.Field(key).Text(); name != "" {
			field := elementPath(strict.FieldPath(path, list), name)
			found = append(found, element{name: name, path: field, node: item})
		}
	}
	return found
}

// index returns elements by their normalized names, the first of those with one name.
func index(list []element) map[string]element {
	byName := make(map[string]element, len(list))
	for _, e := range list {
		if _, again := byName[fleet.Normalize(e.name)]; !again {
			byName[fleet.Normalize(e.name)] = e
		}
	}
	return byName
}

// text returns a string field and whether it is there and not empty.
func (e element) text(field string) (string, bool) {
	text := e.node.Field(field).Text()
	return text, text != ""
}

// number returns an integer field, 0 when it is missing, and whether it has the right type.
func number(n strict.Node) (int, bool) {
	if !n.Exists() {
		return 0, true
	}
	v, ok := n.Value.(strict.Number)
	if !ok {
		return 0, false
	}
	i, err := strconv.Atoi(v.Text)
	return i, err == nil
}

// find returns the node at a field such as services[flag-calendar].slots.
func find(n strict.Node, field string) (strict.Node, bool) {
	for field != "" {
		head := field
		if end := strings.IndexAny(field, ".["); end >= 0 {
			head = field[:end]
		}
		list := n.Field(head)
		n = list
		field = field[len(head):]
		if strings.HasPrefix(field, "[") {
			end := strings.IndexByte(field, ']')
			if end < 0 {
				return strict.Node{}, false
			}
			n = item(list, keys[head], field[1:end])
			field = field[end+1:]
		}
		field = strings.TrimPrefix(field, ".")
		if !n.Exists() {
			return strict.Node{}, false
		}
	}
	return n, true
}

func item(list strict.Node, key, name string) strict.Node {
	for _, i := range list.Items() {
		if elementKey(i, key) == fleet.Normalize(name) {
			return i
		}
	}
	return strict.Node{}
}
