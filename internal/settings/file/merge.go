package file

import (
	"fmt"
	"slices"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
)

// merge returns base with the overlay over merged into it.
func merge(base, over strict.Node) (strict.Node, strict.Faults) {
	m := merger{}
	root := m.merge(base, over, "")
	return root, m.faults
}

type merger struct {
	faults strict.Faults
}

// merge replaces base by over, except that two objects are merged member by member.
func (m *merger) merge(base, over strict.Node, path string) strict.Node {
	baseObject, baseOK := base.Value.(strict.Object)
	overObject, overOK := over.Value.(strict.Object)
	if !baseOK || !overOK {
		return m.stripRemovals(over, path)
	}
	members := slices.Clone(baseObject.Members)
	for _, member := range overObject.Members {
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

// mergeField merges one member of an object, by key if it is a list with keyed elements.
func (m *merger) mergeField(base strict.Node, over strict.Member, path string) strict.Node {
	key, keyed := mergeKeys[over.Name]
	_, list := over.Value.Value.(strict.Array)
	if keyed && list {
		return m.mergeList(base, over.Value, key, path)
	}
	return m.merge(base, over.Value, path)
}

// mergeList merges two lists by key: elements of base keep their order, new elements are appended.
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
		case isRemoval(item) && i < 0:
			m.faults = append(m.faults, strict.Fault{At: item.At, Field: field, Message: "removes an element that does not exist"})
		case isRemoval(item):
			items = slices.Delete(items, i, i+1)
		case i < 0:
			items = append(items, m.stripRemovals(item, field))
		default:
			items[i] = m.merge(items[i], item, field)
		}
	}
	return over.WithValue(strict.Array{Items: items})
}

// stripRemovals drops the remove fields from a new element and from the lists in it.
func (m *merger) stripRemovals(n strict.Node, path string) strict.Node {
	object, ok := n.Value.(strict.Object)
	if !ok {
		return n
	}
	return m.merge(n.WithValue(strict.Object{}), n.WithValue(object), path)
}

// isRemoval reports whether an overlay's item removes the element of the same key.
func isRemoval(item strict.Node) bool {
	remove, _ := item.Field(fieldRemove).Value.(strict.Bool)
	return remove.True
}

// withoutField returns an object without one of its members.
func withoutField(n strict.Node, field string) strict.Node {
	object, _ := n.Value.(strict.Object)
	members := slices.DeleteFunc(slices.Clone(object.Members), func(m strict.Member) bool { return m.Name == field })
	return n.WithValue(strict.Object{Members: members})
}

// elementKey returns the normalized key by which elements are compared, empty if the element has none.
func elementKey(item strict.Node, key string) string {
	return fleet.Normalize(item.Field(key).Text())
}

// elementPath returns the path of an element by its key, since the merge changes its index.
func elementPath(list, key string) string {
	return fmt.Sprintf("%s[%s]", list, key)
}

// checkKeys reports elements of one file that lack a key or repeat the key of another element.
func checkKeys(n strict.Node, path string) strict.Faults {
	var faults strict.Faults
	object, _ := n.Value.(strict.Object)
	for _, m := range object.Members {
		if key, ok := mergeKeys[m.Name]; ok {
			faults = append(faults, checkListKeys(m.Value, key, strict.FieldPath(path, m.Name))...)
		}
	}
	return faults
}

func checkListKeys(list strict.Node, key, path string) strict.Faults {
	var faults strict.Faults
	seen := map[string]strict.Position{}
	for i, item := range list.Items() {
		field := strict.IndexPath(path, i)
		name := elementKey(item, key)
		first, duplicate := seen[name]
		switch {
		case name == "" && (!item.Field(key).Exists() || isString(item.Field(key))):
			if _, ok := item.Value.(strict.Object); ok {
				faults = append(faults, strict.Fault{At: item.At, Field: strict.FieldPath(field, key), Message: "must not be empty"})
			}
		case duplicate:
			message := fmt.Sprintf("%q is defined twice, first on line %d", item.Field(key).Text(), first.Line)
			faults = append(faults, strict.Fault{At: item.Field(key).At, Field: strict.FieldPath(field, key), Message: message})
		case name != "":
			seen[name] = item.Field(key).At
		}
		faults = append(faults, checkKeys(item, field)...)
	}
	return faults
}
