package story

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"

	"teaselloft/internal/core/command"

	"github.com/urfave/cli/v3"
)

func init() {
	command.RegisterFunc(func() *cli.Command {
		return &cli.Command{
			Name:      "story",
			Usage:     "tell what became of a job from the logs of all daemons, in order of time",
			ArgsUsage: "JOB-ID [LOG-FILE ...]",
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: "context", Usage: "add what befell the executors, the pool and the store meanwhile", Value: true},
			},
			Action: show,
		}
	})
}

// maxLineSize is the longest log line that can be read, in bytes.
const maxLineSize = 1 << 20

// logLine is a log line with its timestamp.
type logLine struct {
	time string // RFC 3339 in UTC, so that lexical order is chronological
	text string
}

var (
	timeField     = regexp.MustCompile(`time=(\S+)`)
	eventField    = regexp.MustCompile(`event=(\S+)`)
	poolField     = regexp.MustCompile(`pool=(\S+)`)
	executorField = regexp.MustCompile(`executor=(\S+)`)
	tasksField    = regexp.MustCompile(`tasks=(\S+)`)
	dutyField     = regexp.MustCompile(`duty=(\S+)`)
	taskExecutor  = regexp.MustCompile(`\d+:([^,\s]+)`)
)

func show(_ context.Context, c *cli.Command) error {
	if c.NArg() < 1 {
		return fmt.Errorf("story takes a job id and log files, got %d arguments", c.NArg())
	}
	id := c.Args().First()
	lines, err := readLines(c.Args().Tail(), c.Root().Reader)
	if err != nil {
		return err
	}
	selected := Filter(id, lines, c.Bool("context"))
	if len(selected) == 0 {
		return fmt.Errorf("no log line mentions job %q", id)
	}
	for _, text := range selected {
		fmt.Fprintln(c.Root().Writer, text)
	}
	return nil
}

// readLines returns the lines of the files, or of input if no path is given.
func readLines(paths []string, input io.Reader) ([]string, error) {
	if len(paths) == 0 {
		return scanLines(input)
	}
	var all []string
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		lines, err := scanLines(file)
		_ = file.Close() // a file opened for reading has nothing to flush
		if err != nil {
			return nil, fmt.Errorf("read log %q: %w", path, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func scanLines(r io.Reader) ([]string, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineSize)
	var lines []string
	for s.Scan() {
		lines = append(lines, s.Text())
	}
	return lines, s.Err()
}

// Filter returns the log lines that mention the job, in chronological order.
//
// With context, it adds the lines of the same period about the job's executors, its pool and the store.
func Filter(id string, lines []string, context bool) []string {
	var selected []logLine
	executors, pools := map[string]bool{}, map[string]bool{}
	for _, text := range lines {
		if !strings.Contains(text, id) {
			continue
		}
		selected = append(selected, logLine{time: field(timeField, text), text: text})
		if pool := field(poolField, text); pool != "" {
			pools[pool] = true
		}
		if executor := field(executorField, text); executor != "" {
			executors[executor] = true
		}
		for _, m := range taskExecutor.FindAllStringSubmatch(field(tasksField, text), -1) {
			executors[m[1]] = true
		}
	}
	if len(selected) == 0 {
		return nil
	}
	if context {
		slices.SortStableFunc(selected, compareTime)
		selected = append(selected,
			contextLines(id, lines, selected[0].time, selected[len(selected)-1].time, executors, pools)...)
	}
	slices.SortStableFunc(selected, compareTime)
	out := make([]string, len(selected))
	for i, l := range selected {
		out[i] = l.text
	}
	return out
}

func compareTime(a, b logLine) int { return strings.Compare(a.time, b.time) }

// field returns the first group of r in a log line, or "" if r does not match.
func field(r *regexp.Regexp, text string) string {
	m := r.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return m[1]
}

// contextLines returns the lines between two times about the executors, the pools, the store and the members, without
// those that mention the job.
func contextLines(id string, lines []string, from, to string, executors, pools map[string]bool) []logLine {
	var out []logLine
	for _, text := range lines {
		timestamp := field(timeField, text)
		if timestamp < from || timestamp > to || strings.Contains(text, id) {
			continue
		}
		event, _, _ := strings.Cut(field(eventField, text), ".")
		relevant := false
		switch event {
		case "executor":
			relevant = executors[field(executorField, text)]
		case "pool", "duty":
			relevant = pools[field(poolField, text)] || pools[field(dutyField, text)]
		case "store", "member":
			relevant = true
		}
		if relevant {
			out = append(out, logLine{time: timestamp, text: text})
		}
	}
	return out
}
