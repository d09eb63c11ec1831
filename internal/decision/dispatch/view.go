package dispatch

import (
	"strings"
	"time"

	"teaselloft/internal/model/message"
)

// View is what operators see of a State.
type View struct {
	Service   string
	Epoch     uint64
	Phase     string // idle, gathering or active
	Blocked   string // why no request is granted, empty when requests are
	Until     time.Time
	Queued    map[string]int // by class; excess is what single callers have queued beyond the slots
	Claiming  int            // requests that wait for their claim
	Claims    int
	Segments  int
	Executors []ExecutorView
	Members   []MemberView
	Kinds     map[string]KindView
}

// ExecutorView is what operators see of an executor.
type ExecutorView struct {
	ID        string
	Available bool
	Grants    int
	Long      int
	Reserved  int // static shares of unreachable members
	Failures  int // consecutive
	Ejected   time.Time
	Probation bool
}

// MemberView is what operators see of a member.
type MemberView struct {
	Entry    string
	Up       bool
	Gone     bool
	Answered bool
	Reserved bool
}

// KindView is what was learned of a kind of requests.
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

// View returns the state's dump.
func (s State) View() View {
	v := View{
		Service:  s.service.Name,
		Epoch:    s.epoch,
		Phase:    phaseNames[s.phase],
		Blocked:  s.blocked(),
		Until:    s.until,
		Queued:   map[string]int{},
		Claims:   s.claims.byHash.Len(),
		Segments: len(s.claims.segments),
		Kinds:    map[string]KindView{},
	}
	waiting := 0
	for class, name := range classNames {
		for _, size := range []size{short, long} {
			n := s.queue.lanes[laneOf(class, size)].length
			v.Queued[name] += n
			waiting += n
		}
	}
	v.Claiming = s.queue.Len() - waiting
	for _, e := range s.executors {
		v.Executors = append(v.Executors, ExecutorView{
			ID: e.target.ID, Available: e.available, Grants: e.used, Long: e.long, Reserved: e.reserved,
			Failures: e.failures, Ejected: e.until, Probation: e.probation,
		})
	}
	for _, m := range s.members {
		v.Members = append(v.Members, MemberView{
			Entry: m.name, Up: m.up, Gone: m.gone, Answered: m.answered, Reserved: m.reserves(),
		})
	}
	it := s.known.kinds.Iterator()
	for !it.Done() {
		name, r, _ := it.Next()
		v.Kinds[name] = KindView{
			Count:  r.count,
			Median: r.Quantile(0.5),
			P90:    r.Quantile(0.9),
			Long:   s.known.Size(name, s.options.LongFactor) == long,
		}
	}
	return v
}

// blocked returns why no request is granted.
func (s State) blocked() string {
	switch {
	case s.phase == idle:
		return "no epoch"
	case s.phase == gathering && !s.written:
		return "claim is not written"
	case s.phase == gathering:
		return "no answer from " + strings.Join(s.unanswered(), ", ")
	case !s.now.Before(s.until):
		return "proof of ownership has expired"
	case s.capacity().total == 0:
		return "no executor is available"
	case s.capacity().free == 0:
		return "no slot is free"
	default:
		return ""
	}
}

func (s State) unanswered() []string {
	var names []string
	for _, m := range s.members {
		if m.needed && !m.answered && !m.gone {
			names = append(names, m.name)
		}
	}
	return names
}

// NextWake returns when the next Tick is needed, or the zero time when none is.
func (s State) NextWake() time.Time {
	var wake time.Time
	earlier := func(t time.Time) {
		if t.After(s.now) && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	if t, ok := s.queue.Due(); ok {
		earlier(t.request.Deadline)
	}
	if g, ok := s.grants.Due(); ok {
		earlier(g.deadline)
	}
	if s.phase != idle && !s.writing.active && s.stale() {
		earlier(s.retryAt)
	}
	if s.phase == gathering {
		earlier(s.drained())
	}
	for _, m := range s.members {
		earlier(m.reminder(s.options))
	}
	if s.queue.Waits(long) {
		earlier(s.capRises(s.capacity()))
	}
	if s.queue.Len() > 0 {
		for _, e := range s.executors {
			earlier(e.until)
		}
	}
	return wake
}
