package endpoint

import (
	"context"
	"fmt"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// update is a change that affects the connection limits.
//
//sumtype:decl
type update interface{ update() }

type configChanged struct{ fleet fleet.Fleet }

type memberChanged struct {
	entry string
	live  bool
}

type poolChanged struct {
	instance string
	pool     string // empty for the declared pool
}

func (configChanged) update() {}
func (memberChanged) update() {}
func (poolChanged) update()   {}

// subscribe forwards published changes that affect the connection limits to the ring.
func subscribe(h *kernel.Host, updates *ring.Ring[update]) {
	kernel.Subscribe(h, message.ConfigTopic, func(ctx context.Context, c message.ConfigChanged) error {
		return updates.Push(ctx, configChanged{fleet: c.Fleet})
	})
	kernel.Subscribe(h, message.RecordTopic, func(ctx context.Context, c message.RecordChanged) error {
		switch r := c.Record.(type) {
		case record.Member:
			return updates.Push(ctx, memberChanged{entry: r.Entry, live: !c.Deleted})
		case record.Instance:
			if c.Deleted {
				return updates.Push(ctx, poolChanged{instance: r.ID})
			}
			return updates.Push(ctx, poolChanged{instance: r.ID, pool: r.Pool})
		case record.Owner, record.Claim, record.ClaimSegment, record.Ledger, record.ConfigHead, record.Wave:
			return nil
		default:
			panic(fmt.Sprintf("endpoint: record %T is not handled", r))
		}
	})
}

// applyUpdates is the duty that applies updates and closes the connections that exceed the new limits.
func applyUpdates(ctx context.Context, updates *ring.Ring[update], t *connTable) error {
	limits := NewConnLimits()
	for {
		u, err := updates.Pull(ctx)
		if err != nil {
			return err
		}
		limits = apply(limits, u)
		t.setLimits(limits)
	}
}

func apply(l ConnLimits, u update) ConnLimits {
	switch u := u.(type) {
	case configChanged:
		return l.WithFleet(u.fleet)
	case memberChanged:
		if u.live {
			return l.WithMember(u.entry)
		}
		return l.WithoutMember(u.entry)
	case poolChanged:
		if u.pool == "" {
			return l.WithDeclaredPool(u.instance)
		}
		return l.WithPool(u.instance, u.pool)
	default:
		panic(fmt.Sprintf("endpoint: update %T is not handled", u))
	}
}
