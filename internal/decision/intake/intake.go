package intake

import (
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"

	"github.com/benbjohnson/immutable"
	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLag is the longest time that a submission waits for the owner before it is refused. A job needs the owner four times
	// until its first tasks run and once more for each further step, within the 600 ms that callers allow beside the run time.
	MaxLag = 100 * time.Millisecond
	// quietTime is the time without a refusal after which the owner takes jobs again that can no longer end in time.
	quietTime = 300 * time.Millisecond
	// memory is the least time for which a refusal is remembered. Callers repeat a submission for 3 s.
	memory = 4 * time.Second
	// maxBatch is the number of submissions that are handled before the owner looks for other messages again.
	maxBatch = 4
)

// refusals maps jobs to the time of their first refusal.
type refusals = *immutable.Map[job.ID, time.Duration]

// State tells how long submissions wait for the owner of a pool, and which of them it has refused. It is immutable.
type State struct {
	lag       time.Duration // time for which the last handled submission had waited
	handledAt time.Duration // when it was handled
	refusedAt time.Duration // last refusal of a job that could have ended in time
	recent    refusals
	older     refusals // those before rotatedAt
	rotatedAt time.Duration
	queued    *immutable.Map[job.ID, int] // submissions of each job that are not handled yet
}

// New returns the state of an owner that is not behind.
func New() State {
	return State{recent: none(), older: none(), refusedAt: -quietTime, queued: immutable.NewMap[job.ID, int](hasher{})}
}

func none() refusals { return immutable.NewMap[job.ID, time.Duration](hasher{}) }

// hasher implements immutable.Hasher. The default one uses reflection for a type of string.
type hasher struct{}

// Hash implements immutable.Hasher.
func (hasher) Hash(id job.ID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// Equal implements immutable.Hasher.
func (hasher) Equal(a, b job.ID) bool { return a == b }

// WithHandled returns a copy after a submission that was queued at a time was taken from the queue.
func (s State) WithHandled(now, queuedAt time.Duration) State {
	s.lag, s.handledAt = now-queuedAt, now
	return s
}

// WithQueued returns a copy after a submission of a job was queued behind others.
func (s State) WithQueued(now time.Duration, waiting int, id job.ID) State {
	if waiting == 0 {
		s.lag, s.handledAt = 0, now
	}
	n, _ := s.queued.Get(id)
	s.queued = s.queued.Set(id, n+1)
	return s
}

// WithSettled returns a copy after a queued submission of a job was accepted, refused or dropped.
func (s State) WithSettled(id job.ID) State {
	if n, _ := s.queued.Get(id); n > 1 {
		s.queued = s.queued.Set(id, n-1)
	} else {
		s.queued = s.queued.Delete(id)
	}
	return s
}

// Repeated reports whether more than one submission of a job is queued.
func (s State) Repeated(id job.ID) bool {
	n, _ := s.queued.Get(id)
	return n > 1
}

// HasOther reports whether a submission of a job is queued beside the given one, which counts as queued until it is settled.
func (s State) HasOther(id job.ID, settled bool) bool {
	n, _ := s.queued.Get(id)
	return n > 1 || settled && n > 0
}

// Overdue reports whether the first of the waiting submissions is to be refused because it has waited too long.
func (s State) Overdue(now time.Duration, waiting int) bool { return s.lagOf(now, waiting) > MaxLag }

// lagOf returns the time for which the first of the waiting submissions has waited.
func (s State) lagOf(now time.Duration, waiting int) time.Duration {
	if waiting == 0 {
		return 0
	}
	return s.lag + now - s.handledAt
}

// Since returns the time at which a job was first refused, or now.
func (s State) Since(id job.ID, now time.Duration) time.Duration {
	if at, ok := s.recent.Get(id); ok {
		return at
	}
	if at, ok := s.older.Get(id); ok {
		return at
	}
	return now
}

// Accepts reports whether the owner takes a submission while others wait. The job can still end in time if it starts
// within slack of its first submission.
//
// A submission that the owner would not answer in time is refused at once, because it would only delay the others, and its
// caller would repeat it. While that happens, a job that was refused before and can no longer end in time doesn't take the
// place of one that can. Another submission of a queued job is taken in any case: a refusal says that the job never runs,
// and the first one may be accepted.
func (s State) Accepts(now time.Duration, waiting int, id job.ID, slack time.Duration) bool {
	if _, ok := s.queued.Get(id); ok {
		return true
	}
	if s.lagOf(now, waiting) > MaxLag {
		return false
	}
	return now-s.Since(id, now) <= slack || now-s.refusedAt > quietTime
}

// WithRefusal returns a copy after the refusal of a job.
func (s State) WithRefusal(now time.Duration, id job.ID, slack time.Duration) State {
	since := s.Since(id, now)
	if now-since <= slack {
		s.refusedAt = now
	}
	if now-s.rotatedAt >= memory {
		s.recent, s.older, s.rotatedAt = none(), s.recent, now
	}
	s.recent = s.recent.Set(id, since)
	return s
}

// Expired reports whether a submission has waited too long in the queue.
func Expired(now, queuedAt time.Duration) bool { return now-queuedAt > MaxLag }

// Batch returns the number of waiting submissions that are handled next, while some other messages wait. Those go first,
// since they belong to jobs that the owner has taken: these end in time however many more are submitted.
func Batch(others, submissions int) int {
	if others > 0 {
		return 0
	}
	return min(maxBatch, submissions)
}

// Refusal returns the error with which a job is refused that was first submitted at a time.
func Refusal(now, since, slack time.Duration) error {
	if now+port.MinRetryAfter-since <= slack {
		return port.ErrNotAccepted
	}
	return port.ErrOverloaded
}
