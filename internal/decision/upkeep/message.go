package upkeep

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Message is what the owner of the fleet learns.
//
//sumtype:decl
type Message interface{ message() }

// Tick carries what is known of the site now.
type Tick struct {
	Now       time.Duration
	Directory cluster.Directory
	Instances []site.Instance      // nil when the list could not be read
	Loads     map[string]port.Load // by pool; a pool whose owner did not answer is missing
}

// Emptied says which executors of a pool are empty and closed until a time.
type Emptied struct {
	Pool      string
	Executors []string
	Until     time.Duration
}

// Ordered is the outcome of an order for an instance.
type Ordered struct {
	Now      time.Duration
	Instance string
	Err      error
}

// Unreported says that the report on a wave was not stored.
type Unreported struct{ Wave int64 }

func (Unreported) message() {}
func (Tick) message()       {}
func (Emptied) message()    {}
func (Ordered) message()    {}

// Effect is what the owner of the fleet has done.
//
//sumtype:decl
type Effect interface{ effect() }

// Vacate asks the owner of a pool to empty executors.
type Vacate struct {
	Pool      string
	Executors []string
}

// Maintain orders the upkeep of an instance.
type Maintain struct {
	Instance string
	Wave     int64
}

// Move orders an instance into another pool.
type Move struct {
	Instance string
	Pool     string
}

// Report tells the operators how a wave stands and stores which instances have had their upkeep.
type Report struct {
	Wave      int64
	Done      []string
	Completed bool
}

// Superseded says that another daemon orders instances under a higher fencing token.
type Superseded struct{ Instance string }

// Note is a log line.
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
