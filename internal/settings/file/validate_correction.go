package file

import (
	"strings"
	"unicode"

	"teaselloft/internal/model/fleet"
)

func (v *validator) checkCorrections() {
	for _, c := range v.corrections {
		v.checkCorrectionName(c)
		v.checkReserved(c, "from")
		if s, ok := v.serviceByName[fleet.Normalize(c.name)]; ok {
			v.addFault(c.node, c.path, "from", "%q is also the name of the service at %v", c.name, s.node.At)
			continue
		}
		v.checkTarget(c)
	}
}

// checkCorrectionName reports a misspelled name that cannot occur in one path segment of a request.
func (v *validator) checkCorrectionName(c element) {
	invalid := func(r rune) bool { return strings.ContainsRune("/?#>", r) || !unicode.IsPrint(r) }
	if strings.IndexFunc(c.name, invalid) >= 0 {
		v.addFault(c.node, c.path, "from", "may hold only printable characters other than / ? # >")
	}
}

// checkTarget follows a chain of corrections and reports one that does not end at a service of its fleet.
func (v *validator) checkTarget(c element) {
	to, ok := v.requireText(c, "to")
	seen := map[string]bool{fleet.Normalize(c.name): true}
	for ok {
		name := fleet.Normalize(to)
		if s, found := v.serviceByName[name]; found {
			v.checkSameFleet(c, s)
			return
		}
		next, found := v.correctionByName[name]
		if !found {
			if len(seen) == 1 {
				v.addFault(c.node, c.path, "to", "service %q does not exist", to)
			}
			return
		}
		if seen[name] {
			v.addFault(c.node, c.path, "to", "correction %q forms a loop", c.name)
			return
		}
		seen[name] = true
		v.checkSameFleet(c, next)
		to, ok = next.text("to")
	}
}

// checkSameFleet reports a correction whose target, a service or another correction, belongs to another fleet.
func (v *validator) checkSameFleet(c, target element) {
	fleetName, ok := c.text("fleet")
	targetFleet, targetOK := target.text("fleet")
	if ok && targetOK && fleetName != targetFleet {
		v.addFault(c.node, c.path, "fleet", "correction of fleet %q points to %q of fleet %q", fleetName, target.name, targetFleet)
	}
}
