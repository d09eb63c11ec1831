package store

import (
	"context"
	"errors"
	"fmt"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
)

// place creates the records of declared instances that have none, in their declared pools.
//
// An existing record is never changed: a moved instance stays where it is.
// Nothing is read when the change declares no instance that was not declared before.
func place(ctx context.Context, s Store, before fleet.Fleet, c Change) (int, error) {
	if !declaresNew(before, c.Fleet) {
		return 0, nil
	}
	placed, err := placedIDs(ctx, s)
	if err != nil {
		return 0, err
	}
	created := 0
	for _, p := range c.Fleet.Pools {
		for _, i := range p.Instances {
			if placed[i.ID] {
				continue
			}
			r := record.Instance{ID: i.ID, Pool: p.Name, State: record.Serving, Since: c.Time}
			if err := create(ctx, s, r); err != nil {
				return created, err
			}
			created++
		}
	}
	return created, nil
}

func declaresNew(before, after fleet.Fleet) bool {
	known := map[string]bool{}
	for _, p := range before.Pools {
		for _, i := range p.Instances {
			known[i.ID] = true
		}
	}
	for _, p := range after.Pools {
		for _, i := range p.Instances {
			if !known[i.ID] {
				return true
			}
		}
	}
	return false
}

func placedIDs(ctx context.Context, s Store) (map[string]bool, error) {
	list, err := s.List(ctx, record.PrefixInstance)
	if err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	placed := make(map[string]bool, len(list))
	for _, e := range list {
		if i, ok := e.Record.(record.Instance); ok {
			placed[i.ID] = true
		}
	}
	return placed, nil
}

// create writes a record unless its key exists already.
func create(ctx context.Context, s Store, r record.Instance) error {
	_, err := s.CompareAndSwap(ctx, message.Write{Record: r})
	if err == nil || errors.Is(err, message.ErrConflict) {
		return nil
	}
	return fmt.Errorf("place instance %q: %w", r.ID, err)
}
