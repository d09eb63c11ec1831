package kernel_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"

	"teaselloft/internal/core/kernel"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

type section struct {
	Fail bool `json:"fail"`
}

var errDuty = errors.New("duty failed")

var trail struct {
	sync.Mutex
	steps []string
}

func note(step string) {
	trail.Lock()
	defer trail.Unlock()
	trail.steps = append(trail.steps, step)
}

func init() {
	kernel.Register("sample", section{}, func(h *kernel.Host, s section) ([]kernel.Duty, error) {
		h.OnStop(kernel.PhaseRelease, func(context.Context) error { note("release"); return nil })
		h.OnStop(kernel.PhaseReady, func(context.Context) error { note("ready"); return nil })
		h.OnStop(kernel.PhaseDrain, func(context.Context) error { note("drain"); return nil })
		return []kernel.Duty{{Name: "wait", Run: func(ctx context.Context) error {
			if s.Fail {
				return errDuty
			}
			<-ctx.Done()
			note("duty")
			return ctx.Err()
		}}}, nil
	})
}

// run runs a process until a duty fails or ctx ends.
func run(ctx context.Context, c *qt.C, text string) error {
	trail.steps = nil
	s, err := kernel.ParseSettings([]byte(text))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	return k.Run(ctx)
}

// Guards against duties that stop before work in flight has drained.
func TestStopOrder(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(run(ctx, c, `{"name":"a","plugins":{"sample":{}}}`), qt.IsNil)
	c.Assert(trail.steps, qt.DeepEquals, []string{"ready", "drain", "release", "duty"})
}

// Guards against a failed duty that leaves the rest of the process running.
func TestFailedDutyStopsProcess(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := qt.New(t)
	c.Assert(run(context.Background(), c, `{"name":"a","plugins":{"sample":{"fail":true}}}`), qt.ErrorIs, errDuty)
}

// Guards against settings mistakes that go unnoticed.
func TestParseSettingsReportsFaults(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{`{"name":"a","naem":"b"}`, `{}`, `{"name":"a","plugins":{"none":{}}}`, `{`, `{"name":"a"} x`} {
		_, err := kernel.ParseSettings([]byte(text))
		c.Check(err, qt.ErrorIs, kernel.ErrSettings, qt.Commentf("%s", text))
	}
}

// Guards against settings faults that are reported one at a time, or without their place.
func TestParseSettingsListsEveryFault(t *testing.T) {
	c := qt.New(t)
	_, err := kernel.ParseSettings([]byte("{\"name\":\"a\",\"name\":\"b\",\n\"plugins\":{\"sample\":{\"fial\":1,\"fail\":2},\n\"none\":{}}}"))
	c.Assert(err, qt.ErrorIs, kernel.ErrSettings)
	c.Assert(err, qt.ErrorMatches, `invalid settings:
line 1, column 13: field "name": duplicate key, first used on line 1
line 2, column 22: field "plugins.sample.fial": unknown field
line 2, column 38: field "plugins.sample.fail": must be true or false, not a number
line 3, column 1: field "plugins.none": plug-in does not exist`)
}
