package wave

import (
	"slices"
	"strings"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// pass makes the decisions for one Tick message. It lives for one Step and works on a copy of the State.
type pass struct {
	state          State
	effects        []Effect
	instances      map[string]Versioned[record.Instance] // every instance, looked up once
	services       []*service                            // sorted by name
	servicesByPool map[string][]*service
	runningWaves   []record.Wave     // sorted by ID
	pendingWave    map[string]string // by instance: the running wave that still has to maintain it
	zonesOut       map[string]bool   // zones in which waves have instances out
	outByWave      map[string]int    // number of instances out, by wave
	blocked        map[string]string // why an instance waits, by instance
}

// service tracks a service's budget during a pass.
type service struct {
	config          fleet.Service
	domain          fleet.Domain
	servingByDomain map[string]int           // serving instances that are not in the ledger
	servingTotal    int                      // sum of servingByDomain
	domainsOut      map[string]bool          // domains with instances taken out on purpose
	stored          Versioned[record.Ledger] // the ledger as stored
	ledger          record.Ledger            // the ledger with the changes of this pass
	changed         bool
}

func newPass(s State) *pass {
	return &pass{
		state:          s,
		instances:      s.allInstances(),
		servicesByPool: map[string][]*service{},
		pendingWave:    map[string]string{},
		zonesOut:       map[string]bool{},
		outByWave:      map[string]int{},
		blocked:        map[string]string{},
	}
}

// instance returns what was known of an instance when the pass began.
func (p *pass) instance(id string) (Versioned[record.Instance], bool) {
	stored, ok := p.instances[id]
	return stored, ok
}

// run makes all decisions, or none if a newer planner has written a ledger. Headroom is freed before it is used.
func (p *pass) run() {
	p.buildServices()
	if p.superseded() {
		return
	}
	p.findPending()
	p.countServing()
	p.advanceInstances()
	p.releaseEntries()
	p.restoreHeadroom()
	p.reserveCandidates()
	p.flushLedgers()
	p.reportWaves()
	p.state.blocked = p.blocked
}

// superseded returns whether a ledger was written by a planner with a higher epoch.
func (p *pass) superseded() bool {
	return slices.ContainsFunc(p.services, func(svc *service) bool { return svc.ledger.Epoch > p.state.epoch })
}

func (p *pass) buildServices() {
	pools := p.poolPlaces()
	for _, c := range p.state.fleet.Services {
		stored := p.state.Ledger(c.Name)
		svc := &service{
			config:          c,
			domain:          c.Budget.ResolveDomain(pools[c.Pool]),
			servingByDomain: map[string]int{},
			domainsOut:      map[string]bool{},
			stored:          stored,
			ledger:          stored.Record,
		}
		p.services = append(p.services, svc)
		p.servicesByPool[c.Pool] = append(p.servicesByPool[c.Pool], svc)
	}
	slices.SortFunc(p.services, func(a, b *service) int { return strings.Compare(a.config.Name, b.config.Name) })
}

// poolPlaces returns the places of each pool's declared instances, whatever their state.
func (p *pass) poolPlaces() map[string][]fleet.Place {
	pools := map[string][]fleet.Place{}
	for id, d := range p.state.declared {
		stored, _ := p.instance(id)
		pools[stored.Record.Pool] = append(pools[stored.Record.Pool], d.instance.Place())
	}
	return pools
}

// countServing counts the instances that each service has serving, and finds the domains in which it has instances
// out.
func (p *pass) countServing() {
	for id := range p.state.declared {
		stored, _ := p.instance(id)
		if stored.Record.State != record.Serving || !p.state.Live(id) {
			continue
		}
		for _, svc := range p.servicesByPool[stored.Record.Pool] {
			if !svc.hasEntry(id) {
				svc.addServing(p.state.place(id), 1)
			}
		}
	}
	for _, svc := range p.services {
		for _, id := range svc.ledger.Out {
			if stored, ok := p.instance(id); ok && !stalled(stored.Record) {
				svc.domainsOut[svc.domain.NameOf(p.state.place(id))] = true
			}
		}
	}
}

// stalled returns whether the instance is out of service until an operator or a repair acts. Other domains do not
// wait for it.
func stalled(r record.Instance) bool {
	return r.State == record.Out || r.State == record.Draining && r.Reason != ""
}

// managed returns whether the planner took the instance out of service. Instances that an operator drained or took
// out are left to the operator.
func managed(r record.Instance) bool {
	return r.Wave != "" || r.Target != ""
}

func (p *pass) note(n Notice) {
	p.effects = append(p.effects, n)
}

// writable returns whether no write of the key is pending.
func (p *pass) writable(key string) bool {
	_, busy := p.state.pendingWrites.Get(key)
	return !busy
}

// write requests a compare-and-swap unless a write of the key is pending.
func (p *pass) write(r record.Record, expectedRevision int64) {
	if !p.writable(r.Key()) {
		return
	}
	p.state = p.state.withPendingWrite(pendingWrite{record: r})
	p.effects = append(p.effects, Write{Record: r, ExpectedRevision: expectedRevision})
}

// hasEntry returns whether the ledger has an entry for the instance.
func (svc *service) hasEntry(id string) bool {
	return slices.Contains(svc.ledger.Out, id)
}

// addServing adds n, which may be negative, to the serving instances at the place.
func (svc *service) addServing(at fleet.Place, n int) {
	svc.servingByDomain[svc.domain.NameOf(at)] += n
	svc.servingTotal += n
}

// headroom returns how many serving instances may be taken out so that the budget still holds after the loss of the
// largest domain. It is negative if the budget is broken.
func (svc *service) headroom() int {
	loss := 0
	if svc.domain != fleet.DomainNone {
		for _, n := range svc.servingByDomain {
			loss = max(loss, n)
		}
	}
	return svc.servingTotal - loss - svc.config.Budget.Available
}

// headroomWithout returns the headroom that remains when an instance at the place is taken out.
func (svc *service) headroomWithout(at fleet.Place) int {
	svc.addServing(at, -1)
	h := svc.headroom()
	svc.addServing(at, 1)
	return h
}
