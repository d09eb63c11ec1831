package site

import "time"

// Event is an action of an executor or of the instance list that is reported to an Observer.
//
//sumtype:decl
type Event interface{ event() }

// Start reports that an executor has started a task.
type Start struct {
	Executor string
	Task     string
	Run      uint64
	At       time.Time
}

// End reports that a run has ended.
type End struct {
	Executor string
	Task     string
	Run      uint64
	How      string
	At       time.Time
}

// Noted reports that an owner has acknowledged the end of a run, so that the executor discards its record.
type Noted struct {
	Executor string
	Task     string
	Run      uint64
	How      string
	At       time.Time
}

// Lapse reports that an executor's lease has expired, after the ends of the runs that it ended.
type Lapse struct {
	Executor string
	At       time.Time
}

// Gone reports that an incarnation of an executor has ended, together with all its runs.
type Gone struct {
	Executor string
	At       time.Time
}

// Upkeep reports that the maintenance of an instance has started.
type Upkeep struct {
	Instance string
	Wave     int64
	Down     int // instances that are down for this wave, including this one
	At       time.Time
}

func (Start) event()  {}
func (End) event()    {}
func (Noted) event()  {}
func (Lapse) event()  {}
func (Gone) event()   {}
func (Upkeep) event() {}

// Observer receives the events of each executor and instance in order; it must not block.
type Observer func(Event)
