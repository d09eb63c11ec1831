package wave

import (
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// Versioned is a record as the planner knows it.
type Versioned[T record.Record] struct {
	Record   T
	Revision int64 // 0 when the key does not exist
}

// pendingWrite is a write whose result is not known.
type pendingWrite struct {
	record   record.Record
	inDoubt  bool      // the answer was a conflict or was lost: the key is read before it is written again
	rereadAt time.Time // when to read it again
}

// inFlightCount is the last known number of requests in inFlightCount at an instance.
type inFlightCount struct {
	count      int
	observedAt time.Time
}

// drainStart says when a drainStart was first seen in force.
//
// A write whose answer is lost can take effect long after the time in the record, so that time does
// not tell since when the entry instances send no new work.
type drainStart struct {
	since      time.Time // of the record, which tells one drain from the next
	observedAt time.Time
}

// State is what the planner knows; it is an immutable value.
type State struct {
	settings   Settings
	now        time.Time
	epoch      uint64 // 0 while this process is not the planner
	leaseUntil time.Time
	loaded     bool // every record was read in this epoch
	nextLoad   time.Time

	fleet    fleet.Fleet
	declared map[string]declaredInstance // by instance

	instances *immutable.SortedMap[string, Versioned[record.Instance]]
	ledgers   *immutable.SortedMap[string, Versioned[record.Ledger]]
	waves     *immutable.SortedMap[string, Versioned[record.Wave]]

	watchRevision int64                               // highest revision that the watch brought
	readAhead     *immutable.SortedMap[string, int64] // revision of a ledger read back before the watch brought it, by service

	live         map[string]message.Listing // replaced as a whole
	listedAt     time.Time
	listAgeKnown bool // unchanged lists are confirmed, so that the age of the list is known

	absentAt      *immutable.SortedMap[string, time.Time] // when an instance out of service was last absent from the list
	inFlight      *immutable.SortedMap[string, inFlightCount]
	drainStarts   *immutable.SortedMap[string, drainStart]
	pendingWrites *immutable.SortedMap[string, pendingWrite] // by key
	cooldowns     *immutable.SortedMap[string, time.Time]    // services that lost instances, until when nothing is taken out
	nextReports   *immutable.SortedMap[string, time.Time]    // when the progress may be written again, by wave
	blocked       map[string]string                          // why a wanted instance is not taken out, by instance; replaced as a whole
}

type declaredInstance struct {
	instance fleet.Instance
	pool     string
}

// New returns a state that knows nothing.
func New(s Settings) State {
	return State{
		settings:      s,
		instances:     immutable.NewSortedMap[string, Versioned[record.Instance]](nil),
		ledgers:       immutable.NewSortedMap[string, Versioned[record.Ledger]](nil),
		waves:         immutable.NewSortedMap[string, Versioned[record.Wave]](nil),
		readAhead:     immutable.NewSortedMap[string, int64](nil),
		absentAt:      immutable.NewSortedMap[string, time.Time](nil),
		drainStarts:   immutable.NewSortedMap[string, drainStart](nil),
		inFlight:      immutable.NewSortedMap[string, inFlightCount](nil),
		pendingWrites: immutable.NewSortedMap[string, pendingWrite](nil),
		cooldowns:     immutable.NewSortedMap[string, time.Time](nil),
		nextReports:   immutable.NewSortedMap[string, time.Time](nil),
	}
}

// WithFleet returns a copy with the given fleet.
func (s State) WithFleet(f fleet.Fleet) State {
	s.fleet = f
	s.declared = make(map[string]declaredInstance)
	for _, p := range f.Pools {
		for _, i := range p.Instances {
			s.declared[i.ID] = declaredInstance{instance: i, pool: p.Name}
		}
	}
	return s
}

// WithInstance returns a copy that knows the record of an instance.
func (s State) WithInstance(r record.Instance, revision int64) State {
	s.instances = s.instances.Set(r.ID, Versioned[record.Instance]{Record: r, Revision: revision})
	return s
}

// WithLedger returns a copy that knows the ledger of a service.
func (s State) WithLedger(r record.Ledger, revision int64) State {
	s.ledgers = s.ledgers.Set(r.Service, Versioned[record.Ledger]{Record: r, Revision: revision})
	return s
}

// WithWave returns a copy that knows a wave.
func (s State) WithWave(r record.Wave, revision int64) State {
	s.waves = s.waves.Set(r.ID, Versioned[record.Wave]{Record: r, Revision: revision})
	return s
}

// WithNow returns a copy at the given time, which never runs backwards.
func (s State) WithNow(t time.Time) State {
	if t.After(s.now) {
		s.now = t
	}
	return s
}

// withPendingWrite returns a copy in which the record has a write under way.
func (s State) withPendingWrite(o pendingWrite) State {
	s.pendingWrites = s.pendingWrites.Set(o.record.Key(), o)
	return s
}

// withoutPendingWrite returns a copy in which the key may be written.
func (s State) withoutPendingWrite(key string) State {
	s.pendingWrites = s.pendingWrites.Delete(key)
	return s
}

// Instance returns the record of an instance; an instance without one serves in its declared pool at revision 0.
func (s State) Instance(id string) (Versioned[record.Instance], bool) {
	d, known := s.declared[id]
	if k, ok := s.instances.Get(id); ok {
		if k.Record.Pool == "" {
			k.Record.Pool = d.pool
		}
		return k, true
	}
	if !known {
		return Versioned[record.Instance]{}, false
	}
	return Versioned[record.Instance]{Record: record.Instance{ID: id, Pool: d.pool, State: record.Serving}}, true
}

// allInstances returns every declared or recorded instance.
func (s State) allInstances() map[string]Versioned[record.Instance] {
	known := make(map[string]Versioned[record.Instance], len(s.declared))
	for itr := s.instances.Iterator(); !itr.Done(); {
		id, k, _ := itr.Next()
		if k.Record.Pool == "" {
			k.Record.Pool = s.declared[id].pool
		}
		known[id] = k
	}
	for id, d := range s.declared {
		if _, recorded := known[id]; !recorded {
			known[id] = Versioned[record.Instance]{Record: record.Instance{ID: id, Pool: d.pool, State: record.Serving}}
		}
	}
	return known
}

// Ledger returns the ledger of a service, which is empty at revision 0 when there is none.
func (s State) Ledger(service string) Versioned[record.Ledger] {
	if k, ok := s.ledgers.Get(service); ok {
		return k
	}
	return Versioned[record.Ledger]{Record: record.Ledger{Service: service}}
}

// Wave returns a wave and whether there is one.
func (s State) Wave(id string) (Versioned[record.Wave], bool) {
	return s.waves.Get(id)
}

// Fleet returns the fleet in force.
func (s State) Fleet() fleet.Fleet { return s.fleet }

// Epoch returns the planner's epoch, or 0 while this process may not act.
func (s State) Epoch() uint64 {
	if !s.mayAct() {
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
	if s.listAgeKnown || s.live == nil {
		return s.listedAt
	}
	return s.now
}

// mayAct returns whether this process may decide: it proves to be the planner and knows the fleet and every record.
func (s State) mayAct() bool {
	return s.epoch > 0 && s.loaded && s.declared != nil && s.now.Before(s.leaseUntil)
}

// place returns where an instance runs, by the fleet or else by the instance list.
func (s State) place(id string) fleet.Place {
	if d, ok := s.declared[id]; ok {
		return d.instance.Place()
	}
	l := s.live[id]
	return fleet.Place{Zone: l.Zone, Rack: l.Rack}
}
