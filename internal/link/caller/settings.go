package caller

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
)

// Name is the plug-in's name.
const Name = "caller"

// Settings of the plug-in.
type Settings struct {
	Listen listen.Settings `json:"listen"`
	Body   int64           `json:"body"`   // bytes of a request's body
	Memory int64           `json:"memory"` // bytes of all bodies held at a time
	Buffer int64           `json:"buffer"` // bytes of an answer that are read before the first is passed on
	Keep   int             `json:"keep"`   // bytes of an answer, with its header, that is kept for a repeated key
	Grace  kernel.Duration `json:"grace"`  // between readyz turning false and the listener closing
}

// Defaults are the settings unless the section says otherwise.
var Defaults = Settings{
	Listen: listen.Defaults(),
	Body:   1 << 20,
	Memory: 512 << 20, // without it, 4096 connections could hold 4 GB
	Buffer: 1 << 20,
	// Kept answers travel in frames of at most 64 KB between entry instances, with some bytes of framing.
	Keep:  60 << 10,
	Grace: kernel.Duration(time.Second),
}

// Bounds of what a caller may ask for.
const (
	defaultTimeout = 10 * time.Second
	maxTimeout     = 30 * time.Second
	maxKey         = 255 // bytes of an idempotency key
	maxName        = 255 // bytes of a service name
	maxLabel       = 255 // bytes of a fleet's or caller's name
)

// busyRetry is the Retry-After of requests refused on a full ring.
const busyRetry = time.Second
