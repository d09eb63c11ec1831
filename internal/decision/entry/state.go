package entry

import (
	"maps"
	"time"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/decision/ownership"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

const (
	leaseMargin = 200 * time.Millisecond // for clock rates and scheduling, before a lease can expire
	staticDelay = 3 * time.Second        // after the lease: by then an owner with the platform has seen it expire
	linger      = 30 * time.Second       // how long a grant can outlive its request's deadline
	drainLimit  = 60 * time.Second       // longest life of a grant
)

// State is the immutable state of one entry instance.
type State struct {
	self       string
	zone       string
	fleet      fleet.Fleet
	index      correct.Index
	counts     correct.Counts
	member     ownership.State
	forward    forward.State
	dispatch   map[string]dispatch.State  // by service that this entry instance owns
	starting   map[string]epoch           // epochs that wait for their claim to be read
	clearing   map[string]epoch           // ended epochs whose grants are still in flight
	cleared    map[string]uint64          // epoch whose grants all came back, by service
	unanswered time.Time                  // when the latest keep-alive without an answer was sent
	static     map[string]bool            // services served from static shares
	instances  map[string]record.Instance // by identifier
	backups    map[message.ID]backup      // grants that owners gave to requests of their own
	reports    map[string]report          // in-flight requests of services by executor
	listed     map[string]message.Listing // by identifier; nil before the first list
}

// epoch is what is remembered of an epoch outside its dispatch state.
type epoch struct {
	number  uint64
	shared  []string // members of the previous owner record
	current []string // members of this epoch's owner record
	absent  []record.AbsentMember
	grants  map[message.ID]backup // in flight
}

// report is what a service's owner last said about its executors.
type report struct {
	at    time.Time
	loads map[string]int
}

// reportLife is how long a report counts; a drained instance must be seen idle by a fresh one.
const reportLife = 3 * time.Second

// InFlight returns the requests in flight at an instance by the owner's latest report, or -1 when there is no fresh one.
func (s State) InFlight(instance string, now time.Time) int {
	for _, r := range s.reports {
		if n, ok := r.loads[instance]; ok && now.Sub(r.at) < reportLife {
			return n
		}
	}
	return -1
}

// Settled says whether this entry instance has nothing left to hand over: no request, no
// service and no write of an owner record that its lease still allows. Grants that it gave
// to other entry instances come back to the next owner.
func (s State) Settled(now time.Time) bool {
	done := len(s.member.OwnedEpochs()) == 0 && len(s.starting) == 0
	return done && s.forward.Len() == 0 && (s.member.Idle() || !now.Before(s.member.LeaseValidUntil()))
}

// New returns the state of the entry instance with the given name and availability zone.
func New(self, zone string) State {
	return State{
		self:      self,
		zone:      zone,
		counts:    correct.NewCounts(),
		member:    ownership.New(self),
		forward:   forward.New(self),
		dispatch:  map[string]dispatch.State{},
		starting:  map[string]epoch{},
		clearing:  map[string]epoch{},
		cleared:   map[string]uint64{},
		static:    map[string]bool{},
		instances: map[string]record.Instance{},
		reports:   map[string]report{},
		backups:   map[message.ID]backup{},
	}
}

// Fleet returns the configuration in force.
func (s State) Fleet() fleet.Fleet { return s.fleet }

// Counts returns the misspelled names.
func (s State) Counts() correct.Counts { return s.counts }

// Index returns the name index of the configuration in force.
func (s State) Index() correct.Index { return s.index }

// Member returns the ownership state.
func (s State) Member() ownership.State { return s.member }

// Forward returns the state of the requests that this entry instance took.
func (s State) Forward() forward.State { return s.forward }

// Dispatch returns the dispatch state of a service that this entry instance owns.
func (s State) Dispatch(service string) (dispatch.State, bool) {
	d, ok := s.dispatch[service]
	return d, ok
}

// Owned returns the dispatch states by service.
func (s State) Owned() map[string]dispatch.State { return maps.Clone(s.dispatch) }

// Static says whether a service is served from static shares.
func (s State) Static(service string) bool { return s.static[service] }

// configured says whether a configuration was ever seen.
func (s State) configured() bool { return s.fleet.Version > 0 }

// services returns the names of all services, with the planner.
func (s State) services() []string {
	return append(s.fleet.Names(), message.PlannerService)
}

// executors returns the executors of a service; one that is not serving or that is leaving is not available.
func (s State) executors(v fleet.Service) []dispatch.Candidate {
	var candidates []dispatch.Candidate
	for _, p := range s.fleet.Pools {
		for _, i := range p.Instances {
			r, known := s.instances[i.ID]
			if known && r.Pool != v.Pool || !known && p.Name != v.Pool {
				continue
			}
			candidates = append(candidates, dispatch.Candidate{
				Executor:  message.Executor{ID: i.ID, Address: i.Address, Zone: i.Zone},
				Available: s.available(i.ID, r, known),
			})
		}
	}
	return candidates
}

// available says whether an instance may get work; one that the list does not show yet or has lost may not.
func (s State) available(id string, r record.Instance, known bool) bool {
	if known && r.State != record.Serving {
		return false
	}
	if s.listed == nil {
		return true
	}
	l, ok := s.listed[id]
	return ok && l.State == "live"
}
