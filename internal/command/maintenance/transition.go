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

// maxAttempts bounds the compare-and-swap attempts of a command that conflicts with the planner's writes of the wave.
const maxAttempts = 5

func startCommand() *cli.Command {
	return &cli.Command{
		Name:      "start",
		Usage:     "declare a wave and start it",
		ArgsUsage: "WAVE",
		Flags: append(append(withPlatformFlags(waveFlags()...), estimateFlags()...),
			&cli.BoolFlag{Name: "dry-run", Usage: "show the moves and change nothing"},
			followFlag()),
		Action: func(ctx context.Context, c *cli.Command) error {
			arguments, err := option.Arguments(c, 1, 1)
			if err != nil {
				return err
			}
			w, err := waveFromFlags(c, arguments[0])
			if err != nil {
				return err
			}
			return startWave(ctx, c, w)
		},
	}
}

func startWave(ctx context.Context, c *cli.Command, w record.Wave) error {
	limited, cancel := option.WithTimeout(ctx, c)
	defer cancel()
	s, err := option.Connect(ctx, c)
	if err != nil {
		return err
	}
	if c.Bool("dry-run") {
		return printPlan(limited, c, s, w)
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
	return showWave(ctx, c, s, started)
}

func transitionCommand(command wave.Command, usage string) *cli.Command {
	return &cli.Command{
		Name:      string(command),
		Usage:     usage,
		ArgsUsage: "WAVE",
		Flags:     withPlatformFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			arguments, err := option.Arguments(c, 1, 1)
			if err != nil {
				return err
			}
			ctx, cancel := option.WithTimeout(ctx, c)
			defer cancel()
			s, err := option.Connect(ctx, c)
			if err != nil {
				return err
			}
			w, err := transition(ctx, s, arguments[0], command)
			if err != nil {
				return err
			}
			return printWaves(c, []record.Wave{w})
		},
	}
}

// transition applies the command by compare-and-swap; after a conflict it reads the wave again and retries.
func transition(ctx context.Context, s store.Store, id string, command wave.Command) (record.Wave, error) {
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
