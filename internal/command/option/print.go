package option

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// Table is a result in columns.
type Table struct {
	Head []string
	Rows [][]string
}

// Print writes a value as indented JSON with --output json, else as the table.
func Print(c *cli.Command, value any, t Table) error {
	w := c.Root().Writer
	if c.String("output") == formJSON {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		e.SetEscapeHTML(false)
		return e.Encode(value)
	}
	return t.write(w)
}

func (t Table) write(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if len(t.Head) > 0 {
		fmt.Fprintln(columns, strings.ToUpper(strings.Join(t.Head, "\t")))
	}
	for _, row := range t.Rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return columns.Flush()
}
