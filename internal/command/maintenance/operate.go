package maintenance

import (
	"context"
	"errors"
	"fmt"
	"time"

	"teaselloft/internal/command/option"
	"teaselloft/internal/decision/wave"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"

	"github.com/urfave/cli/v3"
)

// maxAttempts bounds how often a command meets the planner's own write of the wave before it gives up.
const maxAttempts = 5

func startCommand() *cli.Command {
	return &cli.Command{
		Name:      "start",
		Usage:     "declare a wave and start it",
		ArgsUsage: "WAVE",
		Flags: append(append(join(declareFlags()...), expectFlags()...),
			&cli.BoolFlag{Name: "dry-run", Usage: "show the moves and change nothing"},
			followFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			arguments, err := option.Arguments(c, 1, 1)
			if err != nil {
				return err
			}
			w, err := declared(c, arguments[0])
			if err != nil {
				return err
			}
			return start(ctx, c, w)
		},
	}
}

func start(ctx context.Context, c *cli.Command, w record.Wave) error {
	limited, cancel := option.Limit(ctx, c)
	defer cancel()
	s, err := option.Connect(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("dry-run") {
		return plan(limited, c, s, w)
	}
	started, err := wave.Apply(w, wave.Start, time.Now())
	if err != nil {
		return err
	}
	switch _, err = s.CompareAndSwap(limited, message.Write{Record: started}); {
	case errors.Is(err, message.ErrConflict):
		return fmt.Errorf("wave %q exists already: %w", w.ID, err)
	case err != nil:
		return fmt.Errorf("write wave %q: %w", w.ID, err)
	}
	return show(ctx, c, s, started)
}

func operateCommand(command wave.Command, usage string) *cli.Command {
	return &cli.Command{
		Name:      string(command),
		Usage:     usage,
		ArgsUsage: "WAVE",
		Flags:     join(),
		Action: func(ctx context.Context, c *cli.Command) error {
			arguments, err := option.Arguments(c, 1, 1)
			if err != nil {
				return err
			}
			ctx, cancel := option.Limit(ctx, c)
			defer cancel()
			s, err := option.Connect(ctx, c)
			if err != nil {
				return err
			}
			w, err := operate(ctx, s, arguments[0], command)
			if err != nil {
				return err
			}
			return printWaves(c, []record.Wave{w})
		},
	}
}

// operate applies the command by compare-and-swap and reads the wave again after a conflict.
func operate(ctx context.Context, s store.Store, id string, command wave.Command) (record.Wave, error) {
	for range maxAttempts {
		w, revision, err := readWave(ctx, s, id)
		if err != nil {
			return w, err
		}
		next, err := wave.Apply(w, command, time.Now())
		if err != nil {
			return w, err
		}
		_, err = s.CompareAndSwap(ctx, message.Write{Record: next, Expected: revision})
		if err == nil {
			return next, nil
		}
		if !errors.Is(err, message.ErrConflict) {
			return w, fmt.Errorf("write wave %q: %w", id, err)
		}
	}
	return record.Wave{}, fmt.Errorf("write wave %q: %w", id, message.ErrConflict)
}
