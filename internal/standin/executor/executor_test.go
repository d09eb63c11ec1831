package executor_test

import (
	"testing"
	"time"

	"teaselloft/internal/standin/executor"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func play(s executor.State, messages ...executor.Message) (executor.State, []executor.Effect) {
	var effects []executor.Effect
	for _, m := range messages {
		s, effects = executor.Step(s, m)
	}
	return s, effects
}

// Requests beyond the slots must run and be counted, and connections beyond the limit must be rejected.
func TestOversubscription(t *testing.T) {
	c := qt.New(t)
	s, effects := play(executor.New(1, 1, time.Second),
		executor.RequestArrived{ID: 1, Key: "k"}, executor.RequestArrived{ID: 2, Key: "k", HasRun: true})
	c.Assert(effects, qt.DeepEquals, []executor.Effect{executor.Start{ID: 2}})
	c.Assert(s.Counters(), qt.Equals, executor.Counters{Executions: 2, Running: 2, Highest: 2, Over: 1})
	c.Assert(s.Executions(2), qt.DeepEquals, map[string]int{"k": 2})
	_, effects = play(s, executor.ConnOpened{}, executor.ConnOpened{})
	c.Assert(effects, qt.DeepEquals, []executor.Effect{executor.Reject{}})
}

// A freeze must defer requests without losing them; a reboot must abort them without an answer.
func TestFreezeAndReboot(t *testing.T) {
	c := qt.New(t)
	s := executor.New(8, 64, time.Second)
	s, effects := play(s, executor.RequestArrived{ID: 1}, executor.Freeze{Now: start, For: time.Second},
		executor.RunFinished{ID: 1}, executor.RequestArrived{ID: 2})
	c.Assert(effects, qt.HasLen, 0)
	_, effects = play(s, executor.Tick{Now: start.Add(time.Second)})
	c.Assert(effects, qt.DeepEquals, []executor.Effect{executor.Reply{ID: 1}, executor.Start{ID: 2, Run: time.Second}})
	s, effects = play(s, executor.Reboot{Now: start, For: time.Second})
	c.Assert(effects, qt.DeepEquals, []executor.Effect{
		executor.Refuse{CloseConns: true},
		executor.Reply{ID: 1, Shape: executor.Nothing},
		executor.Reply{ID: 2, Shape: executor.Nothing},
	})
	_, effects = play(s, executor.Tick{Now: start.Add(time.Second)})
	c.Assert(effects, qt.DeepEquals, []executor.Effect{executor.Listen{}})
	_, effects = play(s, executor.SetMode{Mode: executor.ModeRefuse}, executor.Tick{Now: start.Add(time.Second)})
	c.Assert(effects, qt.HasLen, 0)
}
