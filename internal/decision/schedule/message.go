package schedule

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"
)

// Message is what the owner of a pool learns.
//
//sumtype:decl
type Message interface{ message() }

// Tick tells the time, on the boot clock and as Unix milliseconds.
type Tick struct {
	Now  time.Duration
	Unix int64
}

// ConfigChanged carries a new version of the configuration.
type ConfigChanged struct{ Config *site.Config }

// ExecutorsListed carries the executors of the pool as the store lists them now, all of them.
type ExecutorsListed struct {
	Now       time.Duration
	Executors []site.Executor
}

// Submit hands a job in.
type Submit struct {
	Token      uint64 // of the Answer
	Now        time.Duration
	Unix       int64
	Submission job.Submission
}

// Cancel asks to end a job.
type Cancel struct {
	Token uint64
	Now   time.Duration
	ID    job.ID
}

// HeartbeatResult is the outcome of a hold.
type HeartbeatResult struct {
	Executor string
	Sent     time.Duration
	Now      time.Duration
	Report   port.Holding
	Err      error
}

// OrderResult is the outcome of an order about a run.
type OrderResult struct {
	Executor string
	Kind     OrderKind
	Task     job.Task
	Run      uint64
	Now      time.Duration
	Err      error
}

// CommitResult is the outcome of a Commit effect; an error that wraps port.ErrNotDone says that it had no effect and never will.
type CommitResult struct {
	Now    time.Duration
	Number uint64
	Err    error
}

// CommitStalled says that a commit has got no answer yet; a Committed with the same number follows.
type CommitStalled struct {
	Now    time.Duration
	Number uint64
}

// AdviceResult is the answer to an Advise effect.
type AdviceResult struct {
	Step     job.Task
	Now      time.Duration
	Grants   []port.Grant
	ValidFor time.Duration
	Err      error
}

// Vacate asks to empty executors before their instances move or have their upkeep; each call lasts until its end.
type Vacate struct {
	Token     uint64
	Now       time.Duration
	Until     time.Duration
	Executors []string
}

func (Tick) message()            {}
func (ConfigChanged) message()   {}
func (ExecutorsListed) message() {}
func (Submit) message()          {}
func (Cancel) message()          {}
func (HeartbeatResult) message() {}
func (OrderResult) message()     {}
func (CommitResult) message()    {}
func (CommitStalled) message()   {}
func (AdviceResult) message()    {}
func (Vacate) message()          {}

// OrderKind is the kind of an order about a run.
type OrderKind int

// The kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderThrottle
)

// String returns the kind's name in logs.
func (k OrderKind) String() string {
	return [...]string{"start", "stop", "pace"}[k]
}

// Effect is what the owner of a pool has done.
//
//sumtype:decl
type Effect interface{ effect() }

// Answer ends a Submit, Cancel or Vacate.
type Answer struct {
	Token uint64
	Err   error
	Empty []string // of a Vacate: the executors on which nothing runs and nothing will start
}

// Commit stores records; a Committed with the same number answers it.
type Commit struct {
	Number  uint64
	Writes  []port.Write
	Deletes []string
}

// StartRun orders an executor to start a run.
type StartRun struct {
	Executor string
	Start    port.Start
}

// StopRun orders an executor to end a run.
type StopRun struct {
	Executor string
	Stop     port.Stop
}

// ThrottleRun orders an executor to slow a run down or speed it up.
type ThrottleRun struct {
	Executor string
	Throttle port.Pace
}

// SendHeartbeat asks an executor for its runs, After a pause.
type SendHeartbeat struct {
	Executor  string
	Heartbeat port.Hold
	Delay     time.Duration
	Reset     bool // drop the open connections first, they may have gone silent
}

// Connect opens the order channel to an executor; an open one is closed.
type Connect struct{ Executor site.Executor }

// Disconnect closes the order channel to an executor.
type Disconnect struct{ Executor string }

// Advise asks which executors may run a step.
type Advise struct {
	Step      job.Task
	Executors []string
}

// StepDown says that another owner gives orders to the pool's executors.
type StepDown struct{ Executor string }

// Note is a log line.
type Note struct {
	Level slog.Level
	Event string
	Attrs []any
}

func (Answer) effect()        {}
func (Commit) effect()        {}
func (StartRun) effect()      {}
func (StopRun) effect()       {}
func (ThrottleRun) effect()   {}
func (SendHeartbeat) effect() {}
func (Connect) effect()       {}
func (Disconnect) effect()    {}
func (Advise) effect()        {}
func (StepDown) effect()      {}
func (Note) effect()          {}
