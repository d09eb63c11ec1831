package message

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
)

// ConfigPort delivers configurations received from other entry instances to the configuration duty.
var ConfigPort = kernel.Port[ConfigChanged]{Name: "config.offer", Capacity: 16, Policy: ring.Refuse}

// ConfigStatus returns the active configuration version. The configuration plug-in implements it.
type ConfigStatus interface {
	// ActiveVersion returns the active version, or 0 if there is none yet, and the time of its activation.
	ActiveVersion() (version uint64, since time.Time)
}
