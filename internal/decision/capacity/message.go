package capacity

import (
	"time"

	"teaselloft/internal/model/fleet"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Sampled carries the slots that each service's running and queued requests demand.
type Sampled struct {
	Now    time.Time
	Demand map[string]float64
}

// Viewed carries the current members of each pool and makes Step decide.
type Viewed struct {
	Now   time.Time
	Fleet fleet.Fleet
	Pools map[string][]Member
}

// Member is an instance of a pool. A moving instance belongs to the pool it moves to.
type Member struct {
	ID    string
	Place fleet.Place
	Lost  bool // neither live nor taken out on purpose
	Moves bool // has not arrived in its pool yet
}

func (Sampled) message() {}
func (Viewed) message()  {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Move requests that an instance move to another pool.
type Move struct {
	Instance string
	Pool     string
	Reason   string
}

func (Move) effect() {}
