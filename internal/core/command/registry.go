package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/urfave/cli/v3"
)

var registry = struct {
	sync.Mutex
	builders []func() *cli.Command
}{}

// Register adds a subcommand to every program built with Main; call it from init.
func Register(c *cli.Command) {
	RegisterFunc(func() *cli.Command { return c })
}

// RegisterFunc adds a subcommand that build creates anew for each program.
//
// A cli.Command with flags needs it when a process builds several programs, as tests do, because a reused cli.Command
// keeps the flag values of its last run.
func RegisterFunc(build func() *cli.Command) {
	registry.Lock()
	defer registry.Unlock()
	registry.builders = append(registry.builders, build)
}

// Program returns the root command with every registered subcommand.
func Program(name, usage string) *cli.Command {
	registry.Lock()
	defer registry.Unlock()
	commands := make([]*cli.Command, len(registry.builders))
	for i, build := range registry.builders {
		commands[i] = build()
	}
	return &cli.Command{
		Name:                  name,
		Usage:                 usage,
		EnableShellCompletion: true,
		Commands:              commands,
	}
}

// ExitError is the error of a subcommand whose exit code is not 1. Err is nil if there is nothing to print.
//
// It isn't a cli.ExitCoder, because package cli ends the process on such an error before Run returns.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e *ExitError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("exit code %d", e.Code)
	}
	return e.Err.Error()
}

// Unwrap returns Err.
func (e *ExitError) Unwrap() error { return e.Err }

// Main runs a program until it returns, cancelling its context on SIGINT or SIGTERM, and returns the exit code.
func Main(name, usage string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	err := Program(name, usage).Run(ctx, os.Args)
	if err == nil {
		return 0
	}
	code := 1
	if exit, ok := errors.AsType[*ExitError](err); ok {
		if exit.Err == nil {
			return exit.Code
		}
		code = exit.Code
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return code
}
