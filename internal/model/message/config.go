package message

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
)

// OfferPort leads to the configuration duty, for a configuration from another entry instance.
var OfferPort = kernel.Port[Configured]{Name: "config.offer", Capacity: 16, Policy: ring.Refuse}

// InForce tells which configuration version is in force; the configuration plug-in provides it.
type InForce interface {
	// InForce returns the version, 0 when there is none yet, and when it came into force.
	InForce() (version uint64, since time.Time)
}
