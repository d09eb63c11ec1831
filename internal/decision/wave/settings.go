package wave

import "time"

// Settings are the time limits and thresholds of the planner.
//
// RebootSettle and RebootTimeout count from the beginning of a reboot. No instance is taken out of a service during its
// cooldown.
type Settings struct {
	DrainGrace                  time.Duration `json:"grace"`         // minimum duration of a drain
	DrainTimeout                time.Duration `json:"drain_limit"`   // a longer drain waits for the operator
	RebootSettle                time.Duration `json:"settle"`        // after it, a live instance counts as rebooted
	RebootTimeout               time.Duration `json:"return_limit"`  // after it, an instance that is not live has failed
	MaxListAge                  time.Duration `json:"list_limit"`    // no instance is taken out on an older instance list
	Cooldown                    time.Duration `json:"hold"`          // of a service after unplanned failures
	ReadRetry                   time.Duration `json:"read_again"`    // between attempts to load the records or reread one in doubt
	ProgressInterval            time.Duration `json:"report_every"`  // minimum between writes of a wave's progress
	ProgressIntervalPerInstance time.Duration `json:"report_each"`   // added for each instance of the wave
	FailureWindow               int           `json:"fail_window"`   // number of last finished instances that count
	MaxFailures                 int           `json:"failures_stop"` // failures in the window that stop a wave
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		DrainGrace:       6 * time.Second, // a draining endpoint may still get new requests for 5 s
		DrainTimeout:     10 * time.Minute,
		RebootSettle:     time.Minute, // covers the lag of the instance list
		RebootTimeout:    15 * time.Minute,
		MaxListAge:       time.Minute,
		Cooldown:         2 * time.Minute,
		ReadRetry:        2 * time.Second,
		ProgressInterval: time.Minute,
		// A wave record takes about 80 bytes per instance, and every daemon's watch receives each write of it.
		ProgressIntervalPerInstance: 250 * time.Millisecond,
		FailureWindow:               10,
		MaxFailures:                 3,
	}
}
