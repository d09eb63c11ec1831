package file

import (
	"slices"
	"unicode/utf8"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
)

func (v *validator) checkServices() {
	for _, s := range v.services {
		v.checkName(s, "name")
		v.checkReserved(s, "name")
		v.requireText(s, "fleet")
		v.checkTeam(s)
		v.checkServicePool(s)
		v.checkMinimum(s, "slots", 1)
		v.checkMinimum(s, "connections", 1)
		v.checkConnections(s)
		v.checkNearest(s)
		v.checkDomain(s)
	}
}

func (v *validator) checkTeam(s element) {
	team, ok := s.text("team")
	if _, exists := v.teamByName[fleet.Normalize(team)]; ok && !exists {
		v.addFault(s.node, s.path, "team", "team %q does not exist", team)
	}
}

func (v *validator) checkServicePool(s element) {
	name, ok := v.requireText(s, "pool")
	if !ok {
		return
	}
	p, ok := v.poolByName[fleet.Normalize(name)]
	if !ok {
		v.addFault(s.node, s.path, "pool", "pool %q does not exist", name)
		return
	}
	if v.isSpare(p) {
		v.addFault(s.node, s.path, "pool", "pool %q is the spare pool, no service runs in it", name)
		return
	}
	serviceFleet, ok := s.text("fleet")
	poolFleet, hasFleet := p.text("fleet")
	if ok && hasFleet && serviceFleet != poolFleet {
		v.addFault(s.node, s.path, "pool", "pool %q is of fleet %q, the service is of fleet %q", name, poolFleet, serviceFleet)
	}
	v.checkBudget(s, p)
}

// checkBudget reports a budget that the pool cannot meet even if all its instances serve.
func (v *validator) checkBudget(s, p element) {
	budget, path := s.node.Field("budget"), strict.FieldPath(s.path, "budget")
	available, ok := number(budget.Field("available"))
	if !ok {
		return
	}
	domain := fleet.Domain(budget.Field("domain").Text())
	places := placesOf(p)
	left := len(places)
	if domain == fleet.DomainRack || domain == fleet.DomainZone {
		left -= domain.MaxLoss(places)
	}
	switch {
	case available > len(places):
		v.addFault(budget, path, "available", "pool %q has %d instances, the budget of %d can never be met", p.name, len(places), available)
	case available > left:
		v.addFault(budget, path, "domain", "the loss of one %s leaves %d instances of pool %q, the budget of %d can never be met",
			domain, left, p.name, available)
	}
}

// checkDomain reports an unknown failure domain.
func (v *validator) checkDomain(s element) {
	budget := s.node.Field("budget")
	domain := fleet.Domain(budget.Field("domain").Text())
	known := []fleet.Domain{fleet.DomainAuto, fleet.DomainRack, fleet.DomainZone, fleet.DomainNone}
	if !slices.Contains(known, domain) {
		v.addFault(budget, strict.FieldPath(s.path, "budget"), "domain", "%q is not one of rack, zone, none", string(domain))
	}
}

// checkConnections reports fewer connections than slots, since every running request holds a connection.
func (v *validator) checkConnections(s element) {
	slots, ok := number(s.node.Field("slots"))
	connections, valid := number(s.node.Field("connections"))
	if ok && valid && connections >= 1 && connections < slots {
		v.addFault(s.node, s.path, "connections", "must be at least the %d slots", slots)
	}
}

// checkNearest reports an edit distance as large as the name's length, at which any name of that length would match.
func (v *validator) checkNearest(s element) {
	nearest, ok := number(s.node.Field("nearest"))
	if length := utf8.RuneCountInString(s.name); ok && nearest >= length {
		v.addFault(s.node, s.path, "nearest", "must be less than the name's %d characters", length)
	}
}
