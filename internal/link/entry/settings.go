package entry

import (
	"errors"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
)

// Name is the plug-in's name.
const Name = "entry"

// Settings of the plug-in.
type Settings struct {
	Listen     listen.Settings `json:"listen"`
	Credential string          `json:"credential"` // shared by the entry instances of a site
	TLS        listen.TLSFiles `json:"tls"`        // of the links that this entry instance dials
	Handshake  kernel.Duration `json:"handshake"`  // to open a link, with the exchange of hellos
	Ping       kernel.Duration `json:"ping"`       // between two pings
	Pong       kernel.Duration `json:"pong"`       // to wait for the answer to a ping or the end of a write
	Idle       kernel.Duration `json:"idle"`       // after which a link without frames is closed
	Silence    kernel.Duration `json:"silence"`    // after which a link on which nothing arrives is closed
}

// Defaults are the settings unless the section says otherwise.
var Defaults = Settings{
	Listen:    listen.Defaults(),
	Handshake: kernel.Duration(time.Second),
	// A dead peer is found within 0.95 s; each ping costs about 170 bytes with the headers of TCP and IP.
	Ping:    kernel.Duration(500 * time.Millisecond),
	Pong:    kernel.Duration(450 * time.Millisecond),
	Idle:    kernel.Duration(30 * time.Second),
	Silence: kernel.Duration(3 * time.Second),
}

// Limits of a link.
const (
	maxFrame       = 64 << 10 // bytes
	peerCapacity   = 1024     // frames that wait for one entry instance
	updateCapacity = 256      // membership changes; publishers wait when the ring is full
)

// Pauses between the attempts to reach an entry instance.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
)

var errNoCredential = errors.New(`field "credential" is missing`)

// path is the HTTP path of the handshake.
const path = "/entry"

// protocol is the WebSocket subprotocol; its number changes with frames that older versions cannot read.
const protocol = "teaselloft.1"
