package fleet

import (
	"context"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"teaselloft/internal/command/option"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
)

// view holds the current configuration and the instance records.
type view struct {
	fleet     fleet.Fleet
	instances []record.Instance // sorted by ID
}

// connectView connects to the store and reads the view, for a command without arguments.
func connectView(ctx context.Context, c *cli.Command) (view, error) {
	if _, err := option.Arguments(c, 0, 0); err != nil {
		return view{}, err
	}
	ctx, cancel := option.WithTimeout(ctx, c)
	defer cancel()
	s, err := option.Connect(ctx, c)
	if err != nil {
		return view{}, err
	}
	return readView(ctx, s)
}

func readView(ctx context.Context, s store.Store) (view, error) {
	head, _, err := store.ReadHead(ctx, s)
	if err != nil {
		return view{}, err
	}
	var v view
	if head.Version > 0 {
		if v.fleet, err = store.ReadVersion(ctx, s, head, head.Version); err != nil {
			return view{}, err
		}
	}
	list, err := s.List(ctx, record.PrefixInstance)
	if err != nil {
		return view{}, err
	}
	for _, c := range list {
		if i, ok := c.Record.(record.Instance); ok {
			v.instances = append(v.instances, i)
		}
	}
	slices.SortFunc(v.instances, func(a, b record.Instance) int { return strings.Compare(a.ID, b.ID) })
	return v, nil
}

// declaredInstances returns the instances of the configuration by ID.
func (v view) declaredInstances() map[string]fleet.Instance {
	byID := map[string]fleet.Instance{}
	for _, p := range v.fleet.Pools {
		for _, i := range p.Instances {
			byID[i.ID] = i
		}
	}
	return byID
}
