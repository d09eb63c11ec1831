package maintenance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	_ "teaselloft/internal/command/maintenance"
	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
	"teaselloft/internal/standin/memory"

	qt "github.com/frankban/quicktest"
)

// newSite returns a store that holds a configuration with three racks of two instances each.
func newSite(c *qt.C) (context.Context, store.Store) {
	pool := fleet.Pool{Name: "calendar", Fleet: "halyard"}
	for n := range 6 {
		pool.Instances = append(pool.Instances, fleet.Instance{ID: fmt.Sprintf("cal-%d", n), Zone: "a", Rack: fmt.Sprint(n / 2)})
	}
	f := fleet.Fleet{
		Version: 1, Zones: []string{"a"}, Pools: []fleet.Pool{pool},
		Services: []fleet.Service{{Name: "flag-calendar", Fleet: "halyard", Pool: pool.Name, Budget: fleet.Budget{
			Available: 3, Domain: fleet.DomainRack,
		}}},
	}
	s := memory.New()
	ctx := option.WithStore(context.Background(), s)
	_, err := store.Apply(ctx, s, store.Change{ID: "c1", Author: "test", Time: time.Now(), Fleet: f})
	c.Assert(err, qt.IsNil)
	return ctx, s
}

func run(ctx context.Context, arguments ...string) (string, error) {
	var out bytes.Buffer
	program := command.Program("teaselloft", "")
	program.Writer, program.ErrWriter = &out, &out
	err := program.Run(ctx, append([]string{"teaselloft", "maintenance"}, arguments...))
	return out.String(), err
}

func waves(ctx context.Context, c *qt.C, s store.Store) []message.RecordChanged {
	list, err := s.List(ctx, record.PrefixWave)
	c.Assert(err, qt.IsNil)
	return list
}

// Guards against a dry run that writes records or omits an instance from the plan.
func TestPlanWritesNothing(t *testing.T) {
	c := qt.New(t)
	ctx, s := newSite(c)
	before, err := s.List(ctx, "")
	c.Assert(err, qt.IsNil)
	for _, arguments := range [][]string{{"plan", "--output", "json"}, {"start", "w1", "--dry-run", "--output", "json"}} {
		out, err := run(ctx, arguments...)
		c.Assert(err, qt.IsNil)
		var forecast wave.Forecast
		c.Assert(json.Unmarshal([]byte(out), &forecast), qt.IsNil, qt.Commentf("%s", out))
		c.Assert(forecast.Outages, qt.HasLen, 6)
		c.Assert(forecast.Blocked, qt.HasLen, 0)
	}
	after, err := s.List(ctx, "")
	c.Assert(err, qt.IsNil)
	c.Assert(after, qt.DeepEquals, before)
}

// Guards against a command that leaves the wave in the wrong phase or succeeds without effect.
func TestCommandsSetPhase(t *testing.T) {
	c := qt.New(t)
	ctx, s := newSite(c)
	for _, step := range []struct {
		command string
		phase   record.WavePhase
	}{
		{"start", record.Running},
		{"pause", record.Paused},
		{"resume", record.Running},
		{"cancel", record.Cancelled},
	} {
		_, err := run(ctx, step.command, "w1")
		c.Assert(err, qt.IsNil)
		c.Assert(waves(ctx, c, s)[0].Record.(record.Wave).Phase, qt.Equals, step.phase)
	}
	out, err := run(ctx, "status")
	c.Assert(err, qt.IsNil)
	c.Assert(out, qt.Contains, "cancelled")
}

// Guards against a command that changes nothing and still exits with code 0.
func TestInvalidCommandsReturnErrors(t *testing.T) {
	c := qt.New(t)
	ctx, _ := newSite(c)
	_, err := run(ctx, "pause", "w1")
	c.Assert(err, qt.ErrorIs, message.ErrNotFound)
	_, err = run(ctx, "start", "w1")
	c.Assert(err, qt.IsNil)
	_, err = run(ctx, "start", "w1")
	c.Assert(err, qt.ErrorIs, message.ErrConflict)
	_, err = run(ctx, "resume", "w1")
	c.Assert(err, qt.ErrorIs, wave.ErrInvalidTransition)
	_, err = run(ctx, "start")
	c.Assert(err, qt.IsNotNil)
	_, err = run(ctx, "start", "w2", "--most", "-1")
	c.Assert(err, qt.IsNotNil)
}
