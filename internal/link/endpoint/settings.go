package endpoint

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
)

// Name is the name of the plug-in.
const Name = "endpoint"

// Settings configures the plug-in.
type Settings struct {
	Dial  kernel.Duration `json:"dial"`  // limit for opening a connection, including the TLS handshake
	Age   kernel.Duration `json:"age"`   // a connection of this age takes no new requests
	Idle  kernel.Duration `json:"idle"`  // a connection is closed after being unused for this time
	Reply int64           `json:"reply"` // maximum bytes of an answer's header
	TLS   listen.TLSFiles `json:"tls"`
}

// Defaults holds the values of settings that the plug-in's section omits.
var Defaults = Settings{
	Dial:  kernel.Duration(time.Second),
	Age:   kernel.Duration(60 * time.Second),
	Idle:  kernel.Duration(15 * time.Second), // shorter than the usual idle timeouts of servers
	Reply: 64 << 10,
}

// Limits for executors that the configuration does not contain.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// maxStaleConns is the maximum number of connections that one Send tries if each was closed before a byte was written.
const maxStaleConns = 5

// updateCapacity is the capacity of the ring of updates. Publishers wait while it is full.
const updateCapacity = 256
