package pool

import (
	"fmt"
	"log/slog"
	"time"

	"teaselloft/internal/decision/schedule"

	"github.com/rcrowley/go-metrics"
)

// workInterval is the time between two log lines about the work of a busy owner.
const workInterval = time.Second

// minReportedWork is the time that an owner must have spent on messages and cycles in that interval for a log line.
const minReportedWork = workInterval / 20

// stage is a part of an owner's work that is measured separately.
type stage int

// The stages. All but stageCycle and stagePerform are the decisions on one kind of message.
const (
	stageRequest   stage = iota // submissions, cancellations and other calls
	stageOrder                  // results of orders
	stageHeartbeat              // reports of executors
	stageCommit                 // results of writes
	stageOther
	stageCycle   // scheduling cycles
	stagePerform // queueing calls, answers, writes and log lines
	stages
)

// stageOf returns the stage that the decision on a message belongs to.
func stageOf(m schedule.Message) stage {
	switch m.(type) {
	case schedule.Submit, schedule.Relinquish, schedule.Cancel, schedule.Vacate, schedule.SetLimits:
		return stageRequest
	case schedule.OrderResult:
		return stageOrder
	case schedule.HeartbeatResult:
		return stageHeartbeat
	case schedule.CommitResult, schedule.CommitStalled:
		return stageCommit
	case schedule.RunCycle:
		return stageCycle
	case schedule.Tick, schedule.ConfigChanged, schedule.ExecutorsListed, schedule.ExecutorsReplaced, schedule.AdviceResult, schedule.FormerOwnerEnded, schedule.HandOver:
		return stageOther
	default:
		panic(fmt.Sprintf("pool: message %T has no stage", m))
	}
}

// work counts what an owner has done since its last log line. Only the owner's run uses it.
type work struct {
	since time.Duration
	count [stages]int
	spent [stages]time.Duration
	lag   time.Duration // longest time that a message waited in the ring

	encoded, decoded metrics.Counter // microseconds that this process has spent on the frames of relays
	framesBefore     [2]int64
}

func newWork(r metrics.Registry) work {
	return work{
		encoded: metrics.GetOrRegisterCounter("relay.encode.us", r),
		decoded: metrics.GetOrRegisterCounter("relay.decode.us", r),
	}
}

// add records one piece of work of a stage that began at a time.
func (w *work) add(s stage, began time.Time) {
	w.count[s]++
	w.spent[s] += time.Since(began)
}

// report logs the work once per interval, unless there was little.
func (w *work) report(log *slog.Logger, o *poolOwner, now time.Duration) {
	if now-w.since < workInterval {
		return
	}
	total := time.Duration(0)
	for _, d := range w.spent {
		total += d
	}
	frames := [2]int64{w.encoded.Count(), w.decoded.Count()}
	if total >= minReportedWork {
		s := o.state.Load()
		log.Info("work of the owner", "event", "pool.work", "pool", o.duty, "epoch", o.epoch, "for", now-w.since,
			"requests", w.count[stageRequest], "orders", w.count[stageOrder], "heartbeats", w.count[stageHeartbeat],
			"commits", w.count[stageCommit], "cycles", w.count[stageCycle],
			"request.ms", w.spent[stageRequest].Milliseconds(), "order.ms", w.spent[stageOrder].Milliseconds(),
			"heartbeat.ms", w.spent[stageHeartbeat].Milliseconds(), "commit.ms", w.spent[stageCommit].Milliseconds(),
			"other.ms", w.spent[stageOther].Milliseconds(), "cycle.ms", w.spent[stageCycle].Milliseconds(),
			"perform.ms", w.spent[stagePerform].Milliseconds(), "encode.ms", (frames[0]-w.framesBefore[0])/1000,
			"decode.ms", (frames[1]-w.framesBefore[1])/1000, "lag", w.lag, "queued", o.messages.Len(), "ready", s.Ready())
	}
	*w = work{since: now, encoded: w.encoded, decoded: w.decoded, framesBefore: frames}
}
