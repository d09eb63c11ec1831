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
	Grace  kernel.Duration `json:"grace"`  // minimum duration of a drain
	Drain  kernel.Duration `json:"drain"`  // a longer drain waits for the operator
	Reboot kernel.Duration `json:"reboot"` // after it, an instance that is not live has failed
	Settle kernel.Duration `json:"settle"` // maximum lag of the instance list
	Hold   kernel.Duration `json:"hold"`   // of a service after unplanned failures
	Poll   kernel.Duration `json:"poll"`   // between polls of the requests in flight at draining instances
	Pace   kernel.Duration `json:"pace"`   // minimum between two decisions
	Call   kernel.Duration `json:"call"`   // of one store call
}

// Defaults are the default settings.
var Defaults = Settings{
	Grace:  kernel.Duration(wave.Defaults().DrainGrace),
	Drain:  kernel.Duration(wave.Defaults().DrainTimeout),
	Reboot: kernel.Duration(wave.Defaults().RebootTimeout),
	Settle: kernel.Duration(wave.Defaults().RebootSettle),
	Hold:   kernel.Duration(wave.Defaults().Cooldown),
	Poll:   kernel.Duration(time.Second),
	Pace:   kernel.Duration(500 * time.Millisecond), // a decision over 1,300 instances takes some milliseconds
	Call:   kernel.Duration(5 * time.Second),
}

func (s Settings) wave() wave.Settings {
	w := wave.Defaults()
	w.DrainGrace = s.Grace.Value()
	w.DrainTimeout = s.Drain.Value()
	w.RebootTimeout = s.Reboot.Value()
	w.RebootSettle = s.Settle.Value()
	w.Cooldown = s.Hold.Value()
	return w
}
