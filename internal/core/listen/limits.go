package listen

import (
	"fmt"
	"syscall"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/strict"
	"teaselloft/internal/decision/shedding"
)

// LimitsPlugin is the name of the plug-in that configures the budget of a process.
const LimitsPlugin = "limits"

// BudgetSettings configures what the clients of a process may use together.
type BudgetSettings struct {
	Memory      int64           `json:"memory"`      // of the process, in MB
	Descriptors int             `json:"descriptors"` // that the process may open; 0 for the limit of the operating system
	Wait        kernel.Duration `json:"wait"`        // longest time that a request waits for memory
	Stall       kernel.Duration `json:"stall"`       // time for 4 KB of a request after which its sender may be cut off
	Unread      kernel.Duration `json:"unread"`      // time after which a client that doesn't read its answer may be cut off
	Silence     kernel.Duration `json:"silence"`     // age from which a connection that has sent nothing may be closed
	Rate        int64           `json:"rate"`        // least bytes of a body a second, beyond the timeout for bodies
}

// DefaultBudget holds the settings that the section omits. They affect only clients of a process that is short of memory or
// connections, except Rate.
var DefaultBudget = BudgetSettings{
	Memory:  1024,
	Wait:    kernel.Duration(300 * time.Millisecond),
	Stall:   kernel.Duration(500 * time.Millisecond),
	Unread:  kernel.Duration(time.Second),
	Silence: kernel.Duration(time.Second),
	Rate:    16 << 10,
}

// Shares of the memory and of the descriptors of a process.
const (
	memoryShare    = 4   // a quarter for clients; the collector needs about as much again
	reservedShare  = 8   // of the memory for clients, for small requests and for peers each
	files          = 200 // descriptors that are kept for files
	clientsPercent = 70  // of the other descriptors
	peersPercent   = 12  // the rest is for connections that the process opens itself
)

// lostLink is several times the interval at which daemons ping each other.
const lostLink = 5 * time.Second

// Costs that are set aside, in bytes.
const (
	connectionCost = 12 << 10 // of an open connection: goroutine, buffers, and a request with a short head
	freeHead       = 4 << 10  // of the cost of a head, part of connectionCost
	maxHead        = 1 << 20  // largest cost of a head: 16 KB of fields of 8 bytes take half of it
	smallRequest   = 32 << 10 // largest cost of a request that counts as small
	firstChunk     = 8 << 10  // set aside for a body of unknown length, and doubled as it grows
	firstMessage   = 512      // first buffer of a message of a peer
	chunkedCost    = 2        // a body of unknown length is copied as it grows
	// A field of a head costs far more than its bytes: its strings, slices and part of the map.
	headByteCost, headLineCost = 2, 256
	// The lines of a head can't be counted in an encrypted connection. The factor is that of a head of short fields.
	secureByteCost = 16
)

// limits returns the limits for the decisions.
func (s BudgetSettings) limits() shedding.Limits {
	memory := s.Memory << 20 / memoryShare
	descriptors := s.Descriptors
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && (descriptors <= 0 || limit.Cur < uint64(descriptors)) {
		descriptors = int(min(limit.Cur, 1<<20))
	}
	available := max(descriptors-files, descriptors/4)
	return shedding.Limits{
		Memory: memory, SmallOnly: memory / reservedShare, PeersOnly: memory / reservedShare,
		Connections: available * clientsPercent / 100, Peers: available * peersPercent / 100,
		Wait: s.Wait.Value(), Stall: s.Stall.Value(), Unread: s.Unread.Value(), Silence: s.Silence.Value(), LostLink: lostLink,
	}
}

func init() {
	kernel.Register(LimitsPlugin, DefaultBudget, func(h *kernel.Host, _ BudgetSettings) ([]kernel.Duty, error) {
		_, err := SharedBudget(h)
		return nil, err
	})
}

// sharedSettings returns the settings of the plug-in, also for a process that does not run it. A listener may be built
// before the plug-in.
func sharedSettings(h *kernel.Host) (BudgetSettings, error) {
	s := DefaultBudget
	section := h.Settings.Plugins[LimitsPlugin]
	if len(section) == 0 || string(section) == "null" {
		return s, nil
	}
	if err := strict.Decode("", section, &s); err != nil {
		return s, fmt.Errorf("settings of plug-in %q: %w", LimitsPlugin, err)
	}
	if s.Memory <= 0 || s.Rate <= 0 {
		return s, fmt.Errorf("settings of plug-in %q: memory and rate must be positive", LimitsPlugin)
	}
	return s, nil
}
