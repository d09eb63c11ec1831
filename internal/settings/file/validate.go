package file

import (
	"fmt"
	"slices"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
)

// reservedNames must not be used by services and corrections: the health paths and the planner's ownership record.
var reservedNames = []string{"healthz", "readyz", "planner"}

// validator checks the merged document; it skips values of a wrong type, which parse has reported.
type validator struct {
	root             strict.Node
	zones            []string
	teams            []element
	pools            []element
	services         []element
	corrections      []element
	teamByName       map[string]element
	poolByName       map[string]element
	serviceByName    map[string]element
	correctionByName map[string]element
	faults           strict.Faults
}

func validate(root strict.Node) strict.Faults {
	v := &validator{
		root:        root,
		teams:       elements(root, "teams", ""),
		pools:       elements(root, "pools", ""),
		services:    elements(root, "services", ""),
		corrections: elements(root, "corrections", ""),
	}
	v.teamByName, v.poolByName = indexByName(v.teams), indexByName(v.pools)
	v.serviceByName, v.correctionByName = indexByName(v.services), indexByName(v.corrections)
	v.checkRoot()
	v.checkTeams()
	v.checkPools()
	v.checkServices()
	v.checkCorrections()
	return v.faults
}

// addFault reports a fault at a field of n, or at n itself if the field is missing.
func (v *validator) addFault(n strict.Node, path, field, format string, args ...any) {
	at := n.At
	if f := n.Field(field); f.Exists() {
		at = f.At
	}
	if field != "" {
		path = strict.FieldPath(path, field)
	}
	v.faults = append(v.faults, strict.Fault{At: at, Field: path, Message: fmt.Sprintf(format, args...)})
}

// requireText returns a string field and whether it is not empty; it reports a field that is missing or empty.
func (v *validator) requireText(e element, field string) (string, bool) {
	text, ok := e.text(field)
	if value := e.node.Field(field); !ok && (!value.Exists() || isString(value)) {
		v.addFault(e.node, e.path, field, "must not be empty")
	}
	return text, ok
}

// checkMinimum reports a number below minimum; checkNonNegative has reported negative ones.
func (v *validator) checkMinimum(e element, field string, minimum int) {
	if n, ok := number(e.node.Field(field)); ok && n >= 0 && n < minimum {
		v.addFault(e.node, e.path, field, "must be at least %d", minimum)
	}
}

func (v *validator) checkRoot() {
	root := element{node: v.root}
	v.requireText(root, "region")
	v.checkZones()
	spare, ok := root.text("spare")
	if _, exists := v.poolByName[fleet.Normalize(spare)]; ok && !exists {
		v.addFault(v.root, "", "spare", "pool %q does not exist", spare)
	}
}

func (v *validator) checkZones() {
	zones := v.root.Field("zones")
	if !zones.Exists() || zones.Kind() == "an array" && len(zones.Items()) == 0 {
		v.addFault(v.root, "", "zones", "must not be empty")
	}
	for i, zone := range zones.Items() {
		field := strict.IndexPath("zones", i)
		switch name := zone.Text(); {
		case !isString(zone):
		case name == "":
			v.addFault(zone, field, "", "must not be empty")
		case slices.Contains(v.zones, name):
			v.addFault(zone, field, "", "%q is defined twice", name)
		default:
			v.zones = append(v.zones, name)
		}
	}
}

func (v *validator) checkTeams() {
	for _, t := range v.teams {
		v.checkName(t, "name")
	}
}

// isSpare reports whether a pool is the spare pool, which is shared by all fleets.
func (v *validator) isSpare(p element) bool {
	return fleet.Normalize(p.name) == fleet.Normalize(v.root.Field("spare").Text())
}
