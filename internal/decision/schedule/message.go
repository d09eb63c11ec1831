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

// Configured carries a new version of the configuration.
type Configured struct{ Config *site.Config }

// Reported carries the executors of the pool as the store lists them now, all of them.
type Reported struct {
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

// Held is the outcome of a hold.
type Held struct {
	Executor string
	Sent     time.Duration
	Now      time.Duration
	Holding  port.ExecutorReport
	Err      error
}

// Ordered is the outcome of an order about a run.
type Ordered struct {
	Executor string
	Kind     Kind
	Task     job.Task
	Run      uint64
	Now      time.Duration
	Err      error
}

// Committed is the outcome of a Commit effect; an error that wraps port.ErrRefused says that it had no effect and never will.
type Committed struct {
	Now    time.Duration
	Number uint64
	Err    error
}

// Stalled says that a commit has got no answer yet; a Committed with the same number follows.
type Stalled struct {
	Now    time.Duration
	Number uint64
}

// Advised is the answer to an Advise effect.
type Advised struct {
	Step   job.Task
	Now    time.Duration
	Grants []port.Grant
	Valid  time.Duration
	Err    error
}

// Vacate asks to empty executors before their instances move or have their upkeep; each call lasts until its end.
type Vacate struct {
	Token     uint64
	Now       time.Duration
	Until     time.Duration
	Executors []string
}

func (Tick) message()       {}
func (Configured) message() {}
func (Reported) message()   {}
func (Submit) message()     {}
func (Cancel) message()     {}
func (Held) message()       {}
func (Ordered) message()    {}
func (Committed) message()  {}
func (Stalled) message()    {}
func (Advised) message()    {}
func (Vacate) message()     {}

// Kind is the kind of an order about a run.
type Kind int

// The kinds of orders.
const (
	KindStart Kind = iota
	KindStop
	KindPace
)

// String returns the kind's name in logs.
func (k Kind) String() string {
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
	Removes []string
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

// PaceRun orders an executor to slow a run down or speed it up.
type PaceRun struct {
	Executor string
	Pace     port.Throttle
}

// HoldRuns asks an executor for its runs, After a pause.
type HoldRuns struct {
	Executor string
	Hold     port.Heartbeat
	After    time.Duration
	Reset    bool // drop the open connections first, they may have gone silent
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

// Superseded says that another owner gives orders to the pool's executors.
type Superseded struct{ Executor string }

// Note is a log line.
type Note struct {
	Level slog.Level
	Event string
	Attrs []any
}

func (Answer) effect()     {}
func (Commit) effect()     {}
func (StartRun) effect()   {}
func (StopRun) effect()    {}
func (PaceRun) effect()    {}
func (HoldRuns) effect()   {}
func (Connect) effect()    {}
func (Disconnect) effect() {}
func (Advise) effect()     {}
func (Superseded) effect() {}
func (Note) effect()       {}
