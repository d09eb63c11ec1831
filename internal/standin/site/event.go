package site

import "time"

// Event is what a back end has done, as it reports it to an observer.
//
//sumtype:decl
type Event interface{ event() }

// Start is a task that an executor has begun.
type Start struct {
	Executor string
	Task     string
	Run      uint64
	At       time.Time
}

// End is a run that has ended.
type End struct {
	Executor string
	Task     string
	Run      uint64
	How      string
	At       time.Time
}

// Noted is an end that an owner has taken note of, so that the executor forgets it.
type Noted struct {
	Executor string
	Task     string
	Run      uint64
	How      string
	At       time.Time
}

// Gone is the end of an executor's life, with everything that ran on it.
type Gone struct {
	Executor string
	At       time.Time
}

// Upkeep is the begin of an instance's upkeep.
type Upkeep struct {
	Instance string
	Wave     int64
	Down     int // instances that are down for that wave, this one included
	At       time.Time
}

func (Start) event()  {}
func (End) event()    {}
func (Noted) event()  {}
func (Gone) event()   {}
func (Upkeep) event() {}

// Observer is told of events in their order at each back end; it must not wait.
type Observer func(Event)
