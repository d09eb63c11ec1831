package entry

import (
	"maps"
	"time"

	"teaselloft/internal/decision/correct"
	"teaselloft/internal/decision/dispatch"
	"teaselloft/internal/decision/forward"
	"teaselloft/internal/decision/member"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

const (
	leaseMargin      = 200 * time.Millisecond // for clock rates and scheduling, before a lease can expire
	staticShareDelay = 3 * time.Second        // after the lease: by then an owner with the platform has seen it expire
	gracePeriod      = 30 * time.Second       // how long a grant can outlive its request's deadline
	drainTimeout     = 60 * time.Second       // longest life of a grant
)

// State is the immutable state of one entry instance.
type State struct {
	self            string
	zone            string
	fleet           fleet.Fleet
	nameIndex       correct.Index
	misspellings    correct.Counts
	ownership       member.State
	forward         forward.State
	dispatch        map[string]dispatch.State  // by service that this entry instance owns
	awaitingClaim   map[string]epoch           // epochs that wait for their claim to be read
	endedEpochs     map[string]epoch           // ended epochs whose grants are still in flight
	clearedEpochs   map[string]uint64          // epoch whose grants all came back, by service
	renewalFailedAt time.Time                  // when the latest keep-alive without an answer was sent
	staticShares    map[string]bool            // services served from static shares
	instances       map[string]record.Instance // by identifier
	backups         map[message.ID]backup      // grants that owners gave to requests of their own
	loadReports     map[string]loadReport      // in-flight requests of services by executor
	listings        map[string]message.Listing // by identifier; nil before the first list
}

// epoch is what is remembered of an epoch outside its dispatch state.
type epoch struct {
	number          uint64
	previousMembers []string // members of the previous owner record
	currentMembers  []string // members of this epoch's owner record
	absent          []record.AbsentMember
	grants          map[message.ID]backup // in flight
}

// loadReport is what a service's owner last said about its executors.
type loadReport struct {
	at    time.Time
	loads map[string]int
}

// maxReportAge is how long a report counts; a drained instance must be seen idle by a fresh one.
const maxReportAge = 3 * time.Second

// InFlight returns the requests in flight at an instance by the owner's latest report, or -1 when there is no fresh one.
func (s State) InFlight(instance string, now time.Time) int {
	for _, r := range s.loadReports {
		if n, ok := r.loads[instance]; ok && now.Sub(r.at) < maxReportAge {
			return n
		}
	}
	return -1
}

// Drained says whether this entry instance has nothing left to hand over: no request, no
// service and no write of an owner record that its lease still allows. Grants that it gave
// to other entry instances come back to the next owner.
func (s State) Drained(now time.Time) bool {
	done := len(s.ownership.Held()) == 0 && len(s.awaitingClaim) == 0
	return done && s.forward.Len() == 0 && (s.ownership.Idle() || !now.Before(s.ownership.Until()))
}

// New returns the state of the entry instance with the given name and availability zone.
func New(self, zone string) State {
	return State{
		self:          self,
		zone:          zone,
		misspellings:  correct.NewCounts(),
		ownership:     member.New(self),
		forward:       forward.New(self),
		dispatch:      map[string]dispatch.State{},
		awaitingClaim: map[string]epoch{},
		endedEpochs:   map[string]epoch{},
		clearedEpochs: map[string]uint64{},
		staticShares:  map[string]bool{},
		instances:     map[string]record.Instance{},
		loadReports:   map[string]loadReport{},
		backups:       map[message.ID]backup{},
	}
}

// Fleet returns the configuration in force.
func (s State) Fleet() fleet.Fleet { return s.fleet }

// Misspellings returns the misspelled names.
func (s State) Misspellings() correct.Counts { return s.misspellings }

// NameIndex returns the name index of the configuration in force.
func (s State) NameIndex() correct.Index { return s.nameIndex }

// Ownership returns the ownership state.
func (s State) Ownership() member.State { return s.ownership }

// Forward returns the state of the requests that this entry instance took.
func (s State) Forward() forward.State { return s.forward }

// Dispatch returns the dispatch state of a service that this entry instance owns.
func (s State) Dispatch(service string) (dispatch.State, bool) {
	d, ok := s.dispatch[service]
	return d, ok
}

// Dispatches returns the dispatch states by service.
func (s State) Dispatches() map[string]dispatch.State { return maps.Clone(s.dispatch) }

// UsesStaticShare says whether a service is served from static shares.
func (s State) UsesStaticShare(service string) bool { return s.staticShares[service] }

// hasConfig says whether a configuration was ever seen.
func (s State) hasConfig() bool { return s.fleet.Version > 0 }

// serviceNames returns the names of all serviceNames, with the planner.
func (s State) serviceNames() []string {
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
	if s.listings == nil {
		return true
	}
	l, ok := s.listings[id]
	return ok && l.State == "live"
}
