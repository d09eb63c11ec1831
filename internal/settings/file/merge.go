package file

import (
	"fmt"
	"slices"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
)

// merge returns the document base with the document over laid upon it.
func merge(base, over strict.Node) (strict.Node, strict.Faults) {
	m := merger{}
	root := m.merge(base, over, "")
	return root, m.faults
}

type merger struct {
	faults strict.Faults
}

// merge replaces base by over, except that objects merge by member.
func (m *merger) merge(base, over strict.Node, path string) strict.Node {
	below, ok := base.Value.(strict.Object)
	above, also := over.Value.(strict.Object)
	if !ok || !also {
		return m.strip(over, path)
	}
	members := slices.Clone(below.Members)
	for _, member := range above.Members {
		if member.Name == fieldRemove {
			continue
		}
		i := slices.IndexFunc(members, func(b strict.Member) bool { return b.Name == member.Name })
		field := strict.FieldPath(path, member.Name)
		if i < 0 {
			member.Value = m.mergeField(strict.Node{Value: strict.Array{}}, member, field)
			members = append(members, member)
			continue
		}
		member.Value = m.mergeField(members[i].Value, member, field)
		members[i] = member
	}
	return base.WithValue(strict.Object{Members: members})
}

func (m *merger) mergeField(base strict.Node, over strict.Member, path string) strict.Node {
	key, keyed := keys[over.Name]
	_, list := over.Value.Value.(strict.Array)
	if keyed && list {
		return m.mergeList(base, over.Value, key, path)
	}
	return m.merge(base, over.Value, path)
}

// mergeList merges the elements of two lists by key: base order, then new elements.
func (m *merger) mergeList(base, over strict.Node, key, path string) strict.Node {
	items := slices.Clone(base.Items())
	for _, item := range over.Items() {
		name := elementKey(item, key)
		if name == "" {
			continue
		}
		field := elementPath(path, item.Field(key).Text())
		i := slices.IndexFunc(items, func(b strict.Node) bool { return elementKey(b, key) == name })
		switch {
		case removes(item) && i < 0:
			m.faults = append(m.faults, strict.Fault{At: item.At, Field: field, Message: "removes an element that does not exist"})
		case removes(item):
			items = slices.Delete(items, i, i+1)
		case i < 0:
			items = append(items, m.strip(item, field))
		default:
			items[i] = m.merge(items[i], item, field)
		}
	}
	return over.WithValue(strict.Array{Items: items})
}

// strip drops the remove fields of a new element and of the lists in it.
func (m *merger) strip(n strict.Node, path string) strict.Node {
	object, ok := n.Value.(strict.Object)
	if !ok {
		return n
	}
	return m.merge(n.WithValue(strict.Object{}), n.WithValue(object), path)
}

func removes(item strict.Node) bool {
	remove, _ := item.Field(fieldRemove).Value.(strict.Bool)
	return remove.True
}

func without(n strict.Node, field string) strict.Node {
	object, _ := n.Value.(strict.Object)
	members := slices.DeleteFunc(slices.Clone(object.Members), func(m strict.Member) bool { return m.Name == field })
	return n.WithValue(strict.Object{Members: members})
}

// elementKey returns the form in which keys are compared, empty when the element has none.
func elementKey(item strict.Node, key string) string {
	return fleet.Normalize(item.Field(key).Text())
}

// elementPath names an element by its key, since its index changes with the merge.
func elementPath(list, key string) string {
	return fmt.Sprintf("%s[%s]", list, key)
}

// checkKeys reports elements of one file without a key or with the key of another element.
func checkKeys(n strict.Node, path string) strict.Faults {
	var faults strict.Faults
	object, _ := n.Value.(strict.Object)
	for _, m := range object.Members {
		if key, ok := keys[m.Name]; ok {
			faults = append(faults, checkList(m.Value, key, strict.FieldPath(path, m.Name))...)
		}
	}
	return faults
}

func checkList(list strict.Node, key, path string) strict.Faults {
	var faults strict.Faults
	seen := map[string]strict.Position{}
	for i, item := range list.Items() {
		field := strict.IndexPath(path, i)
		name := elementKey(item, key)
		first, again := seen[name]
		switch {
		case name == "" && (!item.Field(key).Exists() || isString(item.Field(key))):
			if _, ok := item.Value.(strict.Object); ok {
				faults = append(faults, strict.Fault{At: item.At, Field: strict.FieldPath(field, key), Message: "must not be empty"})
			}
		case again:
			message := fmt.Sprintf("%q is defined twice, first on line %d", item.Field(key).Text(), first.Line)
			faults = append(faults, strict.Fault{At: item.Field(key).At, Field: strict.FieldPath(field, key), Message: message})
		case name != "":
			seen[name] = item.Field(key).At
		}
		faults = append(faults, checkKeys(item, field)...)
	}
	return faults
}
