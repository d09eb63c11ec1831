package wave

import (
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// Kept is a record as the planner knows it.
type Kept[T record.Record] struct {
	Record   T
	Revision int64 // 0 when the key does not exist
}

// open is a write whose result is not known.
type open struct {
	record record.Record
	doubt  bool      // the answer was a conflict or was lost: the key is read before it is written again
	next   time.Time // when to read it again
}

// flight is the last known number of requests in flight at an instance.
type flight struct {
	count int
	at    time.Time
}

// drain says when a drain was first seen in force.
//
// A write whose answer is lost can take effect long after the time in the record, so that time does
// not tell since when the entry instances send no new work.
type drain struct {
	since time.Time // of the record, which tells one drain from the next
	seen  time.Time
}

// State is what the planner knows; it is an immutable value.
type State struct {
	settings Settings
	now      time.Time
	epoch    uint64 // 0 while this process is not the planner
	until    time.Time
	loaded   bool // every record was read in this epoch
	loading  time.Time

	fleet    fleet.Fleet
	declared map[string]declared // by instance

	instances *immutable.SortedMap[string, Kept[record.Instance]]
	ledgers   *immutable.SortedMap[string, Kept[record.Ledger]]
	waves     *immutable.SortedMap[string, Kept[record.Wave]]

	watched int64                               // highest revision that the watch brought
	ahead   *immutable.SortedMap[string, int64] // revision of a ledger read back before the watch brought it, by service

	live     map[string]message.Listing // replaced as a whole
	listedAt time.Time
	confirms bool // unchanged lists are confirmed, so that the age of the list is known

	gone    *immutable.SortedMap[string, time.Time] // when an instance out of service was last absent from the list
	flights *immutable.SortedMap[string, flight]
	drains  *immutable.SortedMap[string, drain]
	open    *immutable.SortedMap[string, open]      // by key
	held    *immutable.SortedMap[string, time.Time] // services that lost instances, until when nothing is taken out
	reports *immutable.SortedMap[string, time.Time] // when the progress may be written again, by wave
	blocked map[string]string                       // why a wanted instance is not taken out, by instance; replaced as a whole
}

type declared struct {
	instance fleet.Instance
	pool     string
}

// New returns a state that knows nothing.
func New(s Settings) State {
	return State{
		settings:  s,
		instances: immutable.NewSortedMap[string, Kept[record.Instance]](nil),
		ledgers:   immutable.NewSortedMap[string, Kept[record.Ledger]](nil),
		waves:     immutable.NewSortedMap[string, Kept[record.Wave]](nil),
		ahead:     immutable.NewSortedMap[string, int64](nil),
		gone:      immutable.NewSortedMap[string, time.Time](nil),
		drains:    immutable.NewSortedMap[string, drain](nil),
		flights:   immutable.NewSortedMap[string, flight](nil),
		open:      immutable.NewSortedMap[string, open](nil),
		held:      immutable.NewSortedMap[string, time.Time](nil),
		reports:   immutable.NewSortedMap[string, time.Time](nil),
	}
}

// WithFleet returns a copy with the given fleet.
func (s State) WithFleet(f fleet.Fleet) State {
	s.fleet = f
	s.declared = make(map[string]declared)
	for _, p := range f.Pools {
		for _, i := range p.Instances {
			s.declared[i.ID] = declared{instance: i, pool: p.Name}
		}
	}
	return s
}

// WithInstance returns a copy that knows the record of an instance.
func (s State) WithInstance(r record.Instance, revision int64) State {
	s.instances = s.instances.Set(r.ID, Kept[record.Instance]{Record: r, Revision: revision})
	return s
}

// WithLedger returns a copy that knows the ledger of a service.
func (s State) WithLedger(r record.Ledger, revision int64) State {
	s.ledgers = s.ledgers.Set(r.Service, Kept[record.Ledger]{Record: r, Revision: revision})
	return s
}

// WithWave returns a copy that knows a wave.
func (s State) WithWave(r record.Wave, revision int64) State {
	s.waves = s.waves.Set(r.ID, Kept[record.Wave]{Record: r, Revision: revision})
	return s
}

// WithNow returns a copy at the given time, which never runs backwards.
func (s State) WithNow(t time.Time) State {
	if t.After(s.now) {
		s.now = t
	}
	return s
}

// withOpen returns a copy in which the record has a write under way.
func (s State) withOpen(o open) State {
	s.open = s.open.Set(o.record.Key(), o)
	return s
}

// withClosed returns a copy in which the key may be written.
func (s State) withClosed(key string) State {
	s.open = s.open.Delete(key)
	return s
}

// Instance returns the record of an instance; an instance without one serves in its declared pool at revision 0.
func (s State) Instance(id string) (Kept[record.Instance], bool) {
	d, known := s.declared[id]
	if k, ok := s.instances.Get(id); ok {
		if k.Record.Pool == "" {
			k.Record.Pool = d.pool
		}
		return k, true
	}
	if !known {
		return Kept[record.Instance]{}, false
	}
	return Kept[record.Instance]{Record: record.Instance{ID: id, Pool: d.pool, State: record.Serving}}, true
}

// all returns every declared or recorded instance.
func (s State) all() map[string]Kept[record.Instance] {
	known := make(map[string]Kept[record.Instance], len(s.declared))
	for itr := s.instances.Iterator(); !itr.Done(); {
		id, k, _ := itr.Next()
		if k.Record.Pool == "" {
			k.Record.Pool = s.declared[id].pool
		}
		known[id] = k
	}
	for id, d := range s.declared {
		if _, recorded := known[id]; !recorded {
			known[id] = Kept[record.Instance]{Record: record.Instance{ID: id, Pool: d.pool, State: record.Serving}}
		}
	}
	return known
}

// Ledger returns the ledger of a service, which is empty at revision 0 when there is none.
func (s State) Ledger(service string) Kept[record.Ledger] {
	if k, ok := s.ledgers.Get(service); ok {
		return k
	}
	return Kept[record.Ledger]{Record: record.Ledger{Service: service}}
}

// Wave returns a wave and whether there is one.
func (s State) Wave(id string) (Kept[record.Wave], bool) {
	return s.waves.Get(id)
}

// Fleet returns the fleet in force.
func (s State) Fleet() fleet.Fleet { return s.fleet }

// Epoch returns the planner's epoch, or 0 while this process may not act.
func (s State) Epoch() uint64 {
	if !s.acts() {
		return 0
	}
	return s.epoch
}

// Live returns whether the instance list shows the instance as live.
func (s State) Live(id string) bool {
	return s.live[id].State == "live"
}

// listTime returns when the instance list was last known to be current; without confirmations that is now.
func (s State) listTime() time.Time {
	if s.confirms || s.live == nil {
		return s.listedAt
	}
	return s.now
}

// acts returns whether this process may decide: it proves to be the planner and knows the fleet and every record.
func (s State) acts() bool {
	return s.epoch > 0 && s.loaded && s.declared != nil && s.now.Before(s.until)
}

// place returns where an instance runs, by the fleet or else by the instance list.
func (s State) place(id string) fleet.Place {
	if d, ok := s.declared[id]; ok {
		return d.instance.Place()
	}
	l := s.live[id]
	return fleet.Place{Zone: l.Zone, Rack: l.Rack}
}
