package wave

import (
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/model/record"
)

// ErrInvalidTransition is wrapped by the error for a command that the wave's phase does not allow.
var ErrInvalidTransition = errors.New("command does not fit the phase of the wave")

// Command is an operator command for a wave.
type Command string

// The commands.
const (
	Start  Command = "start"
	Pause  Command = "pause"
	Resume Command = "resume"
	Cancel Command = "cancel"
)

// Apply returns the wave after the command. If the phase does not allow the command, it returns the unchanged wave
// and an error that wraps ErrInvalidTransition.
func Apply(w record.Wave, c Command, now time.Time) (record.Wave, error) {
	next, ok := transition(w.Phase, c)
	if !ok {
		return w, fmt.Errorf("%s wave %q in phase %q: %w", c, w.ID, w.Phase, ErrInvalidTransition)
	}
	return w.WithPhase(next, now), nil
}

func transition(from record.WavePhase, c Command) (record.WavePhase, bool) {
	switch c {
	case Start:
		return record.Running, from == record.Planned
	case Pause:
		return record.Paused, from == record.Running
	case Resume:
		return record.Running, from == record.Paused || from == record.Stopped
	case Cancel:
		return record.Cancelled, from != record.Done && from != record.Cancelled
	default:
		return from, false
	}
}
