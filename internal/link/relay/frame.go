package relay

import (
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"

	"github.com/fxamacker/cbor/v2"
)

// errFrame is wrapped by the errors about frames that cannot be used.
var errFrame = errors.New("invalid frame")

// kind identifies the order of a call.
type kind uint8

const (
	kindStart kind = iota + 1
	kindStop
	kindThrottle
	kindHeartbeat
)

// callFrame is a frame from an owner to a relay. The elements of all structures are encoded without names, because a
// frame carries many of them.
type callFrame struct {
	_       struct{} `cbor:",toarray"`
	Opened  []opened
	Dropped []uint32 // keys of executors that the owner forgets
	Calls   []call
}

// opened introduces an executor, which later calls name by its key.
type opened struct {
	_       struct{} `cbor:",toarray"`
	Key     uint32
	ID      string
	Address string
}

// call is a call to an executor. The meaning of Number, Text and Extra depends on the kind.
type call struct {
	_       struct{} `cbor:",toarray"`
	Serial  uint64
	Key     uint32
	Kind    kind
	Flags   uint8
	Fence   uint64
	Task    task
	Run     uint64
	Expires int64 // of a start or a heartbeat, on the executor's clock in ms
	Number  int64 // Percent of a throttle, Ack of a heartbeat
	Wait    int64 // of a heartbeat, in ms
	Delay   int64 // of a heartbeat, in ms
	Spec    string
	Saved   string // checkpoint
	Ticket  string
}

const (
	flagInDoubt = 1 << iota
	flagReset
)

type task struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// replyFrame is a frame from a relay to an owner.
type replyFrame struct {
	_       struct{} `cbor:",toarray"`
	Replies []reply
}

type reply struct {
	_      struct{} `cbor:",toarray"`
	Serial uint64
	Code   uint8
	Text   string // of an error
	Clock  int64
	Born   int64
	Active []active
	Ended  []ended
}

type active struct {
	_       struct{} `cbor:",toarray"`
	Task    task
	Run     uint64
	Saved   string
	Percent int
	Metric  float64
}

type ended struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Task   task
	Run    uint64
	How    int
	Saved  string
}

// errorCodes lists the errors of calls that are sent between daemons. The code of an error is its index, so entries may
// only be appended. The first entry that matches applies, so ErrUnknownOutcome precedes the refusals that it may wrap.
var errorCodes = []error{
	nil, port.ErrFenced, port.ErrUnknownOutcome, port.ErrStaleRun, port.ErrExpired, port.ErrNoCapacity, port.ErrTicketRejected,
	port.ErrWrongIncarnation, port.ErrUnhealthy, port.ErrRejected, port.ErrNotConnected,
}

// codeOther is the code of errors that are not in errorCodes.
const codeOther = 255

// errOther is returned for an error of the executor without a code.
var errOther = errors.New("call failed at the relay")

func errorCode(err error) uint8 {
	if err == nil {
		return 0
	}
	for i, known := range errorCodes {
		if known != nil && errors.Is(err, known) {
			return uint8(i)
		}
	}
	return codeOther
}

func decodeError(code uint8, text string) error {
	switch {
	case code == 0:
		return nil
	case int(code) < len(errorCodes):
		return fmt.Errorf("%w (relay: %s)", errorCodes[code], text)
	default:
		return fmt.Errorf("%w: %s", errOther, text)
	}
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // all frame types can be encoded
	}
	return data
}

func toTask(t job.Task) task {
	return task{Job: string(t.Job), Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

func (t task) model() job.Task {
	return job.Task{Job: job.ID(t.Job), Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}
}

// toCall encodes a call.
func toCall(serial uint64, key uint32, c port.ExecutorCall) call {
	out := call{Serial: serial, Key: key, Delay: c.Delay.Milliseconds()}
	if c.InDoubt {
		out.Flags |= flagInDoubt
	}
	if c.Reset {
		out.Flags |= flagReset
	}
	switch o := c.Order.(type) {
	case port.Start:
		out.Kind, out.Task, out.Run, out.Spec, out.Expires = kindStart, toTask(o.Task), o.Run, o.Spec, o.Expires
		out.Fence, out.Saved, out.Ticket = o.FencingToken, o.Checkpoint, o.Ticket
	case port.Stop:
		out.Kind, out.Task, out.Run, out.Fence = kindStop, toTask(o.Task), o.Run, o.FencingToken
	case port.Throttle:
		out.Kind, out.Task, out.Run, out.Fence, out.Number = kindThrottle, toTask(o.Task), o.Run, o.FencingToken, int64(o.Percent)
	case port.Heartbeat:
		out.Kind, out.Fence, out.Number, out.Expires, out.Wait = kindHeartbeat, o.FencingToken, int64(o.Ack), o.Expires, o.Wait.Milliseconds()
	default:
		panic(fmt.Sprintf("relay: order %T is not handled", o))
	}
	return out
}

// maxWait bounds the waiting times in a call, in case the frame is damaged.
const maxWait = 30 * time.Second

// model decodes a call, without its executor.
func (c call) model() (port.ExecutorCall, error) {
	if c.Wait < 0 || c.Wait > maxWait.Milliseconds() || c.Delay < 0 || c.Delay > maxWait.Milliseconds() || c.Number < 0 {
		return port.ExecutorCall{}, fmt.Errorf("%w: call %d has a value out of range", errFrame, c.Serial)
	}
	out := port.ExecutorCall{InDoubt: c.Flags&flagInDoubt != 0, Reset: c.Flags&flagReset != 0, Delay: time.Duration(c.Delay) * time.Millisecond}
	switch c.Kind {
	case kindStart:
		out.Order = port.Start{
			Task: c.Task.model(), Run: c.Run, Spec: c.Spec, Expires: c.Expires, FencingToken: c.Fence, Checkpoint: c.Saved, Ticket: c.Ticket,
		}
	case kindStop:
		out.Order = port.Stop{Task: c.Task.model(), Run: c.Run, FencingToken: c.Fence}
	case kindThrottle:
		out.Order = port.Throttle{Task: c.Task.model(), Run: c.Run, FencingToken: c.Fence, Percent: int(c.Number)}
	case kindHeartbeat:
		out.Order = port.Heartbeat{FencingToken: c.Fence, Ack: uint64(c.Number), Expires: c.Expires, Wait: time.Duration(c.Wait) * time.Millisecond}
	default:
		return out, fmt.Errorf("%w: call %d has the unknown kind %d", errFrame, c.Serial, c.Kind)
	}
	return out, nil
}

// toReply encodes a reply.
func toReply(serial uint64, r port.ExecutorReply) reply {
	out := reply{Serial: serial, Code: errorCode(r.Err), Clock: r.Report.Clock, Born: r.Report.Born}
	if r.Err != nil {
		out.Text = r.Err.Error()
	}
	for _, a := range r.Report.Runs {
		out.Active = append(out.Active, active{Task: toTask(a.Task), Run: a.Run, Saved: a.Checkpoint, Percent: a.Percent, Metric: a.Metric})
	}
	for _, e := range r.Report.Ended {
		out.Ended = append(out.Ended, ended{Number: e.Number, Task: toTask(e.Task), Run: e.Run, How: int(e.Outcome), Saved: e.Checkpoint})
	}
	return out
}

// model decodes a reply to a call.
func (r reply) model(c port.ExecutorCall) (port.ExecutorReply, error) {
	out := port.ExecutorReply{Call: c, Err: decodeError(r.Code, r.Text), Report: port.ExecutorReport{Clock: r.Clock, Born: r.Born}}
	for _, a := range r.Active {
		out.Report.Runs = append(out.Report.Runs, port.ActiveRun{Task: a.Task.model(), Run: a.Run, Checkpoint: a.Saved, Percent: a.Percent, Metric: a.Metric})
	}
	for _, e := range r.Ended {
		how := job.Outcome(e.How)
		if how < job.OutcomeDone || how > job.OutcomeGangTimeout {
			return out, fmt.Errorf("%w: run ended in the unknown way %d", errFrame, e.How)
		}
		out.Report.Ended = append(out.Report.Ended, port.EndedRun{Number: e.Number, Task: e.Task.model(), Run: e.Run, Outcome: how, Checkpoint: e.Saved})
	}
	return out, nil
}
