package maintenance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
)

// errNoConfig reports that no configuration has been applied to the site.
var errNoConfig = errors.New("the site has no configuration")

// readState builds the planner's state from the stored records without writing anything.
//
// The instance list is not read: every instance whose record is not out is assumed to be live.
func readState(ctx context.Context, s store.Store, now time.Time) (wave.State, error) {
	f, err := readFleet(ctx, s)
	if err != nil {
		return wave.State{}, err
	}
	state, _ := wave.Step(wave.New(wave.Defaults()), wave.ConfigChanged{Fleet: f})
	for _, prefix := range []string{record.PrefixBudget, record.PrefixWave, record.PrefixInstance} {
		records, err := s.List(ctx, prefix)
		if err != nil {
			return wave.State{}, fmt.Errorf("list %s: %w", prefix, err)
		}
		for _, r := range records {
			state, _ = wave.Step(state, wave.RecordChanged{Record: r.Record, Revision: r.Revision})
		}
	}
	state, _ = wave.Step(state, wave.InstancesListed{Now: now, Instances: assumedInstances(state)})
	return state, nil
}

func readFleet(ctx context.Context, s store.Store) (fleet.Fleet, error) {
	head, _, err := store.ReadHead(ctx, s)
	if err != nil {
		return fleet.Fleet{}, fmt.Errorf("read configuration: %w", err)
	}
	if head.Version == 0 {
		return fleet.Fleet{}, errNoConfig
	}
	return store.ReadVersion(ctx, s, head, head.Version)
}

// assumedInstances returns an instance list with every instance whose record is not out.
func assumedInstances(state wave.State) []message.Listing {
	var list []message.Listing
	for _, p := range state.Fleet().Pools {
		for _, i := range p.Instances {
			if k, _ := state.Instance(i.ID); k.Record.State != record.Out {
				list = append(list, message.Listing{ID: i.ID, Zone: i.Zone, Rack: i.Rack, State: "live"})
			}
		}
	}
	return list
}

// readWave reads one wave and its revision; the error for an unknown wave wraps message.ErrNotFound.
func readWave(ctx context.Context, s store.Store, id string) (record.Wave, int64, error) {
	r, revision, err := s.Read(ctx, record.Wave{ID: id}.Key())
	if errors.Is(err, message.ErrNotFound) {
		return record.Wave{}, 0, fmt.Errorf("wave %q: %w", id, err)
	}
	if err != nil {
		return record.Wave{}, 0, fmt.Errorf("read wave %q: %w", id, err)
	}
	w, ok := r.(record.Wave)
	if !ok {
		return record.Wave{}, 0, fmt.Errorf("key %q holds a %T", record.Wave{ID: id}.Key(), r)
	}
	return w, revision, nil
}
