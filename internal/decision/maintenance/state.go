package maintenance

import (
	"fmt"
	"maps"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/site"
)

// stage is the progress of an operation.
type stage int

const (
	vacating   stage = iota
	ordered          // the order was sent and its result is pending
	unanswered       // the order got no answer and is to be repeated
	inProgress       // the order was accepted; ends when the instance is listed as up again
)

// purpose is the reason of an operation. Its fields appear in log lines and in the state dump.
//
//sumtype:decl
type purpose interface{ purpose() }

// waveMaintenance is maintenance for a wave.
type waveMaintenance struct{ wave int64 }

// poolMove is a move to another pool.
type poolMove struct{ pool string }

func (waveMaintenance) purpose() {}
func (poolMove) purpose()        {}

// orderFor returns the effect that orders the operation.
func orderFor(p purpose, instance string, sendBy time.Duration) Effect {
	switch p := p.(type) {
	case waveMaintenance:
		return StartMaintenance{Instance: instance, Wave: p.wave, SendBy: sendBy}
	case poolMove:
		return MoveInstance{Instance: instance, Pool: p.pool, SendBy: sendBy}
	default:
		panic(fmt.Sprintf("maintenance: purpose %T is not handled", p))
	}
}

// operation is the maintenance or move of one instance in progress. It is immutable.
type operation struct {
	purpose        purpose
	stage          stage
	since          time.Duration // when the stage began
	executorBefore string        // executor of the instance before the order
	emptyExecutor  string        // executor of the instance when it was last found empty
	emptyUntil     time.Duration // until when that executor takes no tasks, 0 if it was not found empty
	inDoubt        bool          // an order got no answer
	unlistedSince  time.Duration // since when the list lacks the instance, 0 if it is listed
}

// State holds the fleet as its owner sees it, and the operations in progress. It is immutable.
type State struct {
	now            time.Duration
	instances      map[string]site.Instance
	listedAt       time.Duration             // when the last list of the instances was requested, 0 if never
	missingSince   map[string]time.Duration  // since when instances of waves have not been listed
	operations     map[string]operation      // by instance
	done           map[int64]map[string]bool // by wave and instance; includes instances that cannot be maintained
	completed      map[int64]bool            // by wave; its completion was reported
	maxUnavailable map[int64]int             // by wave
	waveInstances  map[int64][]string        // by wave
	startedAt      time.Duration             // first Tick since the takeover
	former         cluster.Owner             // owner before the takeover
	orderRate      int                       // orders that the platform accepts a second, 0 if unknown
	formerEnded    bool                      // its process has ended, and can't give orders any more
	demands        map[string]demand         // by pool
	surplus        int                       // instances that take tasks beyond those that the pools require; negative if they lack some
	executorSince  map[string]time.Duration  // since when executors have been listed
	reportedDone   map[int64]int             // by wave: instances done at the last report, -1 if failed or final
	confirmation   confirmation
}

// New returns the state of a new owner of the fleet, given the instances by wave whose maintenance is done.
func New(done map[int64][]string) State {
	s := State{
		instances: map[string]site.Instance{}, missingSince: map[string]time.Duration{}, operations: map[string]operation{},
		done: map[int64]map[string]bool{}, completed: map[int64]bool{},
		maxUnavailable: map[int64]int{}, waveInstances: map[int64][]string{}, demands: map[string]demand{},
		executorSince: map[string]time.Duration{}, reportedDone: map[int64]int{},
	}
	for wave, names := range done {
		s.done[wave] = map[string]bool{}
		for _, name := range names {
			s.done[wave][name] = true
		}
	}
	return s
}

// WithFormer returns a copy that knows the owner before the takeover.
func (s State) WithFormer(o cluster.Owner) State {
	s.former = o
	return s
}

// WithOrderRate returns a copy that knows how many orders to instances the platform accepts a second; 0 if it is unknown.
func (s State) WithOrderRate(rate int) State {
	s.orderRate = rate
	return s
}

func (s State) withOperation(instance string, op operation) State {
	s.operations = maps.Clone(s.operations)
	s.operations[instance] = op
	return s
}

func (s State) withoutOperation(instance string) State {
	s.operations = maps.Clone(s.operations)
	delete(s.operations, instance)
	return s
}

func (s State) withDone(wave int64, instance string) State {
	s.done = maps.Clone(s.done)
	names := maps.Clone(s.done[wave])
	if names == nil {
		names = map[string]bool{}
	}
	names[instance] = true
	s.done[wave] = names
	return s
}

func (s State) withReported(wave int64, n int) State {
	s.reportedDone = maps.Clone(s.reportedDone)
	s.reportedDone[wave] = n
	return s
}

// withMissingSince returns a copy with the time since when an instance has not been listed, 0 if it is listed.
func (s State) withMissingSince(instance string, since time.Duration) State {
	s.missingSince = maps.Clone(s.missingSince)
	if since == 0 {
		delete(s.missingSince, instance)
	} else {
		s.missingSince[instance] = since
	}
	return s
}

// Summary is the part of the state that the state dump shows.
type Summary struct {
	Instances  int               `json:"instances"`
	Operations map[string]string `json:"visits"`    // instance to purpose
	Done       map[int64]int     `json:"done"`      // instances by wave
	Confirmed  time.Duration     `json:"confirmed"` // time since the store has last confirmed the ownership; it does so before orders
}

// Summary returns the summary for the state dump.
func (s State) Summary() Summary {
	out := Summary{Instances: len(s.instances), Operations: map[string]string{}, Done: map[int64]int{}, Confirmed: s.now - s.confirmation.at}
	for name, op := range s.operations {
		out.Operations[name] = fmt.Sprintf("%+v", op.purpose)
	}
	for wave, names := range s.done {
		out.Done[wave] = len(names)
	}
	return out
}
