package file

import (
	"fmt"
	"slices"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
)

// reserved lists names that a service cannot have: the health paths and the planner's ownership record.
var reserved = []string{"healthz", "readyz", "planner"}

// validator checks the merged document; values of a wrong type were reported before and are passed over.
type validator struct {
	root     strict.Node
	zones    []string
	teams    []element
	pools    []element
	services []element
	fixes    []element // corrections
	team     map[string]element
	pool     map[string]element
	service  map[string]element
	fix      map[string]element
	faults   strict.Faults
}

func validate(root strict.Node) strict.Faults {
	v := &validator{
		root:     root,
		teams:    elements(root, "teams", ""),
		pools:    elements(root, "pools", ""),
		services: elements(root, "services", ""),
		fixes:    elements(root, "corrections", ""),
	}
	v.team, v.pool = index(v.teams), index(v.pools)
	v.service, v.fix = index(v.services), index(v.fixes)
	v.checkTop()
	v.checkTeams()
	v.checkPools()
	v.checkServices()
	v.checkCorrections()
	return v.faults
}

// add reports a fault at a field of n, or at n itself when the field is missing.
func (v *validator) add(n strict.Node, path, field, format string, args ...any) {
	at := n.At
	if f := n.Field(field); f.Exists() {
		at = f.At
	}
	if field != "" {
		path = strict.FieldPath(path, field)
	}
	v.faults = append(v.faults, strict.Fault{At: at, Field: path, Message: fmt.Sprintf(format, args...)})
}

// require reports a string field that is missing or empty, and returns it with whether it can be used.
func (v *validator) require(e element, field string) (string, bool) {
	text, ok := e.text(field)
	if value := e.node.Field(field); !ok && (!value.Exists() || isString(value)) {
		v.add(e.node, e.path, field, "must not be empty")
	}
	return text, ok
}

// checkSize reports a number below least; negative ones were reported for the file.
func (v *validator) checkSize(e element, field string, least int) {
	if n, ok := number(e.node.Field(field)); ok && n >= 0 && n < least {
		v.add(e.node, e.path, field, "must be at least %d", least)
	}
}

func (v *validator) checkTop() {
	top := element{node: v.root}
	v.require(top, "region")
	v.checkZones()
	spare, ok := top.text("spare")
	if _, exists := v.pool[fleet.Normalize(spare)]; ok && !exists {
		v.add(v.root, "", "spare", "pool %q does not exist", spare)
	}
}

func (v *validator) checkZones() {
	zones := v.root.Field("zones")
	if !zones.Exists() || zones.Kind() == "an array" && len(zones.Items()) == 0 {
		v.add(v.root, "", "zones", "must not be empty")
	}
	for i, zone := range zones.Items() {
		field := strict.IndexPath("zones", i)
		switch name := zone.Text(); {
		case !isString(zone):
		case name == "":
			v.add(zone, field, "", "must not be empty")
		case slices.Contains(v.zones, name):
			v.add(zone, field, "", "%q is defined twice", name)
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

// isSpare reports whether a pool is the spare pool, which all fleets share.
func (v *validator) isSpare(p element) bool {
	return fleet.Normalize(p.name) == fleet.Normalize(v.root.Field("spare").Text())
}
