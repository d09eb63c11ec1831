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

// update is a change of the bounds.
//
//sumtype:decl
type update interface{ update() }

type configured struct{ fleet fleet.Fleet }

type member struct {
	entry string
	live  bool
}

type place struct {
	instance string
	pool     string // empty for the declared one
}

func (configured) update() {}
func (member) update()     {}
func (place) update()      {}

// follow forwards the published changes that matter to the bounds.
func follow(h *kernel.Host, updates *ring.Ring[update]) {
	kernel.Subscribe(h, message.ConfigTopic, func(ctx context.Context, c message.ConfigChanged) error {
		return updates.Push(ctx, configured{fleet: c.Fleet})
	})
	kernel.Subscribe(h, message.RecordTopic, func(ctx context.Context, c message.RecordChanged) error {
		switch r := c.Record.(type) {
		case record.Member:
			return updates.Push(ctx, member{entry: r.Entry, live: !c.Deleted})
		case record.Instance:
			if c.Deleted {
				return updates.Push(ctx, place{instance: r.ID})
			}
			return updates.Push(ctx, place{instance: r.ID, pool: r.Pool})
		case record.Owner, record.Claim, record.ClaimSegment, record.Ledger, record.ConfigHead, record.Wave:
			return nil
		default:
			panic(fmt.Sprintf("endpoint: record %T is not handled", r))
		}
	})
}

// adjust is the duty that applies updates and closes the connections beyond the new bounds.
func adjust(ctx context.Context, updates *ring.Ring[update], t *table) error {
	bounds := NewBounds()
	for {
		u, err := updates.Pull(ctx)
		if err != nil {
			return err
		}
		bounds = apply(bounds, u)
		t.setBounds(bounds)
	}
}

func apply(b Bounds, u update) Bounds {
	switch u := u.(type) {
	case configured:
		return b.WithFleet(u.fleet)
	case member:
		if u.live {
			return b.WithMember(u.entry)
		}
		return b.WithoutMember(u.entry)
	case place:
		if u.pool == "" {
			return b.WithoutPlace(u.instance)
		}
		return b.WithPlace(u.instance, u.pool)
	default:
		panic(fmt.Sprintf("endpoint: update %T is not handled", u))
	}
}
