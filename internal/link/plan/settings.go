package plan

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/decision/wave"
)

// Name is the plug-in's name.
const Name = "plan"

// Settings of the plug-in.
type Settings struct {
	Grace  kernel.Duration `json:"grace"`  // shortest drain
	Drain  kernel.Duration `json:"drain"`  // limit after which a drain waits for the operator
	Reboot kernel.Duration `json:"reboot"` // limit after which an instance has failed to come back
	Settle kernel.Duration `json:"settle"` // longest lag of the instance list
	Hold   kernel.Duration `json:"hold"`   // rest of a service after unplanned failures
	Poll   kernel.Duration `json:"poll"`   // between looks at the requests in flight of draining instances
	Pace   kernel.Duration `json:"pace"`   // between decisions at least, while events arrive
	Call   kernel.Duration `json:"call"`   // limit of one platform call
}

// Defaults are the settings unless the section says otherwise.
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
