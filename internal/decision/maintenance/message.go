package maintenance

import (
	"errors"
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
	Now       time.Duration // since boot, like all times in this package
	Directory cluster.Directory
	Instances []site.Instance      // nil if the list could not be read
	ListAge   time.Duration        // time since the list was requested
	Loads     map[string]port.Load // by pool, without the pools whose owner did not answer
}

// VacateResult is the result of a Vacate effect: the executors of a pool that are empty and take no tasks until a time.
type VacateResult struct {
	Now         time.Duration
	Pool        string
	Executors   []string
	ClosedUntil time.Duration
}

// OrderResult is the result of a StartMaintenance or MoveInstance effect.
type OrderResult struct {
	Now      time.Duration
	Instance string
	Err      error
}

// ErrNotSent is the result of an order that was not sent by its time, so that it has no effect.
var ErrNotSent = errors.New("order was not sent in time")

// ConfirmResult is the result of a Confirm effect.
type ConfirmResult struct {
	Now  time.Duration
	Sent time.Duration // when the write was sent; no other daemon had taken the fleet over by then if Err is nil
	Err  error
}

// ReportFailed reports that the progress of a wave could not be stored. It is reported again on the next Tick.
type ReportFailed struct{ Wave int64 }

func (ReportFailed) message()  {}
func (Tick) message()          {}
func (VacateResult) message()  {}
func (OrderResult) message()   {}
func (ConfirmResult) message() {}

// Effect is an output of Step.
//
//sumtype:decl
type Effect interface{ effect() }

// Vacate asks the owner of a pool to empty executors.
type Vacate struct {
	Pool      string // "" for instances on standby, which Executors then names
	Executors []string
}

// StartMaintenance orders the maintenance of an instance for a wave.
type StartMaintenance struct {
	Instance string
	Wave     int64
	SendBy   time.Duration // the order must not be sent later
}

// MoveInstance orders the move of an instance to another pool.
type MoveInstance struct {
	Instance string
	Pool     string
	SendBy   time.Duration // the order must not be sent later
}

// Confirm asks for a write that fails if another daemon has taken the fleet over.
type Confirm struct{}

// ReportWave publishes the progress of a wave and stores the instances whose maintenance is done.
type ReportWave struct {
	Wave      int64
	Done      []string
	Completed bool
}

// StepDown gives up the fleet: the fencing token of an order for the instance was rejected as too low, so another daemon
// owns the fleet.
type StepDown struct{ Instance string }

// Note asks for a log line.
type Note struct {
	Level slog.Level
	Event string
	Attrs []any
}

func (Vacate) effect()           {}
func (StartMaintenance) effect() {}
func (MoveInstance) effect()     {}
func (Confirm) effect()          {}
func (ReportWave) effect()       {}
func (StepDown) effect()         {}
func (Note) effect()             {}
