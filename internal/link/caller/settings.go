package caller

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
)

// Name is the name of the plug-in.
const Name = "caller"

// Settings configures the plug-in.
type Settings struct {
	Listen          listen.Settings `json:"listen"`
	MaxBody         int64           `json:"body"`   // maximum bytes of a request body
	MaxBodyMemory   int64           `json:"memory"` // maximum bytes of all request bodies in memory
	AnswerBuffer    int64           `json:"buffer"` // maximum bytes of an answer that is buffered; larger answers are streamed
	MaxStoredAnswer int             `json:"keep"`   // maximum bytes, with header, of an answer stored for a repeated idempotency key
	ShutdownDelay   kernel.Duration `json:"grace"`  // time between readyz reporting not ready and the listener closing
}

// Defaults holds the values of settings that the plug-in's section omits.
var Defaults = Settings{
	Listen:        listen.Defaults(),
	MaxBody:       1 << 20,
	MaxBodyMemory: 512 << 20, // without this limit, 4096 connections could hold 4 GB
	AnswerBuffer:  1 << 20,
	// Entry instances exchange stored answers in frames of at most 64 KB, of which framing takes some bytes.
	MaxStoredAnswer: 60 << 10,
	ShutdownDelay:   kernel.Duration(time.Second),
}

// Limits for requests.
const (
	defaultTimeout = 10 * time.Second
	maxTimeout     = 30 * time.Second
	maxKey         = 255 // bytes of an idempotency key
	maxName        = 255 // bytes of a service name
	maxLabel       = 255 // bytes of a fleet or caller name
)

// busyRetry is the Retry-After time of requests that are refused for lack of ring capacity or body memory, or whose
// send failed.
const busyRetry = time.Second
