package upkeep

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Message is an input of Step.
//
//sumtype:decl
type Message interface{ message() }

// Tick advances the clock and carries the present view of the site.
type Tick struct {
	Now       time.Duration
	Directory cluster.Directory
	Instances []site.Instance      // nil if the list could not be read
	Loads     map[string]port.Load // by pool, without the pools whose owner did not answer
}

// Emptied is the result of a Vacate effect: the executors of a pool that are empty and take no tasks until a time.
type Emptied struct {
	Pool      string
	Executors []string
	Until     time.Duration
}

// Ordered is the result of a Maintain or Move effect.
type Ordered struct {
	Now      time.Duration
	Instance string
	Err      error
}

// Unreported reports that the progress of a wave could not be stored.
type Unreported struct{ Wave int64 }

func (Unreported) message() {}
func (Tick) message()       {}
func (Emptied) message()    {}
func (Ordered) message()    {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Vacate asks the owner of a pool to empty executors.
type Vacate struct {
	Pool      string // "" for instances on standby, which Executors then names
	Executors []string
}

// Maintain orders the maintenance of an instance for a wave.
type Maintain struct {
	Instance string
	Wave     int64
}

// Move orders the move of an instance to another pool.
type Move struct {
	Instance string
	Pool     string
}

// Report publishes the progress of a wave and stores the instances whose maintenance is done.
type Report struct {
	Wave      int64
	Done      []string
	Completed bool
}

// Superseded gives up the fleet: another daemon orders instances under a higher fencing token.
type Superseded struct{ Instance string }

// Note asks for a log line.
type Note struct {
	Level slog.Level
	Event string
	Attrs []any
}

func (Vacate) effect()     {}
func (Maintain) effect()   {}
func (Move) effect()       {}
func (Report) effect()     {}
func (Superseded) effect() {}
func (Note) effect()       {}
