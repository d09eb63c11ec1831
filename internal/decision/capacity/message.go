package capacity

import (
	"time"

	"teaselloft/internal/model/fleet"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// DemandSampled carries the slots that each service's running and queued requests demand.
type DemandSampled struct {
	Now    time.Time
	Demand map[string]float64
}

// PoolsListed carries the current members of each pool and makes Step decide.
type PoolsListed struct {
	Now   time.Time
	Fleet fleet.Fleet
	Pools map[string][]Member
}

// Member is an instance of a pool. A moving instance belongs to the pool it moves to.
type Member struct {
	ID     string
	Place  fleet.Place
	Failed bool // neither live nor taken out on purpose
	Moving bool // has not arrived in its pool yet
}

func (DemandSampled) message() {}
func (PoolsListed) message()   {}

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
