package job

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Key prefixes of the records in the store; a pool's name and a job's ID follow.
const (
	PrefixJob      = "teaselloft/job/"
	PrefixProgress = "teaselloft/progress/"
)

// Record is the stored form of a job: the submission while it is open, its outcome afterwards.
type Record struct {
	Submission *Submission `cbor:"submission,omitempty"`
	State      State       `cbor:"state,omitempty"`
	Digest     uint64      `cbor:"digest,omitempty"`
	Queue      string      `cbor:"queue,omitempty"`
	Accepted   int64       `cbor:"accepted,omitempty"` // Unix milliseconds
	Ended      int64       `cbor:"ended,omitempty"`    // Unix milliseconds
}

// Progress is the stored form of what has ended of an open job.
type Progress struct {
	Steps []StepProgress `cbor:"steps"`
}

// StepProgress holds the ends of the tasks of one step in one occurrence.
type StepProgress struct {
	Occurrence int       `cbor:"occurrence,omitempty"`
	Step       int       `cbor:"step,omitempty"`
	Done       []byte    `cbor:"done"` // a bit for each task
	Failures   []Failure `cbor:"failures,omitempty"`
}

// Failure lists the failed runs of a task, so that a repeated report is recognized whatever the order of the reports.
type Failure struct {
	Index int      `cbor:"index"`
	Runs  []uint64 `cbor:"runs"`
}

// Encode returns the bytes of a record.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // records hold only types that encode
	}
	return data
}

// Decode reads a record that Encode wrote.
func Decode[T any](data []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(data, &v); err != nil {
		return v, fmt.Errorf("decode %T: %w", v, err)
	}
	return v, nil
}
