package interference

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"

	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/decision/interference"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "interference",
			Usage:     "show from state dumps which images slow each other down",
			ArgsUsage: "[DUMP-FILE ...]",
			Flags:     []cli.Flag{option.Output()},
			Action:    show,
		}
	})
}

// Row is a learned pair of images and the pool where it was learned.
type Row struct {
	Pool string `json:"pool"`
	interference.Pair
}

func show(_ context.Context, c *cli.Command) error {
	rows, err := readRows(c.Args().Slice(), c.Root().Reader)
	if err != nil {
		return err
	}
	t := option.Table{Header: []string{"pool", "image", "beside", "kind", "factor", "low", "high", "observations", "executors"}}
	for _, r := range rows {
		kind := "run time"
		if r.Serving {
			kind = "latency"
		}
		t.Rows = append(t.Rows, []string{
			r.Pool, r.Image, r.Neighbour, kind, number(r.Factor), number(r.Low), number(r.High), strconv.Itoa(r.Observations), strconv.Itoa(r.Executors),
		})
	}
	return option.Print(c, rows, t)
}

func number(x float64) string { return strconv.FormatFloat(x, 'f', 2, 64) }

// readRows returns the rows of the dumps in the files, or of one in input if no path is given.
func readRows(paths []string, input io.Reader) ([]Row, error) {
	if len(paths) == 0 {
		return Rows(input)
	}
	rows := []Row{}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("read dump: %w", err)
		}
		list, err := Rows(file)
		_ = file.Close() // a file opened for reading has nothing to flush
		if err != nil {
			return nil, fmt.Errorf("read dump %q: %w", path, err)
		}
		rows = append(rows, list...)
	}
	return rows, nil
}

// errNoPools means that a dump isn't one of a daemon.
var errNoPools = errors.New("the dump has no section \"pool\"")

// Rows returns the learned pairs in a state dump, by pool and with the largest factors first.
func Rows(dump io.Reader) ([]Row, error) {
	var sections struct {
		Pool map[string]struct {
			Interference []interference.Pair `json:"interference"`
		} `json:"pool"`
	}
	if err := json.NewDecoder(dump).Decode(&sections); err != nil {
		return nil, fmt.Errorf("decode dump: %w", err)
	}
	if sections.Pool == nil {
		return nil, errNoPools
	}
	rows := []Row{}
	for pool, x := range sections.Pool {
		for _, p := range x.Interference {
			rows = append(rows, Row{Pool: pool, Pair: p})
		}
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(b.Factor, a.Factor)) })
	return rows, nil
}
