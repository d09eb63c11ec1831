package option

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// DefaultTimeout bounds a command that calls the platform or an entry instance.
const DefaultTimeout = 30 * time.Second

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// Output returns the flag for the output format.
func Output() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Usage: "`FORM` of the output, table or json",
		Value: formatTable,
		Validator: func(format string) error {
			if format != formatTable && format != formatJSON {
				return fmt.Errorf("output format %q is neither %s nor %s", format, formatTable, formatJSON)
			}
			return nil
		},
	}
}

// Platform returns the flags of a command that calls the platform.
func Platform() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "platform",
			Usage:   "comma-separated `ADDRESSES` of the platform's key-value store",
			Sources: cli.EnvVars("TEASELLOFT_PLATFORM"),
		},
		&cli.StringFlag{
			Name:    "site",
			Usage:   "`SITE` whose keys are read and written",
			Sources: cli.EnvVars("TEASELLOFT_SITE"),
		},
		timeoutFlag(),
		Output(),
	}
}

// Operator returns the flags of a command that queries an entry instance's operator listener.
func Operator() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "operator",
			Usage:   "`ADDRESS` of an entry instance's operator listener",
			Sources: cli.EnvVars("TEASELLOFT_OPERATOR"),
		},
		&cli.StringFlag{
			Name:    "token",
			Usage:   "bearer `TOKEN` of the operator listener",
			Sources: cli.EnvVars("TEASELLOFT_TOKEN"),
		},
		timeoutFlag(),
		Output(),
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "limit", Usage: "longest `TIME` to wait", Value: DefaultTimeout}
}

// Arguments returns the command's arguments, or an error with its usage if there are fewer than minCount or more than
// maxCount. A negative maxCount sets no upper limit.
func Arguments(c *cli.Command, minCount, maxCount int) ([]string, error) {
	n := c.NArg()
	if n >= minCount && (maxCount < 0 || n <= maxCount) {
		return c.Args().Slice(), nil
	}
	return nil, fmt.Errorf("usage: %s %s, got %d arguments", c.FullName(), c.ArgsUsage, n)
}

// Required returns the value of a string flag, or an error when it is empty.
func Required(c *cli.Command, name string) (string, error) {
	value := c.String(name)
	if value == "" {
		return "", fmt.Errorf("flag --%s is missing", name)
	}
	return value, nil
}

// Addresses returns the platform addresses listed in --platform.
func Addresses(c *cli.Command) ([]string, error) {
	list, err := Required(c, "platform")
	if err != nil {
		return nil, err
	}
	var addresses []string
	for address := range strings.SplitSeq(list, ",") {
		if address = strings.TrimSpace(address); address != "" {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return nil, errors.New("flag --platform names no address")
	}
	return addresses, nil
}
