package capacity

import (
	"time"

	"teaselloft/internal/model/fleet"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Sampled brings the slots that each service's requests ask for, running and queued.
type Sampled struct {
	Now    time.Time
	Demand map[string]float64
}

// Viewed brings the pools as they are; it makes Step decide.
type Viewed struct {
	Now   time.Time
	Fleet fleet.Fleet
	Pools map[string][]Member
}

// Member is an instance of a pool; one that moves counts for the pool it moves to.
type Member struct {
	ID    string
	Place fleet.Place
	Lost  bool // neither live nor out on purpose
	Moves bool // not yet in its pool
}

func (Sampled) message() {}
func (Viewed) message()  {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Move asks to move an instance to another pool.
type Move struct {
	Instance string
	Pool     string
	Reason   string
}

func (Move) effect() {}
