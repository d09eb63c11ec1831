package caller

import (
	"strings"

	"teaselloft/internal/model/message"
)

const headerPriority = "Priority"

// Urgency levels of RFC 9218, 0 being the most urgent.
const (
	defaultUrgency       = 3
	lastUrgentLevel      = 1
	firstBackgroundLevel = 6
	lowestUrgencyDigit   = '7'
	urgencyParameter     = "u"
)

// classOf returns the class for the values of the Priority header. As RFC 9218 requires, it ignores unknown and invalid
// parameters.
func classOf(values []string) message.Class {
	urgency := defaultUrgency
	for member := range strings.SplitSeq(strings.Join(values, ","), ",") {
		name, value, _ := strings.Cut(strings.Trim(member, " \t"), "=")
		value, _, _ = strings.Cut(value, ";")
		if name == urgencyParameter && len(value) == 1 && value[0] >= '0' && value[0] <= lowestUrgencyDigit {
			urgency = int(value[0] - '0')
		}
	}
	switch {
	case urgency <= lastUrgentLevel:
		return message.Urgent
	case urgency >= firstBackgroundLevel:
		return message.Background
	default:
		return message.Normal
	}
}
