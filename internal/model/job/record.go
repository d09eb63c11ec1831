package job

import (
	"errors"
	"fmt"
	"iter"

	"github.com/fxamacker/cbor/v2"
)

// ErrRecord is wrapped by the errors about records that cannot be used.
var ErrRecord = errors.New("invalid record")

// Key prefixes of the records in the store. The pool name and the job ID follow.
const (
	PrefixJob      = "teaselloft/job/"
	PrefixProgress = "teaselloft/progress/"
)

// Record is the stored form of a job: its submission until it ends, its final state afterwards.
type Record struct {
	Submission *Submission `cbor:"submission,omitempty"`
	State      State       `cbor:"state,omitempty"`
	Digest     uint64      `cbor:"digest,omitempty"`
	Queue      string      `cbor:"queue,omitempty"`
	Path       string      `cbor:"path,omitempty"`
	Accepted   int64       `cbor:"accepted,omitempty"` // Unix milliseconds
	Ended      int64       `cbor:"ended,omitempty"`    // Unix milliseconds
	Version    int64       `cbor:"version,omitempty"`  // of the configuration by which its queue was chosen
	Account    string      `cbor:"account,omitempty"`  // client account of a job that has ended; before, it is in the submission
	Surplus    int64       `cbor:"surplus,omitempty"`  // as in Progress, of a job that has completed
}

// Validate returns an error unless the record can belong to the job with the given ID.
func (r Record) Validate(id ID) error {
	switch {
	case !id.Valid():
		return fmt.Errorf("%w: id %q", ErrRecord, id)
	case r.State < Queued || r.State > Cancelled:
		return fmt.Errorf("%w: state %d", ErrRecord, int(r.State))
	case r.Submission == nil && !r.State.Final():
		return fmt.Errorf("%w: neither a submission nor an outcome", ErrRecord)
	case r.Submission == nil:
		return nil
	case r.Submission.ID != id:
		return fmt.Errorf("%w: submission of job %q", ErrRecord, r.Submission.ID)
	}
	return r.Submission.Validate()
}

// ClientAccount returns the client account of the job; empty for none.
func (r Record) ClientAccount() string {
	if r.Submission != nil {
		return r.Submission.Account
	}
	return r.Account
}

// Progress is the stored form of the done tasks and failed runs of a job that has not ended.
type Progress struct {
	Steps   []StepProgress `cbor:"steps"`
	Surplus int64          `cbor:"surplus,omitempty"` // Unix milliseconds at which a run of a task was last left over that another run has done; 0 for never
	Next    int            `cbor:"-"`                 // number of occurrences of a schedule that were opened in order
	Open    []Range        `cbor:"-"`                 // those of them that are not over
}

// scheduleProgress is the stored form of the progress of a schedule. Earlier versions expect a list of steps and would run the
// occurrences again that are over. They can't decode this form, so that they leave the job as it is.
type scheduleProgress struct {
	Schedule struct {
		Next  int            `cbor:"next"`
		Open  []Range        `cbor:"open,omitempty"`
		Steps []StepProgress `cbor:"steps,omitempty"`
	} `cbor:"steps"`
	Surplus int64 `cbor:"surplus,omitempty"`
}

// plainProgress is Progress without its methods.
type plainProgress Progress

// MarshalCBOR implements cbor.Marshaler.
func (p Progress) MarshalCBOR() ([]byte, error) {
	if p.Next == 0 {
		return cbor.Marshal(plainProgress(p))
	}
	s := scheduleProgress{Surplus: p.Surplus}
	s.Schedule.Next, s.Schedule.Open, s.Schedule.Steps = p.Next, p.Open, p.Steps
	return cbor.Marshal(s)
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (p *Progress) UnmarshalCBOR(data []byte) error {
	var s scheduleProgress
	if cbor.Unmarshal(data, &s) == nil && s.Schedule.Next != 0 {
		*p = Progress{Steps: s.Schedule.Steps, Surplus: s.Surplus, Next: s.Schedule.Next, Open: s.Schedule.Open}
		return nil
	}
	return cbor.Unmarshal(data, (*plainProgress)(p))
}

// Range is a range of consecutive occurrences.
type Range struct {
	First int `cbor:"first,omitempty"`
	Count int `cbor:"count"`
}

// RangesOf returns the ranges of ascending numbers of occurrences.
func RangesOf(occurrences iter.Seq[int]) []Range {
	var ranges []Range
	for k := range occurrences {
		if n := len(ranges); n > 0 && ranges[n-1].First+ranges[n-1].Count == k {
			ranges[n-1].Count++
		} else {
			ranges = append(ranges, Range{First: k, Count: 1})
		}
	}
	return ranges
}

// OpenBefore returns the occurrences before a number that are not over. A damaged record may name others.
func (p Progress) OpenBefore(end int) iter.Seq[int] {
	return func(yield func(int) bool) {
		next := 0
		for _, r := range p.Open {
			for k := max(next, r.First); k < end && k-r.First < r.Count; k++ {
				if !yield(k) {
					return
				}
				next = k + 1
			}
		}
	}
}

// StepProgress holds the done tasks and failed runs of one step in one occurrence of a job.
type StepProgress struct {
	Occurrence int            `cbor:"occurrence,omitempty"`
	Step       int            `cbor:"step,omitempty"`
	Done       []byte         `cbor:"done"` // bitmap of the done tasks, one bit per task
	Failures   []TaskFailures `cbor:"failures,omitempty"`
}

// TaskFailures lists the failed runs of a task.
//
// It names each run, so that a repeated report is counted once, in whatever order the reports arrive.
type TaskFailures struct {
	Index int      `cbor:"index"`
	Runs  []uint64 `cbor:"runs"`
}

// Encode returns the CBOR encoding of a record. It panics if v cannot be encoded.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // records hold encodable types only
	}
	return data
}

// Decode decodes a record that Encode returned.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("decode %T: %w", v, err)
	}
	return v, nil
}
