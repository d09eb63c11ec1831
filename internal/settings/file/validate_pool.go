package file

import (
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"teaselloft/internal/model/fleet"
)

// maxNameLength bounds the length of names, which become part of keys and log lines, in code points.
const maxNameLength = 63

func (v *validator) checkPools() {
	instances := map[string]element{}
	addresses := map[string]element{}
	for _, p := range v.pools {
		v.checkName(p, "name")
		if !v.isSpare(p) {
			v.requireText(p, "fleet")
		}
		for _, i := range elements(p.node, fieldInstances, p.path) {
			v.checkName(i, "id")
			v.checkLocation(i)
			v.checkInstance(i, instances)
			v.checkAddress(i, addresses)
		}
	}
}

func (v *validator) checkLocation(i element) {
	if zone, ok := v.requireText(i, "zone"); ok && !slices.Contains(v.zones, zone) {
		v.addFault(i.node, i.path, "zone", "zone %q does not exist", zone)
	}
	v.requireText(i, "rack")
}

// checkInstance reports an instance that another pool declares, too; seen collects the instances by normalized ID.
func (v *validator) checkInstance(i element, seen map[string]element) {
	id := fleet.Normalize(i.name)
	if other, ok := seen[id]; ok {
		v.addFault(i.node, i.path, "id", "instance %q is in two pools, the other is %s at %v", i.name, poolName(other.path), other.node.At)
		return
	}
	seen[id] = i
}

// checkAddress reports an address that is invalid or used by another instance.
func (v *validator) checkAddress(i element, seen map[string]element) {
	address, ok := v.requireText(i, "address")
	if !ok {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		v.addFault(i.node, i.path, "address", "%q is not an IP address with a port", address)
		return
	}
	if other, ok := seen[parsed.String()]; ok {
		v.addFault(i.node, i.path, "address", "address %s is already used by instance %q", address, other.name)
		return
	}
	seen[parsed.String()] = i
}

// poolName returns the name of the pool in a path such as pools[calendar].instances[cal-1].
func poolName(path string) string {
	_, rest, _ := strings.Cut(path, "[")
	name, _, _ := strings.Cut(rest, "]")
	return name
}

// checkName reports a name that is too long or cannot be part of a path segment or of a key.
func (v *validator) checkName(e element, field string) {
	name, ok := e.text(field)
	if !ok {
		return
	}
	if utf8.RuneCountInString(name) > maxNameLength {
		v.addFault(e.node, e.path, field, "must not be longer than %d characters", maxNameLength)
	}
	if i := strings.IndexFunc(name, func(r rune) bool { return !isNameRune(r) }); i >= 0 || name == "." || name == ".." {
		v.addFault(e.node, e.path, field, "may hold only letters, digits and the characters - _ .")
	}
}

func isNameRune(r rune) bool {
	return unicode.In(r, unicode.L, unicode.M, unicode.N) || strings.ContainsRune("-_.", r)
}

// checkReserved reports the name of a service or correction that is reserved.
func (v *validator) checkReserved(e element, field string) {
	if slices.Contains(reservedNames, fleet.Normalize(e.name)) {
		v.addFault(e.node, e.path, field, "name %q is reserved", e.name)
	}
}

// placesOf returns the locations of a pool's instances.
func placesOf(p element) []fleet.Place {
	var places []fleet.Place
	for _, i := range elements(p.node, fieldInstances, p.path) {
		places = append(places, fleet.Place{Zone: i.node.Field("zone").Text(), Rack: i.node.Field("rack").Text()})
	}
	return places
}
