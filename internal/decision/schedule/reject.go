package schedule

import "teaselloft/internal/model/port"

// Reject returns what takes the place of a message that Step cannot process because of a fault in it or in Step: another
// message, or answers to those who wait. If ok is false, the state may lack what the message would have told, so that
// the owner must give the pool up and be replaced by one that reads the state again.
func Reject(m Message, reason error) (replacement Message, effects []Effect, ok bool) {
	switch m := m.(type) {
	case HeartbeatResult:
		if m.Err != nil {
			return nil, nil, false
		}
		// The executor then counts as silent, and its lease is not renewed.
		return HeartbeatResult{Executor: m.Executor, FencingToken: m.FencingToken, Sent: m.Sent, Now: m.Now, Err: reason}, nil, true
	case Submit:
		return nil, []Effect{Answer{Token: m.Token, Err: port.ErrUnknownOutcome}}, true
	case Relinquish:
		return nil, []Effect{Answer{Token: m.Token, Err: port.ErrUnknownOutcome}}, true
	case Cancel:
		return nil, []Effect{Answer{Token: m.Token, Err: port.ErrUnavailable}}, true
	case SetLimits:
		return nil, []Effect{Answer{Token: m.Token, Err: port.ErrUnavailable}}, true
	case Vacate:
		return nil, []Effect{Answer{Token: m.Token, Err: port.ErrUnavailable}}, true
	case AdviceResult:
		return AdviceResult{Step: m.Step, Now: m.Now, Err: reason}, nil, m.Err == nil
	case Tick, RunCycle, ConfigChanged, ExecutorsListed, ExecutorsReplaced, OrderResult, CommitResult, CommitStalled, FormerOwnerEnded, HandOver:
		return nil, nil, false
	default:
		return nil, nil, false
	}
}
