package file

import (
	"strings"
	"unicode"

	"teaselloft/internal/model/fleet"
)

func (v *validator) checkCorrections() {
	for _, c := range v.fixes {
		v.checkMisspelled(c)
		v.checkReserved(c, "from")
		if s, ok := v.service[fleet.Normalize(c.name)]; ok {
			v.add(c.node, c.path, "from", "%q is also the name of the service at %v", c.name, s.node.At)
			continue
		}
		v.checkTarget(c)
	}
}

// checkMisspelled allows any text that a caller can put into one path segment.
func (v *validator) checkMisspelled(c element) {
	bad := func(r rune) bool { return strings.ContainsRune("/?#>", r) || !unicode.IsPrint(r) }
	if strings.IndexFunc(c.name, bad) >= 0 {
		v.add(c.node, c.path, "from", "may hold only printable characters other than / ? # >")
	}
}

// checkTarget follows a correction to its service.
func (v *validator) checkTarget(c element) {
	to, ok := v.require(c, "to")
	seen := map[string]bool{fleet.Normalize(c.name): true}
	for ok {
		name := fleet.Normalize(to)
		if s, found := v.service[name]; found {
			v.checkFleet(c, s)
			return
		}
		next, found := v.fix[name]
		if !found {
			if len(seen) == 1 {
				v.add(c.node, c.path, "to", "service %q does not exist", to)
			}
			return
		}
		if seen[name] {
			v.add(c.node, c.path, "to", "correction %q forms a loop", c.name)
			return
		}
		seen[name] = true
		v.checkFleet(c, next)
		to, ok = next.text("to")
	}
}

// checkFleet reports a correction whose target, a service or a correction, is of another fleet.
func (v *validator) checkFleet(c, target element) {
	mine, ok := c.text("fleet")
	its, also := target.text("fleet")
	if ok && also && mine != its {
		v.add(c.node, c.path, "fleet", "correction of fleet %q leads to %q of fleet %q", mine, target.name, its)
	}
}
