package accounts

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"

	"github.com/urfave/cli/v3"
)

// Errors about the dumps.
var (
	errNoDump    = errors.New("no dump could be read")
	errNoAccount = errors.New("the dumps do not name the account")
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "accounts",
			Usage:     "show from state dumps what client accounts use, may use and wait for",
			ArgsUsage: "[DUMP-FILE|METRICS-ADDRESS ...]",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "account", Usage: "show the account `NAME` with a line for each pool"},
				option.Output(),
			},
			Action: show,
		}
	})
}

func show(ctx context.Context, c *cli.Command) error {
	arguments := slices.Compact(slices.Sorted(slices.Values(c.Args().Slice()))) // a daemon that is named twice counts once
	dumps, failed := readDumps(ctx, arguments, c.Root().Reader)
	v := NewView(dumps, failed)
	if len(dumps) == 0 {
		errs := []error{errNoDump}
		for _, text := range v.Missing[:len(failed)] {
			errs = append(errs, errors.New(text))
		}
		return errors.Join(errs...)
	}
	if !c.IsSet("account") {
		return option.Print(c, v, v.tables()...)
	}
	v, ok := v.WithAccountOnly(c.String("account"))
	if !ok {
		return fmt.Errorf("%w %q", errNoAccount, c.String("account"))
	}
	return option.Print(c, v, v.accountTables()...)
}

// WithAccountOnly returns a copy with only one of the accounts.
func (v View) WithAccountOnly(name string) (View, bool) {
	i := slices.IndexFunc(v.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return v, false
	}
	v.Accounts = v.Accounts[i : i+1 : i+1]
	refusals := []Refusal{}
	for _, r := range v.Refusals {
		if r.Account == name {
			refusals = append(refusals, r)
		}
	}
	v.Refusals = refusals
	return v, true
}
