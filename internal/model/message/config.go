package message

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
)

// OfferPort delivers configurations received from other entry instances to the configuration duty.
var OfferPort = kernel.Port[Configured]{Name: "config.offer", Capacity: 16, Policy: ring.Refuse}

// InForce returns the active configuration version. The configuration plug-in implements it.
type InForce interface {
	// InForce returns the active version, or 0 if there is none yet, and the time of its activation.
	InForce() (version uint64, since time.Time)
}
