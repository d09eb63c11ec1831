package wave

import (
	"time"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/benbjohnson/immutable"
)

// Versioned is a record and its revision in the key-value store.
type Versioned[T record.Record] struct {
	Record   T
	Revision int64 // 0 if the key does not exist
}

// pendingWrite is a write whose result is not known yet.
type pendingWrite struct {
	record   record.Record
	inDoubt  bool      // the answer was a conflict or was lost, so the key must be read before it is written again
	rereadAt time.Time // when to read the key again
}

// inFlightCount is the last reported number of requests in flight at an instance.
type inFlightCount struct {
	count      int
	observedAt time.Time
}

// drainStart records when a drain was first observed.
//
// A write whose answer is lost can take effect long after the time in its record. That time therefore does not tell
// since when the entry instances send no new requests.
type drainStart struct {
	since      time.Time // time in the record, which identifies the drain
	observedAt time.Time
}

// State is the planner's state. It is immutable.
type State struct {
	settings   Settings
	now        time.Time
	epoch      uint64    // 0 while this process does not own the planner
	validUntil time.Time // until when the ownership is known to be valid
	loaded     bool      // all records were read in this epoch
	nextLoad   time.Time // when to request the records again

	fleet    fleet.Fleet
	declared map[string]declaredInstance // by instance

	instances *immutable.SortedMap[string, Versioned[record.Instance]]
	ledgers   *immutable.SortedMap[string, Versioned[record.Ledger]]
	waves     *immutable.SortedMap[string, Versioned[record.Wave]]

	watchRevision int64                               // highest revision that the watch delivered
	readAhead     *immutable.SortedMap[string, int64] // by service: ledger revision read back ahead of the watch

	live         map[string]message.Listing // by instance; replaced, never modified
	listedAt     time.Time                  // when the instance list was last reported or confirmed
	listAgeKnown bool                       // a ListConfirmed has arrived, so listedAt tells the age of the list

	absentAt      *immutable.SortedMap[string, time.Time]     // by instance out of service: when the list last omitted it
	inFlight      *immutable.SortedMap[string, inFlightCount] // by instance
	drainStarts   *immutable.SortedMap[string, drainStart]    // by instance
	pendingWrites *immutable.SortedMap[string, pendingWrite]  // by key
	cooldowns     *immutable.SortedMap[string, time.Time]     // by service: when it ends
	nextReports   *immutable.SortedMap[string, time.Time]     // by wave: when its progress may be written again
	blocked       map[string]string                           // by instance: why it waits; replaced, never modified
}

// declaredInstance is an instance of the configuration and its declared pool.
type declaredInstance struct {
	instance fleet.Instance
	pool     string
}

// New returns a state without any records or lists.
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

// WithInstance returns a copy with the record of an instance.
func (s State) WithInstance(r record.Instance, revision int64) State {
	s.instances = s.instances.Set(r.ID, Versioned[record.Instance]{Record: r, Revision: revision})
	return s
}

// WithLedger returns a copy with the ledger of a service.
func (s State) WithLedger(r record.Ledger, revision int64) State {
	s.ledgers = s.ledgers.Set(r.Service, Versioned[record.Ledger]{Record: r, Revision: revision})
	return s
}

// WithWave returns a copy with a wave.
func (s State) WithWave(r record.Wave, revision int64) State {
	s.waves = s.waves.Set(r.ID, Versioned[record.Wave]{Record: r, Revision: revision})
	return s
}

// WithNow returns a copy at the given time, or at the current one if that is later.
func (s State) WithNow(t time.Time) State {
	if t.After(s.now) {
		s.now = t
	}
	return s
}

// withPendingWrite returns a copy in which the write is pending.
func (s State) withPendingWrite(pending pendingWrite) State {
	s.pendingWrites = s.pendingWrites.Set(pending.record.Key(), pending)
	return s
}

// withoutPendingWrite returns a copy in which no write of the key is pending.
func (s State) withoutPendingWrite(key string) State {
	s.pendingWrites = s.pendingWrites.Delete(key)
	return s
}

// Instance returns the record of an instance and whether the instance is known. A declared instance without a record
// serves in its declared pool at revision 0.
func (s State) Instance(id string) (Versioned[record.Instance], bool) {
	d, known := s.declared[id]
	if stored, ok := s.instances.Get(id); ok {
		if stored.Record.Pool == "" {
			stored.Record.Pool = d.pool
		}
		return stored, true
	}
	if !known {
		return Versioned[record.Instance]{}, false
	}
	return Versioned[record.Instance]{Record: record.Instance{ID: id, Pool: d.pool, State: record.Serving}}, true
}

// allInstances returns every declared or recorded instance by ID.
func (s State) allInstances() map[string]Versioned[record.Instance] {
	known := make(map[string]Versioned[record.Instance], len(s.declared))
	for itr := s.instances.Iterator(); !itr.Done(); {
		id, stored, _ := itr.Next()
		if stored.Record.Pool == "" {
			stored.Record.Pool = s.declared[id].pool
		}
		known[id] = stored
	}
	for id, d := range s.declared {
		if _, recorded := known[id]; !recorded {
			known[id] = Versioned[record.Instance]{Record: record.Instance{ID: id, Pool: d.pool, State: record.Serving}}
		}
	}
	return known
}

// Ledger returns the ledger of a service, empty at revision 0 if there is none.
func (s State) Ledger(service string) Versioned[record.Ledger] {
	if stored, ok := s.ledgers.Get(service); ok {
		return stored
	}
	return Versioned[record.Ledger]{Record: record.Ledger{Service: service}}
}

// Wave returns a wave and whether it exists.
func (s State) Wave(id string) (Versioned[record.Wave], bool) {
	return s.waves.Get(id)
}

// Fleet returns the fleet of the configuration.
func (s State) Fleet() fleet.Fleet { return s.fleet }

// Epoch returns the planner's epoch, or 0 while this process may not make decisions.
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

// listTime returns when the instance list was last known to be current. If no list has ever been confirmed, only
// changes are reported, and the last list counts as current.
func (s State) listTime() time.Time {
	if s.listAgeKnown || s.live == nil {
		return s.listedAt
	}
	return s.now
}

// mayAct returns whether this process may make decisions: its ownership is valid, and the fleet and all records are
// known.
func (s State) mayAct() bool {
	return s.epoch > 0 && s.loaded && s.declared != nil && s.now.Before(s.validUntil)
}

// place returns the place of an instance as declared, or for an undeclared one as listed.
func (s State) place(id string) fleet.Place {
	if d, ok := s.declared[id]; ok {
		return d.instance.Place()
	}
	l := s.live[id]
	return fleet.Place{Zone: l.Zone, Rack: l.Rack}
}
