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

// update is a change to the view.
//
//sumtype:decl
type update interface{ update() }

type configChanged struct{ message.ConfigChanged }

type recordChanged struct{ message.RecordChanged }

func (configChanged) update() {}
func (recordChanged) update() {}

// subscribe forwards published configurations and records to the ring.
func subscribe(h *kernel.Host, updates *ring.Ring[update]) {
	kernel.Subscribe(h, message.ConfigTopic, func(ctx context.Context, c message.ConfigChanged) error {
		return updates.Push(ctx, configChanged{c})
	})
	kernel.Subscribe(h, message.RecordTopic, func(ctx context.Context, c message.RecordChanged) error {
		return updates.Push(ctx, recordChanged{c})
	})
}

// maintainView is the duty that applies updates to the view and publishes each new view.
func maintainView(ctx context.Context, updates *ring.Ring[update], current *atomic.Pointer[View]) error {
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
	case configChanged:
		return v.WithFleet(u.Fleet)
	case recordChanged:
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
