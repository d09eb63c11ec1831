package strict

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrInvalid is wrapped by every FaultsError.
var ErrInvalid = errors.New("invalid JSON document")

// Position is a position in a file; lines and columns count from 1, columns in bytes.
type Position struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String returns the position as file:line:column, or in words when the file has no name.
func (p Position) String() string {
	if p.File == "" {
		return fmt.Sprintf("line %d, column %d", p.Line, p.Column)
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Fault is a syntax or validation error at a position in a document.
type Fault struct {
	At      Position `json:"at"`
	Field   string   `json:"field,omitempty"` // path such as services[2].slots, empty for the whole document
	Message string   `json:"message"`
}

// String returns the position, the field and the message on one line.
func (f Fault) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%v: %s", f.At, f.Message)
	}
	return fmt.Sprintf("%v: field %q: %s", f.At, f.Field, f.Message)
}

// Faults lists the faults of one or more documents.
type Faults []Fault

// FaultsError is the error for one or more faults.
type FaultsError struct {
	Faults Faults
}

// Error returns a line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns ErrInvalid.
func (e *FaultsError) Unwrap() error {
	return ErrInvalid
}

// Err returns the faults as a *FaultsError, or nil when there is none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return &FaultsError{Faults: f}
}

// FaultsOf returns the faults of the *FaultsError that err wraps, or nil.
func FaultsOf(err error) Faults {
	if e, ok := errors.AsType[*FaultsError](err); ok {
		return e.Faults
	}
	return nil
}

// Sorted returns the faults by line and column, with files in the order of their first fault.
func (f Faults) Sorted() Faults {
	rank := map[string]int{}
	for _, fault := range f {
		if _, ok := rank[fault.At.File]; !ok {
			rank[fault.At.File] = len(rank)
		}
	}
	sorted := slices.Clone(f)
	slices.SortStableFunc(sorted, func(a, b Fault) int {
		if d := rank[a.At.File] - rank[b.At.File]; d != 0 {
			return d
		}
		if d := a.At.Line - b.At.Line; d != 0 {
			return d
		}
		return a.At.Column - b.At.Column
	})
	return sorted
}
