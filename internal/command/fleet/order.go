package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/decision/operate"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"

	"github.com/urfave/cli/v3"
)

// maxReserveAttempts bounds the compare-and-swap attempts on a ledger that the planner writes concurrently.
const maxReserveAttempts = 5

func orderCommand(name, arguments, usage string, n int, order func([]string) operate.Order) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: arguments,
		Flags: append(option.Platform(), &cli.StringFlag{
			Name: "reason", Usage: "`TEXT` that the list of instances shows", Value: "ordered by an operator",
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := option.Arguments(c, n, n)
			if err != nil {
				return err
			}
			ctx, cancel := option.WithTimeout(ctx, c)
			defer cancel()
			s, err := option.Connect(ctx, c)
			if err != nil {
				return err
			}
			r, err := execute(ctx, s, args[0], order(args), c.String("reason"))
			if err != nil {
				return err
			}
			return option.Print(c, r, option.Table{
				Header: []string{"id", "pool", "target", "state"},
				Rows:   [][]string{{r.ID, r.Pool, option.Dash(r.Target), string(r.State)}},
			})
		},
	}
}

// execute reserves headroom if the order takes the instance out of service, then updates its record by
// compare-and-swap.
//
// The planner releases a reservation that is not followed by a change of the record.
func execute(ctx context.Context, s store.Store, id string, o operate.Order, reason string) (record.Instance, error) {
	v, err := readView(ctx, s)
	if err != nil {
		return record.Instance{}, err
	}
	before, revision, err := readInstance(ctx, s, id)
	if err != nil {
		return record.Instance{}, err
	}
	after, err := operate.Decide(o, before, v.fleet, reason, time.Now().UTC())
	if err != nil {
		return record.Instance{}, err
	}
	if operate.TakesOut(o) {
		for _, service := range operate.ServicesOf(v.fleet, before.Pool) {
			if err := reserve(ctx, s, service, v.instances, id, revision); err != nil {
				return record.Instance{}, err
			}
		}
	}
	return after, writeInstance(ctx, s, after, revision)
}

func readInstance(ctx context.Context, s store.Store, id string) (record.Instance, int64, error) {
	r, revision, err := s.Read(ctx, record.PrefixInstance+id)
	if errors.Is(err, message.ErrNotFound) {
		return record.Instance{}, 0, fmt.Errorf("instance %q does not exist; apply creates the records of declared instances", id)
	}
	if err != nil {
		return record.Instance{}, 0, err
	}
	i, ok := r.(record.Instance)
	if !ok {
		return record.Instance{}, 0, fmt.Errorf("key %q holds %T", record.PrefixInstance+id, r)
	}
	return i, revision, nil
}

// reserve adds the instance to a service's ledger by compare-and-swap; after a conflict it reads the ledger again
// and retries.
func reserve(
	ctx context.Context, s store.Store, service fleet.Service, instances []record.Instance, id string, revision int64,
) error {
	var err error
	for range maxReserveAttempts {
		var ledger record.Ledger
		var expected int64
		if ledger, expected, err = readLedger(ctx, s, service.Name); err != nil {
			return err
		}
		if ledger, err = operate.Reserve(ledger, service, instances, id, revision); err != nil {
			return err
		}
		if _, err = s.CompareAndSwap(ctx, message.Write{Record: ledger, Expected: expected}); !errors.Is(err, message.ErrConflict) {
			break
		}
	}
	if err != nil {
		return fmt.Errorf("reserve headroom of service %q: %w", service.Name, err)
	}
	return nil
}

func readLedger(ctx context.Context, s store.Store, service string) (record.Ledger, int64, error) {
	r, revision, err := s.Read(ctx, record.PrefixBudget+service)
	if errors.Is(err, message.ErrNotFound) {
		return record.Ledger{}, 0, nil
	}
	if err != nil {
		return record.Ledger{}, 0, err
	}
	l, ok := r.(record.Ledger)
	if !ok {
		return record.Ledger{}, 0, fmt.Errorf("key %q holds %T", record.PrefixBudget+service, r)
	}
	return l, revision, nil
}

// writeInstance writes the record by compare-and-swap; after an error it reads the record back to find out whether
// the write took effect.
func writeInstance(ctx context.Context, s store.Store, after record.Instance, revision int64) error {
	_, err := s.CompareAndSwap(ctx, message.Write{Record: after, Expected: revision})
	if err == nil {
		return nil
	}
	now, _, readErr := readInstance(ctx, s, after.ID)
	if readErr != nil {
		return fmt.Errorf("the result for instance %q is unknown: %w", after.ID, err)
	}
	if now.Since.Equal(after.Since) && now.State == after.State && now.Target == after.Target {
		return nil
	}
	if errors.Is(err, message.ErrConflict) {
		return fmt.Errorf("instance %q was changed by another operator or by the planner: it is %s in pool %q since %s, nothing was done: %w",
			after.ID, now.State, now.Pool, now.Since.Format(time.RFC3339), err)
	}
	return fmt.Errorf("instance %q had not changed when it was read back, the write may still take effect: %w", after.ID, err)
}
