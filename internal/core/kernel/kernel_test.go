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

// calls holds the stop hooks and duties in the order in which they ended.
var calls struct {
	sync.Mutex
	names []string
}

func record(name string) {
	calls.Lock()
	defer calls.Unlock()
	calls.names = append(calls.names, name)
}

func init() {
	kernel.Register("sample", section{}, func(h *kernel.Host, s section) ([]kernel.Duty, error) {
		h.OnStop(kernel.PhaseRelease, func(context.Context) error { record("release"); return nil })
		h.OnStop(kernel.PhaseNotReady, func(context.Context) error { record("ready"); return nil })
		h.OnStop(kernel.PhaseDrain, func(context.Context) error { record("drain"); return nil })
		return []kernel.Duty{{Name: "wait", Run: func(ctx context.Context) error {
			if s.Fail {
				return errDuty
			}
			<-ctx.Done()
			record("duty")
			return ctx.Err()
		}}}, nil
	})
}

// run runs a process with the given settings until a duty fails or ctx is done.
func run(ctx context.Context, c *qt.C, text string) error {
	calls.names = nil
	s, err := kernel.ParseSettings([]byte(text))
	c.Assert(err, qt.IsNil)
	k, err := kernel.New(s, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	return k.Run(ctx)
}

// Guards against duties that are cancelled before the stop hooks have drained the work in flight.
func TestStopOrder(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(run(ctx, c, `{"name":"a","plugins":{"sample":{}}}`), qt.IsNil)
	c.Assert(calls.names, qt.DeepEquals, []string{"ready", "drain", "release", "duty"})
}

// Guards against a process that keeps running after one of its duties failed.
func TestFailedDutyStopsProcess(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := qt.New(t)
	c.Assert(run(context.Background(), c, `{"name":"a","plugins":{"sample":{"fail":true}}}`), qt.ErrorIs, errDuty)
}

// Guards against invalid settings that are accepted.
func TestParseSettingsRejectsInvalid(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{`{"name":"a","naem":"b"}`, `{}`, `{"name":"a","plugins":{"none":{}}}`, `{`, `{"name":"a"} x`} {
		_, err := kernel.ParseSettings([]byte(text))
		c.Check(err, qt.ErrorIs, kernel.ErrSettings, qt.Commentf("%s", text))
	}
}

// Guards against faults that are reported one at a time or without their position.
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
