package polling

import "time"

// Interval is the time between two watches of items that change all the time. It is shorter where the changes of a whole
// interval would not fit into one answer of the store, since a reader that takes fewer changes than are written falls
// behind without limit. It is immutable.
type Interval struct {
	longest time.Duration
	batch   int // changes that one answer holds at most
	current time.Duration
}

const (
	// fullPercent of a batch counts as a full answer, since the store gives its limit as approximate.
	fullPercent = 90
	// usualPercent of a batch is collected at most, which leaves room to catch up and for rates that rise.
	usualPercent = 70
)

// NewInterval returns the interval between watches whose answers hold a limited number of changes. It is never longer than
// the given time. A batch of 0 means no limit.
func NewInterval(longest time.Duration, batch int) Interval {
	return Interval{longest: longest, batch: batch, current: longest}
}

// Value returns the time until the next watch.
func (i Interval) Value() time.Duration { return i.current }

// WithAnswer returns a copy after an answer with a number of changes, received a time after the one before. After a full
// answer the next watch follows at once.
func (i Interval) WithAnswer(changes int, since time.Duration) Interval {
	switch {
	case i.batch == 0 || changes == 0:
		i.current = i.longest
	case changes*100 >= i.batch*fullPercent:
		i.current = 0
	default:
		i.current = min(i.longest, since*time.Duration(i.batch*usualPercent/100)/time.Duration(changes))
	}
	return i
}
