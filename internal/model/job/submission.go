package job

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrInvalid is wrapped by every validation error of a submission.
var ErrInvalid = errors.New("invalid submission")

// Limits of a submission. MaxSpec is the documented limit for callers.
// The others keep the record of a job within the size of one value in the store.
const (
	MaxSpec        = 4000                 // bytes
	MaxSteps       = 256                  // steps per job
	MaxTasks       = 4096                 // tasks per occurrence of a job
	MaxOccurrences = 100_000              // occurrences per repeated job
	MaxResource    = 1 << 40              // keeps the sum of all tasks' resources within int64
	MaxDuration    = 366 * 24 * time.Hour // of an estimate, a target or an interval; keeps sums over a job within int64
)

// ID identifies a job. It consists of 16 hexadecimal digits that the caller chooses.
type ID string

// Valid reports whether the ID consists of 16 hexadecimal digits.
func (i ID) Valid() bool {
	if len(i) != 16 {
		return false
	}
	for _, r := range i {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return false
		}
	}
	return true
}

// Resources is an amount of resources: the request of a task or the capacity of an executor.
type Resources struct {
	CPU    int64 `cbor:"cpu,omitempty"`    // millicores
	Memory int64 `cbor:"memory,omitempty"` // MB
	GPU    int64 `cbor:"gpu,omitempty"`    // devices
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// FitsIn reports whether r fits into the available resources.
func (r Resources) FitsIn(available Resources) bool {
	return r.CPU <= available.CPU && r.Memory <= available.Memory && r.GPU <= available.GPU
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count          int           `cbor:"count"`
	Need           Resources     `cbor:"need"`               // requested by each task
	Estimate       time.Duration `cbor:"estimate,omitempty"` // duration of a task, as the caller estimates it
	After          []int         `cbor:"after,omitempty"`    // indexes of earlier steps that must end first
	Checkpoints    bool          `cbor:"saves,omitempty"`    // tasks write checkpoints
	Gang           bool          `cbor:"gang,omitempty"`     // tasks make progress only while all of them run
	OneRack        bool          `cbor:"onerack,omitempty"`  // tasks are slower when they run in different racks
	Label          string        `cbor:"label,omitempty"`    // label that an executor must have
	Rack           string        `cbor:"rack,omitempty"`     // rack that holds the data; tasks in other racks are slower
	MaxPerExecutor int           `cbor:"spread,omitempty"`   // maximum number of tasks on one executor; 0 means no limit
	Speculative    bool          `cbor:"copies,omitempty"`   // a second run of a task may start in parallel
	LongRunning    bool          `cbor:"lasting,omitempty"`  // tasks run until the job is cancelled
	Image          string        `cbor:"image,omitempty"`    // tasks with the same image are expected to behave alike
	LatencyTarget  time.Duration `cbor:"target,omitempty"`   // objective for the tail response time of a long-running task
	BestEffort     bool          `cbor:"filler,omitempty"`   // tasks use only the CPU that other tasks leave idle
	AllowedMisses  int           `cbor:"misses,omitempty"`   // maximum number of tasks that the system may evict at the same time
}

// Demand returns the capacity that a task reserves on an executor. A best-effort task reserves no CPU.
func (s Step) Demand() Resources {
	if s.BestEffort {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// LatencySensitive reports whether the tasks are long-running services with a response time objective.
func (s Step) LatencySensitive() bool {
	return s.LongRunning && s.LatencyTarget > 0 && !s.BestEffort
}

// Submission is a job as the caller submitted it. It is immutable.
type Submission struct {
	ID       ID            `cbor:"id"`
	Queue    string        `cbor:"queue"`
	Path     string        `cbor:"path,omitempty"` // host and path prefix of the queue when the job was submitted
	Spec     string        `cbor:"spec"`
	Steps    []Step        `cbor:"steps"`
	Repeat   int           `cbor:"repeat,omitempty"`   // number of occurrences; 0 for a job that runs once and immediately
	Start    int64         `cbor:"start,omitempty"`    // Unix milliseconds at which occurrence 0 is due
	Interval time.Duration `cbor:"interval,omitempty"` // time between occurrences
	Account  string        `cbor:"account,omitempty"`  // client account that the job belongs to; empty for none
}

// Validate validates the submission. The error wraps ErrInvalid and describes the first invalid value.
func (s Submission) Validate() error {
	switch {
	case !s.ID.Valid():
		return fmt.Errorf("%w: job id %q is not 16 hexadecimal digits", ErrInvalid, s.ID)
	case len(s.Spec) > MaxSpec:
		return fmt.Errorf("%w: spec has %d bytes, the limit is %d", ErrInvalid, len(s.Spec), MaxSpec)
	case len(s.Steps) == 0 || len(s.Steps) > MaxSteps:
		return fmt.Errorf("%w: job has %d steps, it must have 1 to %d", ErrInvalid, len(s.Steps), MaxSteps)
	case s.Repeat < 0 || s.Repeat > MaxOccurrences:
		return fmt.Errorf("%w: job repeats %d times, the limit is %d", ErrInvalid, s.Repeat, MaxOccurrences)
	case s.Start < 0 || s.Interval < 0:
		return fmt.Errorf("%w: start or interval of the schedule is negative", ErrInvalid)
	case s.Interval > MaxDuration:
		return fmt.Errorf("%w: interval of the schedule is longer than %v", ErrInvalid, MaxDuration)
	}
	tasks := 0
	for i, step := range s.Steps {
		if err := step.validate(i); err != nil {
			return err
		}
		if tasks += step.Count; tasks > MaxTasks {
			return fmt.Errorf("%w: job has more than %d tasks", ErrInvalid, MaxTasks)
		}
	}
	return nil
}

func (s Step) validate(index int) error {
	invalid := func(problem string) error {
		return fmt.Errorf("%w: step %d: %s", ErrInvalid, index, problem)
	}
	n := s.Need
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return invalid(fmt.Sprintf("count %d is not 1 to %d", s.Count, MaxTasks))
	case n.CPU < 0 || n.Memory < 0 || n.GPU < 0:
		return invalid("a resource is negative")
	case n.CPU > MaxResource || n.Memory > MaxResource || n.GPU > MaxResource:
		return invalid("a resource is too large")
	case s.Estimate > MaxDuration || s.LatencyTarget > MaxDuration:
		return invalid("estimate or target is too long")
	case s.Estimate < 0 || s.LatencyTarget < 0 || s.MaxPerExecutor < 0 || s.AllowedMisses < 0:
		return invalid("estimate, target, anti-affinity or allowed misses is negative")
	}
	for _, dep := range s.After {
		if dep < 0 || dep >= index {
			return invalid(fmt.Sprintf("depends on step %d, which is not an earlier one", dep))
		}
	}
	return nil
}

// Repeats reports whether s is the same submission as an earlier one, of which the queue, the path and the digest are
// known. A configuration may have given the path to a queue with another name since. The path of an earlier submission is
// empty if its record lacks one. A job without an account is open to every account.
func (s Submission) Repeats(queue, path string, digest uint64) bool {
	if s.Path != "" && path != "" && s.Path != path {
		return false
	}
	s = s.WithQueue(queue, path)
	return s.Digest() == digest || s.Account != "" && s.WithAccount("").Digest() == digest
}

// LongRunning reports whether any step of the job runs until the job is cancelled.
func (s Submission) LongRunning() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// Occurrences returns how many times the steps run.
func (s Submission) Occurrences() int {
	return max(1, s.Repeat)
}

// Due returns the time at which occurrence k is due, in Unix milliseconds, or 0 for a job that runs immediately.
func (s Submission) Due(k int) int64 {
	if s.Repeat == 0 {
		return 0
	}
	return s.Start + int64(k)*s.Interval.Milliseconds()
}

// CriticalPath returns the estimated duration of the critical path through the steps.
func (s Submission) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i, step := range s.Steps {
		var start time.Duration
		for _, dep := range step.After {
			start = max(start, ends[dep])
		}
		ends[i] = start + step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// CoreSeconds returns the caller's estimate of one occurrence in core-seconds.
func (s Submission) CoreSeconds() float64 {
	total := 0.0
	for _, step := range s.Steps {
		total += float64(step.Count) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
	}
	return total
}

// WithQueue returns a copy for the queue with the given name and path.
func (s Submission) WithQueue(name, path string) Submission {
	s.Queue, s.Path = name, path
	return s
}

// WithAccount returns a copy that belongs to a client account.
func (s Submission) WithAccount(name string) Submission {
	s.Account = name
	return s
}

// Digest returns a hash of the content and of the queue's name, but not of its path.
func (s Submission) Digest() uint64 {
	s.Path = "" // digests in the store may be older than the path
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("encode submission: %v", err)) // the fields are encodable types only
	}
	return xxhash.Sum64(data)
}
