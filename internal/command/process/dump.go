package process

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "dump",
			Usage:     "show the state of an entry instance, always as JSON",
			ArgsUsage: "[SECTION]",
			Flags:     option.Operator(),
			Action:    dump,
		}
	})
}

func dump(ctx context.Context, c *cli.Command) error {
	sections, err := option.Arguments(c, 0, 1)
	if err != nil {
		return err
	}
	state, err := getJSON[map[string]json.RawMessage](ctx, c, "/dump", nil)
	if err != nil {
		return err
	}
	if len(sections) == 0 {
		return option.PrintJSON(c.Root().Writer, state)
	}
	section, ok := state[sections[0]]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(state)), ", ")
		return fmt.Errorf("section %q does not exist; there are %s", sections[0], names)
	}
	return option.PrintJSON(c.Root().Writer, section)
}
