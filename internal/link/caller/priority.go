package caller

import (
	"strings"

	"teaselloft/internal/model/message"
)

const headerPriority = "Priority"

// Urgency levels of RFC 9218.
const (
	defaultUrgency   = 3
	lastUrgentLevel  = 1
	firstBackground  = 6
	lowestUrgency    = '7'
	urgencyParameter = "u"
)

// classOf returns the class of a Priority header; RFC 9218 has receivers ignore what they do not understand.
func classOf(values []string) message.Class {
	urgency := defaultUrgency
	for member := range strings.SplitSeq(strings.Join(values, ","), ",") {
		name, value, _ := strings.Cut(strings.Trim(member, " \t"), "=")
		value, _, _ = strings.Cut(value, ";")
		if name == urgencyParameter && len(value) == 1 && value[0] >= '0' && value[0] <= lowestUrgency {
			urgency = int(value[0] - '0')
		}
	}
	switch {
	case urgency <= lastUrgentLevel:
		return message.Urgent
	case urgency >= firstBackground:
		return message.Background
	default:
		return message.Normal
	}
}
