package wave

import "time"

// Settings are the limits of the planner.
type Settings struct {
	Grace        time.Duration `json:"grace"`         // an instance drains at least this long
	DrainLimit   time.Duration `json:"drain_limit"`   // a longer drain waits for the operator
	Settle       time.Duration `json:"settle"`        // an instance that is live this long after its reboot began has returned
	ReturnLimit  time.Duration `json:"return_limit"`  // an instance that is not live by then has failed
	ListLimit    time.Duration `json:"list_limit"`    // nothing is taken out on an older instance list
	Hold         time.Duration `json:"hold"`          // nothing is taken out of a service after unplanned failures
	ReadAgain    time.Duration `json:"read_again"`    // between attempts to read a record whose write is in doubt
	ReportEvery  time.Duration `json:"report_every"`  // between writes of a wave's progress, at least
	ReportEach   time.Duration `json:"report_each"`   // longer for each instance of the wave
	FailWindow   int           `json:"fail_window"`   // finished instances over which failures are counted
	FailuresStop int           `json:"failures_stop"` // failures in the window that stop a wave
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Grace:        6 * time.Second, // a leaving endpoint may get new work for 5 s
		DrainLimit:   10 * time.Minute,
		Settle:       time.Minute, // covers the lag of the instance list
		ReturnLimit:  15 * time.Minute,
		ListLimit:    time.Minute,
		Hold:         2 * time.Minute,
		ReadAgain:    2 * time.Second,
		ReportEvery:  time.Minute,
		ReportEach:   250 * time.Millisecond, // a wave record has about 80 bytes an instance, which every daemon's watch receives
		FailWindow:   10,
		FailuresStop: 3,
	}
}
