package file

import (
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"teaselloft/internal/model/fleet"
)

// maxName bounds names, which are parts of keys and log lines; in code points.
const maxName = 63

func (v *validator) checkPools() {
	instances := map[string]element{}
	addresses := map[string]element{}
	for _, p := range v.pools {
		v.checkName(p, "name")
		if !v.isSpare(p) {
			v.require(p, "fleet")
		}
		for _, i := range elements(p.node, fieldInstances, p.path) {
			v.checkName(i, "id")
			v.checkPlace(i)
			v.checkInstance(i, instances)
			v.checkAddress(i, addresses)
		}
	}
}

func (v *validator) checkPlace(i element) {
	if zone, ok := v.require(i, "zone"); ok && !slices.Contains(v.zones, zone) {
		v.add(i.node, i.path, "zone", "zone %q does not exist", zone)
	}
	v.require(i, "rack")
}

func (v *validator) checkInstance(i element, seen map[string]element) {
	id := fleet.Normalize(i.name)
	if other, ok := seen[id]; ok {
		v.add(i.node, i.path, "id", "instance %q is in two pools, the other is %s at %v", i.name, poolOf(other.path), other.node.At)
		return
	}
	seen[id] = i
}

func (v *validator) checkAddress(i element, seen map[string]element) {
	address, ok := v.require(i, "address")
	if !ok {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		v.add(i.node, i.path, "address", "%q is not an IP address with a port", address)
		return
	}
	if other, ok := seen[parsed.String()]; ok {
		v.add(i.node, i.path, "address", "address %s is used by instance %q, too", address, other.name)
		return
	}
	seen[parsed.String()] = i
}

// poolOf returns the pool's name in a path such as pools[calendar].instances[cal-1].
func poolOf(path string) string {
	_, rest, _ := strings.Cut(path, "[")
	name, _, _ := strings.Cut(rest, "]")
	return name
}

// checkName reports a name that cannot be part of a path segment or of a key.
func (v *validator) checkName(e element, field string) {
	name, ok := e.text(field)
	if !ok {
		return
	}
	if utf8.RuneCountInString(name) > maxName {
		v.add(e.node, e.path, field, "must not be longer than %d characters", maxName)
	}
	if i := strings.IndexFunc(name, func(r rune) bool { return !nameRune(r) }); i >= 0 || name == "." || name == ".." {
		v.add(e.node, e.path, field, "may hold only letters, digits and the characters - _ .")
	}
}

func nameRune(r rune) bool {
	return unicode.In(r, unicode.L, unicode.M, unicode.N) || strings.ContainsRune("-_.", r)
}

// checkReserved reports a service or misspelled name that the system uses itself.
func (v *validator) checkReserved(e element, field string) {
	if slices.Contains(reserved, fleet.Normalize(e.name)) {
		v.add(e.node, e.path, field, "name %q is reserved", e.name)
	}
}

// placesOf returns where the instances of a pool run.
func placesOf(p element) []fleet.Place {
	var places []fleet.Place
	for _, i := range elements(p.node, fieldInstances, p.path) {
		places = append(places, fleet.Place{Zone: i.node.Field("zone").Text(), Rack: i.node.Field("rack").Text()})
	}
	return places
}
