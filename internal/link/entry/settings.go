package entry

import (
	"errors"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/listen"
)

// Name is the name of the plug-in.
const Name = "entry"

// Settings configures the plug-in.
type Settings struct {
	Listen           listen.Settings `json:"listen"`
	Credential       string          `json:"credential"` // shared secret of the entry instances of a site
	TLS              listen.TLSFiles `json:"tls"`        // for outgoing links
	HandshakeTimeout kernel.Duration `json:"handshake"`  // limit for opening a link, including the exchange of hellos
	PingInterval     kernel.Duration `json:"ping"`       // interval between pings
	PongTimeout      kernel.Duration `json:"pong"`       // limit for a pong, a write or the closing of a link
	IdleTimeout      kernel.Duration `json:"idle"`       // an outgoing link without frames for this long is closed
	ReadIdleTimeout  kernel.Duration `json:"silence"`    // an incoming link without frames and pings for this long is closed
}

// Defaults holds the values of settings that the plug-in's section omits.
var Defaults = Settings{
	Listen:           listen.Defaults(),
	HandshakeTimeout: kernel.Duration(time.Second),
	// A dead peer is detected within 0.95 s. Each ping costs about 170 bytes, including TCP and IP headers.
	PingInterval:    kernel.Duration(500 * time.Millisecond),
	PongTimeout:     kernel.Duration(450 * time.Millisecond),
	IdleTimeout:     kernel.Duration(30 * time.Second),
	ReadIdleTimeout: kernel.Duration(3 * time.Second),
}

// Limits of a link.
const (
	maxFrame       = 64 << 10 // bytes
	peerCapacity   = 1024     // queued frames for one entry instance
	updateCapacity = 256      // queued membership changes; publishers block while the ring is full
)

// Bounds of the backoff between attempts to open a link.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

var errNoCredential = errors.New(`field "credential" is missing`)

// handshakePath is the HTTP path of the WebSocket handshake.
const handshakePath = "/entry"

// subprotocol is the WebSocket subprotocol. Its number changes when older versions cannot read the new frames.
const subprotocol = "teaselloft.1"
