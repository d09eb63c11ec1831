package forward

import (
	"time"

	"github.com/benbjohnson/immutable"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// MaxWaiting limits the number of requests that wait for an owner of their service.
const MaxWaiting = 4096

// State is the immutable state of the requests that one entry instance accepted.
type State struct {
	self           string
	requests       *immutable.Map[uint64, request] // by sequence
	waitingCount   int                             // requests in phase waiting
	owners         map[string]ownerTarget          // by service
	gatheredEpochs map[string]uint64               // by service; grants of lower epochs are rejected
	static         map[string][]ExecutorSlots      // slots usable without a grant, by service
	keys           Keys
	fetchingCount  int     // requests in phase fetching
	retryBudget    float64 // retries available
}

// ownerTarget is the owner to which the grant requests of a service go.
type ownerTarget struct {
	owner     record.Owner
	reachable bool
	downSince time.Time // when the link to a live owner went down, zero if it is up
	retryAt   time.Time // when an unreachable or unready owner is asked again, zero for never
}

// phase is the stage of a request.
type phase int

const (
	waiting  phase = iota // for a reachable owner
	asked                 // a grant request was sent to the owner
	granted               // the caller link sends it to the executor
	fetching              // the stored answer to a duplicate was requested from another entry instance
)

// request holds a request of a caller from its arrival to its last verdict.
type request struct {
	request      message.Request
	correction   string
	config       uint64
	phase        phase
	owner        string // entry instance that was asked for the grant
	epoch        uint64
	executor     string
	static       bool            // uses a static slot instead of a grant
	exclude      []string        // executors on which the request failed
	fetchStarted time.Time       // when the stored answer was requested
	holder       string          // entry instance that may have the stored answer
	refusal      message.Refusal // to answer with if the holder has no answer
}

// New returns the state of the entry instance with the given name.
func New(self string) State {
	return State{
		self:           self,
		requests:       immutable.NewMap[uint64, request](nil),
		owners:         map[string]ownerTarget{},
		gatheredEpochs: map[string]uint64{},
		static:         map[string][]ExecutorSlots{},
		keys:           NewKeys(),
		retryBudget:    retryBurst,
	}
}

// GatheredEpoch returns the latest epoch of a service in which the owner gathered this entry instance's grants.
func (s State) GatheredEpoch(service string) uint64 {
	return s.gatheredEpochs[service]
}

// Len returns the number of requests between arrival and last verdict.
func (s State) Len() int {
	return s.requests.Len()
}

// PhaseCounts returns the number of requests in each phase by service.
func (s State) PhaseCounts() map[string]PhaseCounts {
	counts := map[string]PhaseCounts{}
	for it := s.requests.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		counts[q.request.Service] = counts[q.request.Service].withIncremented(q.phase)
	}
	return counts
}

// PhaseCounts holds the number of requests of a service in each phase.
type PhaseCounts struct {
	Waiting  int `json:"waiting"`
	Asked    int `json:"asked"`
	Granted  int `json:"granted"`
	Fetching int `json:"fetching"`
}

// withIncremented returns a copy that counts one more request in a phase.
func (c PhaseCounts) withIncremented(p phase) PhaseCounts {
	switch p {
	case waiting:
		c.Waiting++
	case asked:
		c.Asked++
	case granted:
		c.Granted++
	case fetching:
		c.Fetching++
	}
	return c
}

// InFlight returns the number of granted requests by executor.
func (s State) InFlight() map[string]int {
	counts := map[string]int{}
	for it := s.requests.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		if q.phase == granted {
			counts[q.executor]++
		}
	}
	return counts
}

func (s State) withRequest(q request) State {
	s = s.withoutRequest(q.request.ID)
	s = s.withPhaseCount(q.phase, 1)
	s.requests = s.requests.Set(q.request.ID.Sequence, q)
	return s
}

// withPhaseCount returns a copy with n added to the counter of the phase, if the phase has one.
func (s State) withPhaseCount(p phase, n int) State {
	switch p {
	case waiting:
		s.waitingCount += n
	case fetching:
		s.fetchingCount += n
	case asked, granted:
	}
	return s
}

func (s State) withoutRequest(id message.ID) State {
	if old, ok := s.requests.Get(id.Sequence); ok {
		s = s.withPhaseCount(old.phase, -1)
	}
	s.requests = s.requests.Delete(id.Sequence)
	return s
}

// request returns the request with the given ID. It ignores requests of other incarnations with the same sequence.
func (s State) request(id message.ID) (request, bool) {
	q, ok := s.requests.Get(id.Sequence)
	return q, ok && q.request.ID == id
}

// requestsOf returns the requests of a service in order of arrival.
func (s State) requestsOf(service string) []request {
	var found []request
	for it := s.requests.Iterator(); !it.Done(); {
		_, q, _ := it.Next()
		if q.request.Service == service {
			found = append(found, q)
		}
	}
	sortByArrival(found)
	return found
}

// grantsInFlight returns the grants in flight of a service, to report to its next owner.
func (s State) grantsInFlight(service string, now time.Time) []message.HeldGrant {
	var grants []message.HeldGrant
	for _, q := range s.requestsOf(service) {
		if q.phase == granted {
			grants = append(grants, q.heldGrant(now))
		}
	}
	return grants
}

func (q request) heldGrant(now time.Time) message.HeldGrant {
	h := message.HeldGrant{ID: q.request.ID, Executor: q.executor, Left: q.request.Deadline.Sub(now)}
	if !q.request.Idempotent {
		h.Key = q.request.Key
	}
	return h
}

// GrantInFlight returns the grant in flight of a request, its service and the owner that gave it. The owner is empty
// if the request uses a static share.
func (s State) GrantInFlight(id message.ID, now time.Time) (h message.HeldGrant, service, owner string, ok bool) {
	q, ok := s.request(id)
	if !ok || q.phase != granted {
		return message.HeldGrant{}, "", "", false
	}
	owner = q.owner
	if q.static {
		owner = ""
	}
	return q.heldGrant(now), q.request.Service, owner, true
}
