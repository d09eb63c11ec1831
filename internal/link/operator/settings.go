package operator

import "teaselloft/internal/core/listen"

// Name is the name of the plug-in.
const Name = "operator"

// Settings configures the plug-in.
type Settings struct {
	Listen         listen.Settings `json:"listen"`
	Token          string          `json:"token"`  // bearer token that every request must have
	AllowAnonymous bool            `json:"open"`   // requests need no token; allowed on a loopback address only
	FaultInjection bool            `json:"faults"` // serve POST /cut, which simulates partitions in failure tests
}

// Defaults holds the values of settings that the plug-in's section omits.
var Defaults = Settings{Listen: listen.Defaults()}

// updateCapacity is the capacity of the ring of view updates. Publishers block while it is full.
const updateCapacity = 256

// maxBody limits the body of a POST request, in bytes.
const maxBody = 4 << 10
