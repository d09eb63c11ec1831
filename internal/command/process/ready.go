package process

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselloft/internal/core/command"

	"github.com/urfave/cli/v3"
)

// readyTimeout bounds the readiness request.
const readyTimeout = 2 * time.Second

// errNotReady makes the ready command exit with a non-zero code, so that scripts can wait for exit code 0.
var errNotReady = errors.New("entry instance is not ready")

func init() {
	command.Register(&cli.Command{
		Name:      "ready",
		Usage:     "succeed when the entry instance takes requests",
		ArgsUsage: "ADDRESS",
		Action:    ready,
	})
}

func ready(ctx context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return fmt.Errorf("ready takes the address of one callers' listener, got %d arguments", c.NArg())
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Args().First()+"/readyz", http.NoBody)
	if err != nil {
		return fmt.Errorf("address %q: %w", c.Args().First(), err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", errNotReady, response.StatusCode)
	}
	return nil
}
