package listen

import (
	"net"
	"time"

	"teaselloft/internal/core/kernel"
)

// Settings describe one listener.
type Settings struct {
	Address  string   `json:"address"` // IP address and port
	Limits   Limits   `json:"limits"`
	Timeouts Timeouts `json:"timeouts"`
	TLS      TLS      `json:"tls"`
}

// Limits bound what the peers of a listener can hold at a time.
type Limits struct {
	Connections int `json:"connections"` // open at a time; further ones wait to be accepted
	Header      int `json:"header"`      // bytes of a request's header
}

// Timeouts bound how long a slow peer is waited for.
type Timeouts struct {
	Header kernel.Duration `json:"header"` // to read a request's header
	Body   kernel.Duration `json:"body"`   // to read a request's body
	Write  kernel.Duration `json:"write"`  // to write an answer
	Idle   kernel.Duration `json:"idle"`   // between two requests of a connection
}

// Defaults returns the settings that a listener has unless its section says otherwise.
func Defaults() Settings {
	return Settings{
		Limits: Limits{Connections: 4096, Header: 32 << 10},
		Timeouts: Timeouts{
			Header: kernel.Duration(5 * time.Second),
			Body:   kernel.Duration(10 * time.Second),
			Write:  kernel.Duration(30 * time.Second),
			Idle:   kernel.Duration(75 * time.Second),
		},
	}
}

// Loopback reports whether the listener is reachable from this machine only.
func (s Settings) Loopback() bool {
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
