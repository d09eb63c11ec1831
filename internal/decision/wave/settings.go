package wave

import "time"

// Settings are the limits of the planner.
type Settings struct {
	DrainGrace                  time.Duration `json:"grace"`         // an instance drains at least this long
	DrainTimeout                time.Duration `json:"drain_limit"`   // a longer drain waits for the operator
	RebootSettle                time.Duration `json:"settle"`        // an instance that is live this long after its reboot began has returned
	RebootTimeout               time.Duration `json:"return_limit"`  // an instance that is not live by then has failed
	MaxListAge                  time.Duration `json:"list_limit"`    // nothing is taken out on an older instance list
	Cooldown                    time.Duration `json:"hold"`          // nothing is taken out of a service after unplanned failures
	ReadRetry                   time.Duration `json:"read_again"`    // between attempts to read a record whose write is in doubt
	ProgressInterval            time.Duration `json:"report_every"`  // between writes of a wave's progress, at least
	ProgressIntervalPerInstance time.Duration `json:"report_each"`   // longer for each instance of the wave
	FailureWindow               int           `json:"fail_window"`   // finished instances over which failures are counted
	MaxFailures                 int           `json:"failures_stop"` // failures in the window that stop a wave
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		DrainGrace:                  6 * time.Second, // a leaving endpoint may get new work for 5 s
		DrainTimeout:                10 * time.Minute,
		RebootSettle:                time.Minute, // covers the lag of the instance list
		RebootTimeout:               15 * time.Minute,
		MaxListAge:                  time.Minute,
		Cooldown:                    2 * time.Minute,
		ReadRetry:                   2 * time.Second,
		ProgressInterval:            time.Minute,
		ProgressIntervalPerInstance: 250 * time.Millisecond, // a wave record has about 80 bytes an instance, which every daemon's watch receives
		FailureWindow:               10,
		MaxFailures:                 3,
	}
}
