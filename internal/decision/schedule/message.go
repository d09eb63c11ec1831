package schedule

import (
	"log/slog"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/quota"
	"teaselloft/internal/model/site"
)

// Message is an input of Step. Its times are on the boot clock.
//
//sumtype:decl
type Message interface{ message() }

// Tick carries the current time, on the boot clock and in Unix milliseconds.
type Tick struct {
	Now  time.Duration
	Unix int64
}

// ConfigChanged carries a new version of the configuration.
type ConfigChanged struct{ Config *site.Config }

// ExecutorsListed carries the complete current list of the pool's executors from the store.
type ExecutorsListed struct {
	Now       time.Duration
	Executors []site.Executor
}

// ExecutorsReplaced names executors whose instances run a later executor, so that all their runs have ended.
type ExecutorsReplaced struct {
	Now       time.Duration
	Executors []string
}

// Submit submits a job that the pool may know already; an Answer follows.
type Submit struct {
	Token      uint64 // repeated in the Answer
	Now        time.Duration
	Unix       int64
	Submission job.Submission
	Version    int64         // of the configuration by which the caller has chosen the pool
	Since      time.Duration // when the job was first submitted, which is earlier if it was refused then; 0 means Now
}

// Relinquish asks whether the pool has accepted a job whose path a configuration of the given version has moved to another
// pool. An Answer follows: without an error if it has, or with ErrNoJob.
type Relinquish struct {
	Token      uint64 // repeated in the Answer
	Now        time.Duration
	Submission job.Submission
	Version    int64
}

// Cancel asks to cancel a job; an Answer follows.
type Cancel struct {
	Token   uint64
	Now     time.Duration
	ID      job.ID
	Account string // of the caller
}

// HeartbeatResult is the result of a SendHeartbeat effect.
type HeartbeatResult struct {
	Executor     string
	FencingToken uint64 // of the heartbeat
	Sent         time.Duration
	Now          time.Duration
	Report       port.ExecutorReport
	Err          error
}

// OrderResult is the result of a StartRun, StopRun or ThrottleRun effect.
type OrderResult struct {
	Executor     string
	FencingToken uint64 // of the order
	Kind         OrderKind
	Task         job.Task
	Run          uint64
	Now          time.Duration
	Err          error
}

// CommitResult is the result of a Commit effect. An error that wraps port.ErrRefused means that the commit had no
// effect and never will have one.
type CommitResult struct {
	Now    time.Duration
	Number uint64
	Err    error
}

// CommitStalled reports that the store has not answered a commit so far; a CommitResult with the same number follows.
type CommitStalled struct {
	Now    time.Duration
	Number uint64
}

// SetLimits carries the parts of the accounts' quotas that this pool may use, by account; an Answer follows. A limit with
// an older version than the known one is ignored.
type SetLimits struct {
	Token  uint64
	Now    time.Duration
	Limits map[string]quota.Limit
}

// FormerOwnerEnded reports that the process of the former owner, which wrote the record of the used executors, has ended.
type FormerOwnerEnded struct{ Now time.Duration }

// HandOver asks to give no more orders and to store when those given have expired; HandedOver follows once that is stored.
type HandOver struct{ Now time.Duration }

// AdviceResult is the result of an Advise effect.
type AdviceResult struct {
	Step     job.Task // identifies the step; its Index is 0
	Now      time.Duration
	Grants   []port.Grant
	ValidFor time.Duration
	Err      error
}

// Vacate asks to move all runs away from executors whose instances are about to move or to undergo maintenance. No
// tasks start on them before Until; an Answer follows.
type Vacate struct {
	Token     uint64
	Now       time.Duration
	Until     time.Duration
	Executors []string
}

func (Tick) message()              {}
func (ConfigChanged) message()     {}
func (ExecutorsListed) message()   {}
func (ExecutorsReplaced) message() {}
func (Relinquish) message()        {}
func (SetLimits) message()         {}
func (Submit) message()            {}
func (Cancel) message()            {}
func (HeartbeatResult) message()   {}
func (OrderResult) message()       {}
func (CommitResult) message()      {}
func (CommitStalled) message()     {}
func (AdviceResult) message()      {}
func (FormerOwnerEnded) message()  {}
func (HandOver) message()          {}
func (Vacate) message()            {}

// OrderKind is the kind of an order about a run.
type OrderKind int

// The kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderThrottle
)

// String returns the name of the kind in logs.
func (k OrderKind) String() string {
	return [...]string{"start", "stop", "pace"}[k]
}

// Effect is an action that Step asks its caller to perform.
//
//sumtype:decl
type Effect interface{ effect() }

// Answer answers the Submit, Cancel or Vacate with the same token.
type Answer struct {
	Token uint64
	Err   error
	Empty []string // for a Vacate: executors without runs, on which none will start
}

// Commit writes and deletes records in the store; a CommitResult with the same number follows. Commits of one lane are
// applied in their order.
type Commit struct {
	Lane    int
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

// ThrottleRun orders an executor to run a task at a share of its full speed.
type ThrottleRun struct {
	Executor string
	Throttle port.Throttle
}

// SendHeartbeat asks an executor, after a delay, for its runs and renews their lease.
type SendHeartbeat struct {
	Executor  string
	Heartbeat port.Heartbeat
	Delay     time.Duration
	Reset     bool // drop the open connections first, which may be dead
}

// Connect opens an order channel to an executor and closes an earlier one.
type Connect struct{ Executor site.Executor }

// Disconnect closes the order channel to an executor.
type Disconnect struct{ Executor string }

// Advise asks which of the executors may run the tasks of a step.
type Advise struct {
	Step      job.Task // identifies the step; its Index is 0
	Executors []string
}

// StepDown gives up the ownership of the pool because of an executor.
type StepDown struct {
	Executor string
	Reason   error
}

// HandedOver reports that the next owner can take the pool over.
type HandedOver struct{}

// Note writes a log line.
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
func (HandedOver) effect()    {}
func (Note) effect()          {}
