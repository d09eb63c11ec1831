package config

import (
	"context"
	"time"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// Defaults of the settings, in ms.
const (
	DefaultRetry    = 100
	DefaultMaxRetry = 2000 // a version must be in effect within 6 s, also right after an outage
)

// headCapacity holds heads while one is assembled; the duty takes all waiting ones at once.
const headCapacity = 64

// Settings are the plug-in's settings section.
type Settings struct {
	Retry    int `json:"retry"`    // ms before the first repetition of a failed read
	MaxRetry int `json:"maxRetry"` // ms between repetitions at most
}

func init() {
	kernel.Register("config", Settings{Retry: DefaultRetry, MaxRetry: DefaultMaxRetry}, build)
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
