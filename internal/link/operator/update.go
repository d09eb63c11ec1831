package operator

import (
	"context"
	"fmt"
	"sync/atomic"

	"teaselloft/internal/core/kernel"
	"teaselloft/internal/core/ring"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// update is a change of the view.
//
//sumtype:decl
type update interface{ update() }

type configured struct{ message.ConfigChanged }

type changed struct{ message.RecordChanged }

func (configured) update() {}
func (changed) update()    {}

// follow forwards everything published about the site.
func follow(h *kernel.Host, updates *ring.Ring[update]) {
	kernel.Subscribe(h, message.ConfigTopic, func(ctx context.Context, c message.ConfigChanged) error {
		return updates.Push(ctx, configured{c})
	})
	kernel.Subscribe(h, message.RecordTopic, func(ctx context.Context, c message.RecordChanged) error {
		return updates.Push(ctx, changed{c})
	})
}

// watch is the duty that keeps the view current.
func watch(ctx context.Context, updates *ring.Ring[update], current *atomic.Pointer[View]) error {
	view := *current.Load()
	for {
		u, err := updates.Pull(ctx)
		if err != nil {
			return err
		}
		view = apply(view, u)
		shown := view
		current.Store(&shown)
	}
}

func apply(v View, u update) View {
	switch u := u.(type) {
	case configured:
		return v.WithFleet(u.Fleet)
	case changed:
		return applyRecord(v, u.Record, u.Deleted)
	default:
		panic(fmt.Sprintf("operator: update %T is not handled", u))
	}
}

func applyRecord(v View, r record.Record, deleted bool) View {
	switch r := r.(type) {
	case record.Member:
		return v.WithMember(r, deleted)
	case record.Owner:
		return v.WithOwner(r, deleted)
	case record.Wave:
		return v.WithWave(r, deleted)
	case record.Ledger:
		return v.WithLedger(r, deleted)
	case record.Instance:
		return v.WithInstance(r, deleted)
	case record.Claim, record.ClaimSegment, record.ConfigHead:
		return v
	default:
		panic(fmt.Sprintf("operator: record %T is not handled", r))
	}
}
