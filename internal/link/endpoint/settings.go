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
	DialTimeout     kernel.Duration `json:"dial"`  // limit for opening a connection, including the TLS handshake
	MaxConnAge      kernel.Duration `json:"age"`   // a connection of this age takes no new requests
	IdleTimeout     kernel.Duration `json:"idle"`  // a connection is closed after being unused for this time
	MaxAnswerHeader int64           `json:"reply"` // maximum bytes of an answer's header
	TLS             listen.TLSFiles `json:"tls"`
}

// Defaults holds the values of settings that the plug-in's section omits.
var Defaults = Settings{
	DialTimeout:     kernel.Duration(time.Second),
	MaxConnAge:      kernel.Duration(60 * time.Second),
	IdleTimeout:     kernel.Duration(15 * time.Second), // shorter than the usual idle timeouts of servers
	MaxAnswerHeader: 64 << 10,
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
