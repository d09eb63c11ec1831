package option

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// Table is a result in rows, with an optional header.
type Table struct {
	Header []string
	Rows   [][]string
}

// Print writes value as indented JSON with --output json, otherwise the tables separated by blank lines.
func Print(c *cli.Command, value any, tables ...Table) error {
	w := c.Root().Writer
	if c.String("output") == formatJSON {
		return PrintJSON(w, value)
	}
	for i, t := range tables {
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := t.write(w); err != nil {
			return err
		}
	}
	return nil
}

// PrintJSON writes a value as indented JSON without HTML escaping.
func PrintJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(value)
}

func (t Table) write(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	if len(t.Header) > 0 {
		fmt.Fprintln(columns, strings.ToUpper(strings.Join(t.Header, "\t")))
	}
	for _, row := range t.Rows {
		fmt.Fprintln(columns, strings.Join(row, "\t"))
	}
	return columns.Flush()
}

// Dash returns text, or "-" if it is empty.
func Dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
