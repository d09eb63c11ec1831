package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// What an operation on the key was, for the model.
const (
	opRead     = iota // found value at revision
	opWrote           // wrote value at revision
	opConflict        // found that another value than its own was written at a revision other than the expected one
	opMaybe           // may have written value at an unknown revision
)

// unknownRevision is the revision of a value that was written without an answer and not read yet.
const unknownRevision = -1

// operation is the input of the model; it contains what the operation returned, so there is no output.
type operation struct {
	kind     int
	expected int64
	value    string
	revision int64
}

// cell is the model's state of the key.
type cell struct {
	value    string
	revision int64
}

func stepCell(state, input, _ any) []any {
	s, op := state.(cell), input.(operation)
	switch op.kind {
	case opRead:
		if s.value == op.value && (s.revision == op.revision || s.revision == unknownRevision) {
			return []any{cell{value: op.value, revision: op.revision}}
		}
	case opWrote:
		if s.revision == op.expected && op.revision > op.expected {
			return []any{cell{value: op.value, revision: op.revision}}
		}
	case opConflict:
		if s.revision != op.expected && s.value != op.value {
			return []any{s}
		}
	case opMaybe:
		if s.revision == op.expected {
			return []any{s, cell{value: op.value, revision: unknownRevision}}
		}
		return []any{s}
	}
	return nil
}

// history records the operations of concurrent writers.
type history struct {
	sync.Mutex
	begin      time.Time
	operations []porcupine.Operation
}

func (h *history) add(client int, call, ret int64, op operation) {
	h.Lock()
	defer h.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: op, Call: call, Return: ret})
}

func (h *history) now() int64 {
	return int64(time.Since(h.begin))
}

// work reads the key and tries to replace it, a number of times.
func (h *history) work(client, times int, s message.Store) {
	ctx := context.Background()
	for i := range times {
		call := h.now()
		r, revision, err := s.Read(ctx, "owner/x")
		switch {
		case err == nil:
			h.add(client, call, h.now(), operation{kind: opRead, value: r.(record.Owner).Entry, revision: revision})
		case errors.Is(err, message.ErrNotFound):
			h.add(client, call, h.now(), operation{kind: opRead})
		default:
			continue
		}
		time.Sleep(10 * time.Millisecond) // spreads the writes over the phases of the faults
		op := operation{kind: opWrote, expected: revision, value: fmt.Sprintf("%d-%d", client, i)}
		call = h.now()
		op.revision, err = s.CompareAndSwap(ctx, message.Write{Record: record.Owner{Service: "x", Entry: op.value}, Expected: revision})
		ret := h.now()
		switch {
		case err == nil:
			h.add(client, call, ret, op)
		case errors.Is(err, message.ErrConflict):
			// The write may have been overwritten by the one that it lost to.
			op.kind = opMaybe
			h.add(client, call, ret, op)
			op.kind = opConflict
			h.add(client, call, ret, op)
		default:
			op.kind = opMaybe
			h.add(client, call, math.MaxInt64, op)
		}
	}
}

// disturb injects faults until stop is closed.
func (r rig) disturb(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			r.control(`{"outage":false,"slow":0,"lose":0}`)
			return
		case <-time.After(40 * time.Millisecond):
			// Slow writes take effect after their writer gave up and read the key, and near its next attempt.
			faults := []string{`{"lose":0.3}`, `{"slow":130}`, `{"slow":0}`, `{"outage":true}`, `{"outage":false,"lose":0.2}`}
			r.control(faults[i%len(faults)])
		}
	}
}

// Guards against two writers that both believe to have replaced the same value, and against an end of a write
// that is reported wrongly, when answers are lost and writes take effect late.
func TestWritesAreLinearizable(t *testing.T) {
	r := newRig(t)
	h := &history{begin: time.Now()}
	stop := make(chan struct{})
	var disturbing, working sync.WaitGroup
	disturbing.Go(func() { r.disturb(stop) })
	for client := range 6 {
		p, _ := r.entryWith(fmt.Sprintf("history-%d", client), `,"timeout":100,"resolve":400`)
		s, ok := kernel.Use[message.Store](p.host)
		r.c.Assert(ok, qt.IsTrue)
		working.Go(func() { h.work(client, 40, s) })
	}
	working.Wait()
	close(stop)
	disturbing.Wait()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{cell{}} },
		Step: stepCell,
	}
	kinds := map[int]int{}
	for _, op := range h.operations {
		kinds[op.Input.(operation).kind]++
	}
	t.Logf("operations by kind: %v", kinds)
	r.c.Assert(kinds[opWrote] > 0, qt.IsTrue)
	result := porcupine.CheckOperationsTimeout(model.ToModel(), h.operations, deadline)
	r.c.Assert(result, qt.Equals, porcupine.Ok)
}
