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
	leaseMargin      = 200 * time.Millisecond // subtracted from the lease time, for clock drift and scheduling delays
	staticShareDelay = 3 * time.Second        // after lease expiry; by then an owner with access to the platform has seen it
	gracePeriod      = 30 * time.Second       // how long a grant can outlive the deadline of its request
	drainTimeout     = 60 * time.Second       // maximum lifetime of a grant: the longest Request-Timeout plus gracePeriod
)

// State is the immutable state of one entry instance.
type State struct {
	self              string
	zone              string
	fleet             fleet.Fleet
	nameIndex         correct.Index
	misspellings      correct.Counts
	ownership         ownership.State
	forward           forward.State
	dispatch          map[string]dispatch.State   // by owned service
	awaitingClaim     map[string]epoch            // new epochs whose claim is being read, by service
	endedEpochs       map[string]epoch            // ended epochs that have grants in flight, by service
	clearedEpochs     map[string]uint64           // latest epoch without grants in flight, by service
	failedRenewalSent time.Time                   // when the last keep-alive that got no answer was sent
	staticShares      map[string]bool             // services for which the static share is in use
	instances         map[string]record.Instance  // by identifier
	backups           map[message.ID]trackedGrant // backup copies of the grants that owners gave to their own requests
	loadReports       map[string]loadReport       // by service
	listings          map[string]message.Listing  // instance list by identifier, nil before the first list
}

// epoch is an epoch that has no dispatch state: it has not started yet, or it has ended.
type epoch struct {
	number          uint64
	previousMembers []string                    // members of the previous owner record
	currentMembers  []string                    // members of this epoch's owner record
	absent          []record.AbsentMember       // members of earlier epochs that may still use a static share
	grants          map[message.ID]trackedGrant // of an ended epoch, not yet released
}

// loadReport is the last report of a service's owner on the requests in flight by executor.
type loadReport struct {
	at    time.Time
	loads map[string]int
}

// maxReportAge is how long a report is valid. An instance is considered drained only on a valid report.
const maxReportAge = 3 * time.Second

// InFlight returns the number of requests in flight on an instance according to the owner's last report, or -1 if
// there is no valid report.
func (s State) InFlight(instance string, now time.Time) int {
	for _, r := range s.loadReports {
		if n, ok := r.loads[instance]; ok && now.Sub(r.at) < maxReportAge {
			return n
		}
	}
	return -1
}

// Drained reports whether this entry instance can stop: it has no request, owns no service, and no write of an owner
// record that is in progress can make it an owner, which no write can after its lease has expired. Grants that it gave
// to other entry instances are released to the next owner.
func (s State) Drained(now time.Time) bool {
	done := len(s.ownership.OwnedEpochs()) == 0 && len(s.awaitingClaim) == 0
	return done && s.forward.Len() == 0 && (s.ownership.Idle() || !now.Before(s.ownership.LeaseValidUntil()))
}

// New returns the state of the entry instance with the given name and availability zone.
func New(self, zone string) State {
	return State{
		self:          self,
		zone:          zone,
		misspellings:  correct.NewCounts(),
		ownership:     ownership.New(self),
		forward:       forward.New(self),
		dispatch:      map[string]dispatch.State{},
		awaitingClaim: map[string]epoch{},
		endedEpochs:   map[string]epoch{},
		clearedEpochs: map[string]uint64{},
		staticShares:  map[string]bool{},
		instances:     map[string]record.Instance{},
		loadReports:   map[string]loadReport{},
		backups:       map[message.ID]trackedGrant{},
	}
}

// Fleet returns the current configuration.
func (s State) Fleet() fleet.Fleet { return s.fleet }

// Misspellings returns the counts of misspelled names.
func (s State) Misspellings() correct.Counts { return s.misspellings }

// NameIndex returns the name index of the current configuration.
func (s State) NameIndex() correct.Index { return s.nameIndex }

// Ownership returns the ownership state.
func (s State) Ownership() ownership.State { return s.ownership }

// Forward returns the state of the requests that this entry instance accepted.
func (s State) Forward() forward.State { return s.forward }

// Dispatch returns the dispatch state of a service if this entry instance owns it.
func (s State) Dispatch(service string) (dispatch.State, bool) {
	d, ok := s.dispatch[service]
	return d, ok
}

// Dispatches returns the dispatch states of the owned services.
func (s State) Dispatches() map[string]dispatch.State { return maps.Clone(s.dispatch) }

// UsesStaticShare reports whether requests to a service use the static share of this entry instance.
func (s State) UsesStaticShare(service string) bool { return s.staticShares[service] }

// hasConfig reports whether a configuration was received.
func (s State) hasConfig() bool { return s.fleet.Version > 0 }

// serviceNames returns the names of all services and that of the planner.
func (s State) serviceNames() []string {
	return append(s.fleet.Names(), message.PlannerService)
}

// executors returns the executors of a service and whether each may get requests. The pool in an instance's record
// takes precedence over the pool in the configuration.
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

// available reports whether an instance may get requests: it is serving and, once there is an instance list, it is
// listed as live. An instance without a record counts as serving.
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
