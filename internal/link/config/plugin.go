package config

import (
	"context"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Default settings, in ms.
const (
	DefaultRetryInterval    = 100
	DefaultMaxRetryInterval = 2000 // a version must be in effect within 6 s, also right after an outage
)

// headCapacity is the number of heads that wait while a version is assembled; the duty takes all of them at once.
const headCapacity = 64

// Settings are the settings section of the plug-in.
type Settings struct {
	RetryInterval    int `json:"retry"`    // ms before the first retry of a failed read
	MaxRetryInterval int `json:"maxRetry"` // maximum ms between retries
}

func init() {
	kernel.Register("config", Settings{RetryInterval: DefaultRetryInterval, MaxRetryInterval: DefaultMaxRetryInterval}, build)
}

var headPort = kernel.Port[record.ConfigHead]{Name: "config.head", Capacity: headCapacity, Policy: ring.Block}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	d := newDuty(h, s)
	kernel.Subscribe(h, message.RecordTopic, func(ctx context.Context, c message.RecordChanged) error {
		head, ok := c.Record.(record.ConfigHead)
		if !ok || c.Deleted {
			return nil
		}
		return d.heads.Push(ctx, head)
	})
	kernel.Provide[message.ConfigStatus](h, d.status)
	h.RegisterDump("config", func() any { return d.status.load() })
	return []kernel.Duty{{Name: "config", Run: d.run}}, nil
}

func ms(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
