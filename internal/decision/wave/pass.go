package wave

import (
	"slices"
	"strings"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
)

// pass makes the decisions of one Time message. It is local to one Step and changes no State in place.
type pass struct {
	state    State
	effects  []Effect
	known    map[string]Kept[record.Instance] // every instance, looked up once
	services []*service                       // by name
	byPool   map[string][]*service
	running  []record.Wave     // in phase running, by id
	wanted   map[string]string // running wave that still has to maintain the instance
	zones    map[string]bool   // zones in which waves have instances out
	taken    map[string]int    // instances out by wave
	blocked  map[string]string
}

// service is a service's budget as the pass spends it.
type service struct {
	config  fleet.Service
	domain  fleet.Domain
	serving map[string]int  // serving instances that are not in the ledger, by domain
	count   int             // their sum
	out     map[string]bool // domains with instances out on purpose
	kept    Kept[record.Ledger]
	ledger  record.Ledger // as it is to become
	changed bool
}

func newPass(s State) *pass {
	return &pass{
		state:   s,
		known:   s.all(),
		byPool:  map[string][]*service{},
		wanted:  map[string]string{},
		zones:   map[string]bool{},
		taken:   map[string]int{},
		blocked: map[string]string{},
	}
}

// instance returns what the state knows of an instance; no record changes during a pass.
func (p *pass) instance(id string) (Kept[record.Instance], bool) {
	k, ok := p.known[id]
	return k, ok
}

// run decides in the order in which headroom is freed, then spent.
func (p *pass) run() {
	p.buildServices()
	if p.stale() {
		return
	}
	p.buildWanted()
	p.countServing()
	p.advanceInstances()
	p.releaseEntries()
	p.backOff()
	p.takeOut()
	p.flushLedgers()
	p.reportWaves()
	p.state.blocked = p.blocked
}

// stale returns whether a ledger shows a planner with a higher epoch.
func (p *pass) stale() bool {
	return slices.ContainsFunc(p.services, func(v *service) bool { return v.ledger.Epoch > p.state.epoch })
}

func (p *pass) buildServices() {
	pools := p.poolPlaces()
	for _, c := range p.state.fleet.Services {
		kept := p.state.Ledger(c.Name)
		v := &service{
			config:  c,
			domain:  c.Budget.ResolveDomain(pools[c.Pool]),
			serving: map[string]int{},
			out:     map[string]bool{},
			kept:    kept,
			ledger:  kept.Record,
		}
		p.services = append(p.services, v)
		p.byPool[c.Pool] = append(p.byPool[c.Pool], v)
	}
	slices.SortFunc(p.services, func(a, b *service) int { return strings.Compare(a.config.Name, b.config.Name) })
}

// poolPlaces returns the places of each pool's instances in any state.
func (p *pass) poolPlaces() map[string][]fleet.Place {
	pools := map[string][]fleet.Place{}
	for id, d := range p.state.declared {
		k, _ := p.instance(id)
		pools[k.Record.Pool] = append(pools[k.Record.Pool], d.instance.Place())
	}
	return pools
}

// countServing fills in what each service has serving and out before the pass spends anything.
func (p *pass) countServing() {
	for id := range p.state.declared {
		k, _ := p.instance(id)
		if k.Record.State != record.Serving || !p.state.Live(id) {
			continue
		}
		for _, v := range p.byPool[k.Record.Pool] {
			if !v.lists(id) {
				v.add(p.state.place(id), 1)
			}
		}
	}
	for _, v := range p.services {
		for _, id := range v.ledger.Out {
			if k, ok := p.instance(id); ok && !waits(k.Record) {
				v.out[v.domain.NameOf(p.state.place(id))] = true
			}
		}
	}
}

// waits returns whether the instance is out but waits for an operator or a repair, and so holds up no other domain.
func waits(r record.Instance) bool {
	return r.State == record.Out || r.State == record.Draining && r.Reason != ""
}

// managed returns whether the planner took the instance out; any other drain or outage is an operator's own.
func managed(r record.Instance) bool {
	return r.Wave != "" || r.Target != ""
}

func (p *pass) note(n Notice) {
	p.effects = append(p.effects, n)
}

// idle returns whether the key has no write under way or in doubt.
func (p *pass) idle(key string) bool {
	_, busy := p.state.open.Get(key)
	return !busy
}

// write emits a compare-and-swap on an idle key.
func (p *pass) write(r record.Record, expected int64) {
	if !p.idle(r.Key()) {
		return
	}
	p.state = p.state.withOpen(open{record: r})
	p.effects = append(p.effects, Write{Record: r, Expected: expected})
}

// lists returns whether the ledger has an entry for the instance.
func (v *service) lists(id string) bool {
	return slices.Contains(v.ledger.Out, id)
}

// add counts n more serving instances at the place.
func (v *service) add(at fleet.Place, n int) {
	v.serving[v.domain.NameOf(at)] += n
	v.count += n
}

// headroom returns how many serving instances may go while the loss of the largest domain leaves the budget.
func (v *service) headroom() int {
	loss := 0
	if v.domain != fleet.DomainNone {
		for _, n := range v.serving {
			loss = max(loss, n)
		}
	}
	return v.count - loss - v.config.Budget.Available
}

// headroomWithout returns the headroom after an instance at the place is taken out.
func (v *service) headroomWithout(at fleet.Place) int {
	v.add(at, -1)
	h := v.headroom()
	v.add(at, 1)
	return h
}
