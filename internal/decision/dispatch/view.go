package dispatch

import (
	"strings"
	"time"

	"teaselloft/internal/model/message"
)

// View is the part of a State that is shown to operators.
type View struct {
	Service   string
	Epoch     uint64
	Phase     string         // idle, gathering or active
	Blocked   string         // why no request is granted, empty if requests can be granted
	Until     time.Time      // time until which the ownership is known to be valid
	Queued    map[string]int // by class; excess counts a caller's requests beyond the number of slots
	Claiming  int            // requests that wait for their claim to be written
	Claims    int
	Segments  int
	Executors []ExecutorView
	Members   []MemberView
	Kinds     map[string]KindView
}

// ExecutorView is the state of an executor.
type ExecutorView struct {
	ID        string
	Available bool
	Grants    int
	Long      int       // grants of long requests
	Reserved  int       // slots in the static shares of members that may be using them
	Failures  int       // consecutive
	Ejected   time.Time // end of the latest ejection
	Probation bool      // ejected before; gets one grant at a time until one succeeds
}

// MemberView is the state of a member.
type MemberView struct {
	Entry    string
	Up       bool
	Gone     bool // certainly dead
	Answered bool // has answered GatherGrants in this epoch, and since it last became reachable
	Reserved bool // may be using its static share, which is reserved
}

// KindView is the run-time estimate of a kind of request.
type KindView struct {
	Count  int
	Median time.Duration
	P90    time.Duration
	Long   bool
}

var phaseNames = map[phase]string{idle: "idle", gathering: "gathering", active: "active"}

var classNames = map[message.Class]string{
	message.Urgent:     "urgent",
	message.Normal:     "normal",
	message.Background: "background",
	excess:             "excess",
}

// View returns the view of the state for the state dump.
func (s State) View() View {
	v := View{
		Service:  s.service.Name,
		Epoch:    s.epoch,
		Phase:    phaseNames[s.phase],
		Blocked:  s.blockedReason(),
		Until:    s.ownedUntil,
		Queued:   map[string]int{},
		Claims:   s.claims.byHash.Len(),
		Segments: len(s.claims.segments),
		Kinds:    map[string]KindView{},
	}
	waiting := 0
	for class, name := range classNames {
		for _, size := range []size{short, long} {
			n := s.queue.lanes[laneIndex(class, size)].length
			v.Queued[name] += n
			waiting += n
		}
	}
	v.Claiming = s.queue.Len() - waiting
	for _, e := range s.executors {
		v.Executors = append(v.Executors, ExecutorView{
			ID: e.target.ID, Available: e.available, Grants: e.used, Long: e.long, Reserved: e.reserved,
			Failures: e.failures, Ejected: e.ejectedUntil, Probation: e.probation,
		})
	}
	for _, m := range s.members {
		v.Members = append(v.Members, MemberView{
			Entry: m.name, Up: m.up, Gone: m.dead, Answered: m.answered, Reserved: m.mayUseShare(),
		})
	}
	it := s.runTimes.kinds.Iterator()
	for !it.Done() {
		name, r, _ := it.Next()
		v.Kinds[name] = KindView{
			Count:  r.count,
			Median: r.Quantile(0.5),
			P90:    r.Quantile(0.9),
			Long:   s.runTimes.Size(name, s.options.LongFactor) == long,
		}
	}
	return v
}

// blockedReason returns why no request is granted, or an empty string.
func (s State) blockedReason() string {
	switch {
	case s.phase == idle:
		return "no epoch"
	case s.phase == gathering && !s.claimWritten:
		return "claim is not written"
	case s.phase == gathering:
		return "no answer from " + strings.Join(s.unansweredMembers(), ", ")
	case !s.now.Before(s.ownedUntil):
		return "proof of ownership has expired"
	case s.capacity().total == 0:
		return "no executor is available"
	case s.capacity().free == 0:
		return "no slot is free"
	default:
		return ""
	}
}

func (s State) unansweredMembers() []string {
	var names []string
	for _, m := range s.members {
		if m.needed && !m.answered && !m.dead {
			names = append(names, m.name)
		}
	}
	return names
}

// NextWake returns when the next Tick is needed, or the zero time if none is.
func (s State) NextWake() time.Time {
	var wake time.Time
	earlier := func(t time.Time) {
		if t.After(s.now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if t, ok := s.queue.EarliestDeadline(); ok {
		earlier(t.request.Deadline)
	}
	if g, ok := s.grants.EarliestDeadline(); ok {
		earlier(g.deadline)
	}
	if s.phase != idle && !s.pendingWrite.active && s.needsWrite() {
		earlier(s.writeRetryAt)
	}
	if s.phase == gathering {
		earlier(s.drainedAt())
	}
	for _, m := range s.members {
		earlier(m.gatherRetryAt(s.options))
	}
	if s.queue.HasWaiting(long) {
		earlier(s.nextCapRise(s.capacity()))
	}
	if s.queue.Len() > 0 {
		for _, e := range s.executors {
			earlier(e.ejectedUntil)
		}
	}
	return wake
}
