package plan

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/wave"
)

// Name is the plug-in's name.
const Name = "plan"

// Settings are the settings section of the plug-in.
type Settings struct {
	DrainGrace       kernel.Duration `json:"grace"`  // minimum duration of a drain
	DrainTimeout     kernel.Duration `json:"drain"`  // a longer drain waits for the operator
	RebootTimeout    kernel.Duration `json:"reboot"` // after it, an instance that is not live has failed
	RebootSettle     kernel.Duration `json:"settle"` // maximum lag of the instance list
	Cooldown         kernel.Duration `json:"hold"`   // of a service after unplanned failures
	PollInterval     kernel.Duration `json:"poll"`   // between polls of the requests in flight at draining instances
	DecisionInterval kernel.Duration `json:"pace"`   // minimum between two decisions
	CallTimeout      kernel.Duration `json:"call"`   // timeout of one store call
}

// Defaults are the default settings.
var Defaults = Settings{
	DrainGrace:       kernel.Duration(wave.Defaults().DrainGrace),
	DrainTimeout:     kernel.Duration(wave.Defaults().DrainTimeout),
	RebootTimeout:    kernel.Duration(wave.Defaults().RebootTimeout),
	RebootSettle:     kernel.Duration(wave.Defaults().RebootSettle),
	Cooldown:         kernel.Duration(wave.Defaults().Cooldown),
	PollInterval:     kernel.Duration(time.Second),
	DecisionInterval: kernel.Duration(500 * time.Millisecond), // a decision over 1,300 instances takes some milliseconds
	CallTimeout:      kernel.Duration(5 * time.Second),
}

func (s Settings) wave() wave.Settings {
	w := wave.Defaults()
	w.DrainGrace = s.DrainGrace.Value()
	w.DrainTimeout = s.DrainTimeout.Value()
	w.RebootTimeout = s.RebootTimeout.Value()
	w.RebootSettle = s.RebootSettle.Value()
	w.Cooldown = s.Cooldown.Value()
	return w
}
