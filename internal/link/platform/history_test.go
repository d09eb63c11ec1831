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

// Kinds of operations on the key.
const (
	opRead     = iota // read value at revision
	opWrite           // wrote value at revision
	opConflict        // found a value other than its own at a revision other than the expected one
	opUnknown         // may have written value at an unknown revision
)

// unknownRevision is the revision of a value whose write was not answered and that has not been read yet.
const unknownRevision = -1

// operation is the input of the model. It includes the result of the operation, so the model has no output.
type operation struct {
	kind     int
	expected int64
	value    string
	revision int64
}

// register is the state of the key in the model.
type register struct {
	value    string
	revision int64
}

func stepRegister(state, input, _ any) []any {
	s, op := state.(register), input.(operation)
	switch op.kind {
	case opRead:
		if s.value == op.value && (s.revision == op.revision || s.revision == unknownRevision) {
			return []any{register{value: op.value, revision: op.revision}}
		}
	case opWrite:
		if s.revision == op.expected && op.revision > op.expected {
			return []any{register{value: op.value, revision: op.revision}}
		}
	case opConflict:
		if s.revision != op.expected && s.value != op.value {
			return []any{s}
		}
	case opUnknown:
		if s.revision == op.expected {
			return []any{s, register{value: op.value, revision: unknownRevision}}
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

// runWriter reads the key and tries to replace its value, the given number of times.
func (h *history) runWriter(client, times int, s message.Store) {
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
		op := operation{kind: opWrite, expected: revision, value: fmt.Sprintf("%d-%d", client, i)}
		call = h.now()
		op.revision, err = s.CompareAndSwap(ctx, message.Write{Record: record.Owner{Service: "x", Entry: op.value}, Expected: revision})
		ret := h.now()
		switch {
		case err == nil:
			h.add(client, call, ret, op)
		case errors.Is(err, message.ErrConflict):
			// The write may have taken effect and been overwritten by the conflicting one.
			op.kind = opUnknown
			h.add(client, call, ret, op)
			op.kind = opConflict
			h.add(client, call, ret, op)
		default:
			op.kind = opUnknown
			h.add(client, call, math.MaxInt64, op)
		}
	}
}

// injectFaults injects faults until stop is closed.
func (f fixture) injectFaults(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			f.control(`{"outage":false,"slow":0,"lose":0}`)
			return
		case <-time.After(40 * time.Millisecond):
			// Slow writes take effect after their writer timed out and read the key, and close to its next attempt.
			faults := []string{`{"lose":0.3}`, `{"slow":130}`, `{"slow":0}`, `{"outage":true}`, `{"outage":false,"lose":0.2}`}
			f.control(faults[i%len(faults)])
		}
	}
}

// Guards against two writers that both succeed in replacing the same value, and against a write whose outcome is
// reported wrongly, when answers are lost and writes take effect late.
func TestWritesAreLinearizable(t *testing.T) {
	f := newFixture(t)
	h := &history{begin: time.Now()}
	stop := make(chan struct{})
	var injecting, writers sync.WaitGroup
	injecting.Go(func() { f.injectFaults(stop) })
	for client := range 6 {
		p, _ := f.startEntryWith(fmt.Sprintf("history-%d", client), `,"timeout":100,"resolve":400`)
		s, ok := kernel.Use[message.Store](p.host)
		f.c.Assert(ok, qt.IsTrue)
		writers.Go(func() { h.runWriter(client, 40, s) })
	}
	writers.Wait()
	close(stop)
	injecting.Wait()
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{register{}} },
		Step: stepRegister,
	}
	kinds := map[int]int{}
	for _, op := range h.operations {
		kinds[op.Input.(operation).kind]++
	}
	t.Logf("operations by kind: %v", kinds)
	f.c.Assert(kinds[opWrite] > 0, qt.IsTrue)
	result := porcupine.CheckOperationsTimeout(model.ToModel(), h.operations, deadline)
	f.c.Assert(result, qt.Equals, porcupine.Ok)
}
