package confirmation

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxAge is how long keys are accepted after the configuration was last confirmed. A removed key must be refused 9 s after
// its removal (config-apply-ms and outer-ms); 0.5 s of that is left for requests that were admitted before.
const MaxAge = 8500 * time.Millisecond

// Intervals of the calls to other daemons.
const (
	AskInterval = 500 * time.Millisecond // the least time between two calls
	lateMargin  = time.Second            // beyond the usual interval between two answers of the store
)

// State is what a daemon knows about the age of its configuration. Times are on the boot clock. It is immutable.
type State struct {
	known      bool
	at         time.Duration // latest time at which no newer version existed, if known
	answeredAt time.Duration // when the store last answered the watch of the operators' items
	failed     bool          // the last call of that watch has failed
	askedAt    time.Duration // when another daemon was last asked, 0 for never
	asked      uint64        // position of that daemon in the order of the members
}

// New returns the state of a daemon that starts.
func New(now time.Duration) State { return State{answeredAt: now} }

// WithStoreAnswer returns a copy after the store has answered a list or a watch that was sent at a time, with or without
// changes.
func (s State) WithStoreAnswer(sent, now time.Duration) State {
	s.answeredAt, s.failed = now, false
	return s.withConfirmation(sent)
}

// WithUnusedAnswer returns a copy after the store has answered, while a newer configuration than the one in force can't be used.
// That one is not confirmed.
func (s State) WithUnusedAnswer(now time.Duration) State {
	s.answeredAt, s.failed = now, false
	return s
}

// WithStoreFailure returns a copy after a call of the watch has failed.
func (s State) WithStoreFailure() State {
	s.failed = true
	return s
}

// WithPeerAnswer returns a copy after another daemon, which was asked at a time, has answered with the same version as the
// current one and the age of its confirmation. The age is that of the answer, so that the confirmation is no older than the
// question minus the age.
func (s State) WithPeerAnswer(asked, age time.Duration) State {
	if age < 0 {
		return s
	}
	return s.withConfirmation(asked - age)
}

func (s State) withConfirmation(at time.Duration) State {
	if !s.known || at > s.at {
		s.known, s.at = true, at
	}
	return s
}

// ConfirmedAt returns the latest time at which the configuration is known to have been the newest one.
func (s State) ConfirmedAt() (at time.Duration, ok bool) { return s.at, s.known }

// shortWait is how long a watch that follows a failed one waits for a change. It must not be 0, for which the store has a
// default of its own.
const shortWait = 100 * time.Millisecond

// WatchWait returns how long the next watch waits for a change. A store that is slow for all daemons answers a short call in
// time, but not one that has to wait, and then no daemon has a confirmed configuration.
func (s State) WatchWait(usual time.Duration) time.Duration {
	if s.failed {
		return shortWait
	}
	return usual
}

// IsFailing reports whether the last call of the watch has failed.
func (s State) IsFailing() bool { return s.failed }

// IsFresh reports whether a configuration that was confirmed at a time may be used to accept keys.
func IsFresh(now, confirmedAt time.Duration) bool { return now-confirmedAt <= MaxAge }

// NextPeer returns the daemon to ask for its configuration now, if there is one to ask, and the state after the call has
// been made. Interval is the usual time between two answers of the store. Each call goes to another daemon, in an order that
// differs from daemon to daemon: if the store refuses a whole zone, whose daemons have similar names, the calls of each of
// them soon reach another zone.
func (s State) NextPeer(now, interval time.Duration, self string, members []string) (next State, peer string, ok bool) {
	if !s.failed && now-s.answeredAt <= interval+lateMargin {
		return s, "", false
	}
	if s.askedAt != 0 && now-s.askedAt < AskInterval {
		return s, "", false
	}
	position := func(name string) uint64 { return xxhash.Sum64String(self + "/" + name) }
	order := slices.DeleteFunc(slices.Clone(members), func(name string) bool { return name == self })
	if len(order) == 0 {
		return s, "", false
	}
	slices.SortFunc(order, func(a, b string) int { return cmp.Compare(position(a), position(b)) })
	i := slices.IndexFunc(order, func(name string) bool { return position(name) > s.asked })
	peer = order[max(i, 0)]
	s.askedAt, s.asked = now, position(peer)
	return s, peer, true
}
