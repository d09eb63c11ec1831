package file

import (
	"strconv"
	"strings"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
)

// element is an object of the merged document that is identified by its key.
type element struct {
	name string // key as written, not normalized
	path string
	node strict.Node
}

// elements returns the objects of a list whose key is a non-empty string.
func elements(parent strict.Node, list, path string) []element {
	var found []element
	key := mergeKeys[list]
	for _, item := range parent.Field(list).Items() {
		if name := item.Field(key).Text(); name != "" {
			field := elementPath(strict.FieldPath(path, list), name)
			found = append(found, element{name: name, path: field, node: item})
		}
	}
	return found
}

// indexByName returns elements by normalized name; the first of several with the same name wins.
func indexByName(list []element) map[string]element {
	byName := make(map[string]element, len(list))
	for _, e := range list {
		if _, exists := byName[fleet.Normalize(e.name)]; !exists {
			byName[fleet.Normalize(e.name)] = e
		}
	}
	return byName
}

// text returns a string field and whether it is not empty.
func (e element) text(field string) (string, bool) {
	text := e.node.Field(field).Text()
	return text, text != ""
}

// number returns the integer value of a node, 0 if it is missing, and false if it is not an integer.
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

// findField returns the node at a field path such as services[flag-calendar].slots.
func findField(n strict.Node, field string) (strict.Node, bool) {
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
			n = findItem(list, mergeKeys[head], field[1:end])
			field = field[end+1:]
		}
		field = strings.TrimPrefix(field, ".")
		if !n.Exists() {
			return strict.Node{}, false
		}
	}
	return n, true
}

// findItem returns the item of a list whose key matches name, or the zero Node.
func findItem(list strict.Node, key, name string) strict.Node {
	for _, i := range list.Items() {
		if elementKey(i, key) == fleet.Normalize(name) {
			return i
		}
	}
	return strict.Node{}
}
