package job

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrInvalid is wrapped by every error about the content of a submission.
var ErrInvalid = errors.New("invalid submission")

// Limits of a submission. The first is the callers' documented limit, the others keep one job within one store value.
const (
	MaxSpec        = 4000    // bytes
	MaxSteps       = 256     // steps of a job
	MaxTasks       = 4096    // tasks of one occurrence of a job
	MaxOccurrences = 100_000 // occurrences of a repeated job
	maxResource    = 1 << 40 // keeps sums of demands within int64
)

// ID names a job; callers choose 16 hexadecimal digits.
type ID string

// Valid reports whether the ID has 16 hexadecimal digits.
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

// Resources are what a task takes and an executor has.
type Resources struct {
	CPU    int64 `cbor:"cpu,omitempty"`    // thousandths of a core
	Memory int64 `cbor:"memory,omitempty"` // MB
	GPU    int64 `cbor:"gpu,omitempty"`    // devices
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Within reports whether r fits into room.
func (r Resources) Within(room Resources) bool {
	return r.CPU <= room.CPU && r.Memory <= room.Memory && r.GPU <= room.GPU
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count       int           `cbor:"count"`
	Need        Resources     `cbor:"need"`
	Estimate    time.Duration `cbor:"estimate,omitempty"` // the caller's rough estimate of a task's duration
	After       []int         `cbor:"after,omitempty"`    // earlier steps that must have ended
	Saves       bool          `cbor:"saves,omitempty"`    // its tasks write checkpoints
	Gang        bool          `cbor:"gang,omitempty"`     // its tasks work only when all of them run
	OneRack     bool          `cbor:"onerack,omitempty"`  // its tasks are slower when spread over racks
	Label       string        `cbor:"label,omitempty"`    // the executor must carry it
	Rack        string        `cbor:"rack,omitempty"`     // where its data is; tasks elsewhere are slower
	Spread      int           `cbor:"spread,omitempty"`   // at most so many tasks on one executor; 0 means any
	Speculative bool          `cbor:"copies,omitempty"`   // copies may run in parallel
	Lasting     bool          `cbor:"lasting,omitempty"`  // runs until the job is cancelled
	Image       string        `cbor:"image,omitempty"`    // tasks of one image behave alike
	Target      time.Duration `cbor:"target,omitempty"`   // bound of the tail of response times of a lasting task
	Filler      bool          `cbor:"filler,omitempty"`   // its CPU is taken from what other tasks leave unused
	Misses      int           `cbor:"misses,omitempty"`   // tasks that may be away at once by orders of the system
}

// Demand returns what a task takes of an executor's capacity: a filler takes no CPU.
func (s Step) Demand() Resources {
	if s.Filler {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// Serves reports whether its tasks last and have users of their own.
func (s Step) Serves() bool {
	return s.Lasting && s.Target > 0 && !s.Filler
}

// Submission is a job as its caller handed it in. It is immutable.
type Submission struct {
	ID       ID            `cbor:"id"`
	Queue    string        `cbor:"queue"`
	Spec     string        `cbor:"spec"`
	Steps    []Step        `cbor:"steps"`
	Repeat   int           `cbor:"repeat,omitempty"`   // occurrences; 0 for a job that runs once, at once
	Start    int64         `cbor:"start,omitempty"`    // Unix milliseconds at which occurrence 0 is due
	Interval time.Duration `cbor:"interval,omitempty"` // between occurrences
}

// Check returns an error that wraps ErrInvalid and names the first fault, if any.
func (s Submission) Check() error {
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
	}
	tasks := 0
	for i, step := range s.Steps {
		if err := step.check(i); err != nil {
			return err
		}
		if tasks += step.Count; tasks > MaxTasks {
			return fmt.Errorf("%w: job has more than %d tasks", ErrInvalid, MaxTasks)
		}
	}
	return nil
}

func (s Step) check(index int) error {
	fault := func(text string) error {
		return fmt.Errorf("%w: step %d: %s", ErrInvalid, index, text)
	}
	n := s.Need
	switch {
	case s.Count < 1 || s.Count > MaxTasks:
		return fault(fmt.Sprintf("count %d is not 1 to %d", s.Count, MaxTasks))
	case n.CPU < 0 || n.Memory < 0 || n.GPU < 0:
		return fault("a resource is negative")
	case n.CPU > maxResource || n.Memory > maxResource || n.GPU > maxResource:
		return fault("a resource is too large")
	case s.Estimate < 0 || s.Target < 0 || s.Spread < 0 || s.Misses < 0:
		return fault("estimate, target, anti-affinity or allowed misses is negative")
	}
	for _, before := range s.After {
		if before < 0 || before >= index {
			return fault(fmt.Sprintf("depends on step %d, which is not an earlier one", before))
		}
	}
	return nil
}

// Lasting reports whether a step of the job runs until the job is cancelled.
func (s Submission) Lasting() bool {
	for _, step := range s.Steps {
		if step.Lasting {
			return true
		}
	}
	return false
}

// Occurrences returns how often the steps run.
func (s Submission) Occurrences() int {
	return max(1, s.Repeat)
}

// Due returns the Unix millisecond at which occurrence k is due; 0 for a job that runs at once.
func (s Submission) Due(k int) int64 {
	if s.Repeat == 0 {
		return 0
	}
	return s.Start + int64(k)*s.Interval.Milliseconds()
}

// Chain returns the estimated duration of the longest chain of steps.
func (s Submission) Chain() time.Duration {
	ends := make([]time.Duration, len(s.Steps))
	var longest time.Duration
	for i, step := range s.Steps {
		var start time.Duration
		for _, before := range step.After {
			start = max(start, ends[before])
		}
		ends[i] = start + step.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Work returns the core-seconds that its caller estimates for one occurrence.
func (s Submission) Work() float64 {
	total := 0.0
	for _, step := range s.Steps {
		total += float64(step.Count) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
	}
	return total
}

// Digest identifies the content, so that another body under the same ID is recognized.
func (s Submission) Digest() uint64 {
	data, err := cbor.Marshal(s)
	if err != nil {
		panic(fmt.Sprintf("encode submission: %v", err)) // its types always encode
	}
	return xxhash.Sum64(data)
}
