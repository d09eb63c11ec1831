package plan

import (
	"teaselloft/internal/core/kernel"
)

func init() {
	kernel.Register(Name, Defaults, build)
}

func build(h *kernel.Host, s Settings) ([]kernel.Duty, error) {
	events := kernel.Open(h, eventPort)
	calls := kernel.Open(h, callPort)
	subscribe(h, events)
	p := newPlanner(h, s, events, calls)
	c := &callDuty{host: h, calls: calls, events: events, timeout: s.CallTimeout.Value(), meters: p.meters}
	h.RegisterDump(Name, p.dump)
	return []kernel.Duty{
		{Name: "plan", Run: p.run},
		{Name: "plan.call", Run: c.run},
	}, nil
}
