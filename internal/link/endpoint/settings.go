package endpoint

import (
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
)

// Name is the plug-in's name.
const Name = "endpoint"

// Settings of the plug-in.
type Settings struct {
	Dial  kernel.Duration `json:"dial"` // to open a connection, with its TLS handshake
	Age   kernel.Duration `json:"age"`  // after which a connection takes no new request
	Idle  kernel.Duration `json:"idle"` // after which an unused connection is closed
	Reply int64           `json:"reply"`
	TLS   listen.TLSFiles `json:"tls"`
}

// Defaults are the settings unless the section says otherwise.
var Defaults = Settings{
	Dial:  kernel.Duration(time.Second),
	Age:   kernel.Duration(60 * time.Second),
	Idle:  kernel.Duration(15 * time.Second), // below the idle timeouts that servers commonly have
	Reply: 64 << 10,
}

// Bounds of executors that the configuration does not know.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// maxStale bounds how many connections that turn out closed before a byte is written one Send passes over.
const maxStale = 5

// updateCapacity is the length of the ring of bound updates; publishers wait when it is full.
const updateCapacity = 256
