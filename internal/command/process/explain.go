package process

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/model/message"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "explain",
			Usage:     "show which service a name leads to and by which rule, without sending a request",
			ArgsUsage: "NAME",
			Flags: append(option.Operator(),
				&cli.StringFlag{Name: "method", Usage: "HTTP `METHOD` of the request", Value: http.MethodGet},
				&cli.StringFlag{Name: "fleet", Usage: "`FLEET` that the caller asks for"},
			),
			Action: explain,
		}
	})
}

// explainQuery holds the query parameters of /explain.
type explainQuery struct {
	Name   string `url:"name"`
	Method string `url:"method,omitempty"`
	Fleet  string `url:"fleet,omitempty"`
}

func explain(ctx context.Context, c *cli.Command) error {
	arguments, err := option.Arguments(c, 1, 1)
	if err != nil {
		return err
	}
	query := explainQuery{Name: arguments[0], Method: strings.ToUpper(c.String("method")), Fleet: c.String("fleet")}
	e, err := getJSON[message.Explanation](ctx, c, "/explain", query)
	if err != nil {
		return err
	}
	return option.Print(c, e, option.Table{
		Header: []string{"name", "rule", "service", "candidates", "owner", "epoch", "pool", "available", "config"},
		Rows: [][]string{{
			e.Name, option.Dash(e.Rule), option.Dash(e.Service), option.Dash(strings.Join(e.Candidates, ", ")), option.Dash(e.Owner),
			number(e.Epoch), option.Dash(e.Pool), strconv.Itoa(e.Available), number(e.Config),
		}},
	})
}
