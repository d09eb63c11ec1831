package listen

import (
	"net"
	"time"

	"teaselloft/internal/core/kernel"
)

// Settings configure one listener.
type Settings struct {
	Address  string   `json:"address"` // IP address and port
	Limits   Limits   `json:"limits"`
	Timeouts Timeouts `json:"timeouts"`
	TLS      TLSFiles `json:"tls"`
}

// Limits bound the resources that the peers of a listener can use; handlers enforce the header limit with HeaderSize.
type Limits struct {
	Connections int `json:"connections"` // concurrently open, 0 for no limit; further ones displace idle ones or are refused
	Header      int `json:"header"`      // largest request header, in bytes
}

// Timeouts bound the time a listener waits for a slow peer.
type Timeouts struct {
	Header kernel.Duration `json:"header"` // to read a request's header
	Body   kernel.Duration `json:"body"`   // to read a request's body, beside the time for its length (BudgetSettings)
	Write  kernel.Duration `json:"write"`  // to write a part of a response; handlers may set a deadline for all of it
	Idle   kernel.Duration `json:"idle"`   // between two requests on a connection
}

// Defaults returns the default settings of a listener, without an address.
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

// Loopback reports whether the address is a loopback IP address, reachable from this machine only.
func (s Settings) Loopback() bool {
	host, _, err := net.SplitHostPort(s.Address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
