package maintenance

import (
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"time"
)

// Time limits of orders and of the confirmations by the store that this daemon still owns the fleet. A former owner that
// is cut off from the store must have given its last order before the next owner gives its first one, because not all
// platforms check fencing tokens, and those that do check them for each instance separately. The next owner takes the
// fleet over after the last write of this one was sent, so the following must hold on a clock that is 2% slow:
//
//	confirmationLifetime + OrderTimeout < takeoverDelay
//
// An order that the platform carries out later than OrderTimeout is not covered.
const (
	// OrderTimeout is the time from sending an order until its sender gives it up.
	OrderTimeout = 800 * time.Millisecond
	// confirmationLifetime is the time since a confirming write was sent within which orders may be sent.
	confirmationLifetime = 600 * time.Millisecond
	// No orders are sent until the list has been requested this long after a takeover, and therefore shows the last orders
	// of the previous owner.
	takeoverDelay = confirmationLifetime + OrderTimeout + 100*time.Millisecond
	// confirmationRetryInterval limits the store calls of an owner whose confirmations are refused.
	confirmationRetryInterval = 500 * time.Millisecond
	// An owner that has waited this long for a confirmation plans nothing and leaves executors to their pools.
	unconfirmedAfter = time.Second
)

// confirmation is the state of the proof that this daemon still owns the fleet. It is immutable.
type confirmation struct {
	at          time.Duration // when the last successful write was sent, 0 before the first one
	pending     bool          // a write was requested and its result is pending
	retryAt     time.Duration // before which no write is requested
	wantedSince time.Duration // when a write was first requested after the last successful one, 0 if none was
	overdue     bool          // the owner has waited longer than unconfirmedAfter
}

// validUntil returns the time until which orders may be sent.
func (c confirmation) validUntil() time.Duration {
	if c.at == 0 {
		return 0
	}
	return c.at + confirmationLifetime
}

// requestConfirmation asks for a confirmation unless one is pending or the last one has just failed.
func (s State) requestConfirmation() (State, []Effect) {
	c := &s.confirmation
	if c.pending || s.now < c.retryAt {
		return s, nil
	}
	c.pending = true
	if c.wantedSince == 0 {
		c.wantedSince = s.now
	}
	return s, []Effect{Confirm{}}
}

// checkConfirmation logs that a confirmation is overdue, and repeats the request if it has failed.
func (s State) checkConfirmation() (State, []Effect) {
	c := &s.confirmation
	if c.wantedSince == 0 {
		return s, nil
	}
	var out []Effect
	if !c.overdue && s.now-c.wantedSince > unconfirmedAfter {
		c.overdue = true
		out = append(out, Note{Level: slog.LevelWarn, Event: "fleet.unconfirmed", Attrs: []any{
			"since", s.now - c.wantedSince, "instances", len(s.operations),
		}})
	}
	s, effects := s.requestConfirmation()
	return s, append(out, effects...)
}

// onConfirmResult applies the result of a Confirm effect and sends the orders that have waited for it.
func onConfirmResult(s State, m ConfirmResult) (State, []Effect) {
	s.now = max(s.now, m.Now)
	c := &s.confirmation
	c.pending = false
	if m.Err != nil {
		c.retryAt = s.now + confirmationRetryInterval
		return s, nil
	}
	var out []Effect
	if c.overdue {
		out = append(out, Note{Level: slog.LevelWarn, Event: "fleet.confirmed", Attrs: []any{"since", s.now - c.wantedSince, "instances", len(s.operations)}})
	}
	c.at, c.wantedSince, c.overdue = max(c.at, m.Sent), 0, false
	s, effects := s.sendOrders()
	return s, append(out, effects...)
}

// sendOrders orders the operations whose executors are empty, and repeats the orders without an answer. If the store has
// not confirmed the ownership of the fleet recently, it asks for that first.
func (s State) sendOrders() (State, []Effect) {
	if s.listedAt < s.startedAt || !s.formerEnded && s.listedAt-s.startedAt < takeoverDelay {
		return s, nil
	}
	var out []Effect
	for _, name := range slices.Sorted(maps.Keys(s.operations)) {
		op := s.operations[name]
		i, ok := s.instances[name]
		repeated := op.stage == unanswered
		due := op.stage == vacating && ok && s.now < op.emptyUntil && op.emptyExecutor == i.Executor && s.allowed(op.purpose)
		if !due && !repeated {
			continue
		}
		sendBy := s.confirmation.validUntil()
		if s.now >= sendBy {
			var effects []Effect
			s, effects = s.requestConfirmation()
			return s, append(out, effects...)
		}
		if repeated {
			op.stage, op.since = ordered, s.now
			s = s.withOperation(name, op)
			out = append(out, orderFor(op.purpose, name, sendBy))
			continue
		}
		op.stage, op.since, op.executorBefore = ordered, s.now, i.Executor
		s = s.withOperation(name, op)
		out = append(out, orderFor(op.purpose, name, min(sendBy, op.emptyUntil)), Note{Level: slog.LevelInfo, Event: "instance.ordered", Attrs: []any{
			"instance", name, "purpose", fmt.Sprintf("%+v", op.purpose), "from", i.Pool, "executor", i.Executor,
		}})
	}
	return s, out
}
