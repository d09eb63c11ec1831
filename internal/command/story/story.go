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
			Action: tell,
		}
	})
}

// maxLine is the longest log line that is read, in bytes.
const maxLine = 1 << 20

// line is one log line with its time.
type line struct {
	time string // RFC 3339 in UTC, so that order of text is order of time
	text string
}

var (
	timeField     = regexp.MustCompile(`time=(\S+)`)
	eventField    = regexp.MustCompile(`event=(\S+)`)
	poolField     = regexp.MustCompile(`pool=(\S+)`)
	executorField = regexp.MustCompile(`executor=(\S+)`)
	tasksField    = regexp.MustCompile(`tasks=(\S+)`)
	dutyField     = regexp.MustCompile(`duty=(\S+)`)
	placedOn      = regexp.MustCompile(`\d+:([^,\s]+)`)
)

func tell(_ context.Context, c *cli.Command) error {
	if c.NArg() < 1 {
		return fmt.Errorf("story takes a job id and log files, got %d arguments", c.NArg())
	}
	id := c.Args().First()
	lines, err := read(c.Args().Tail(), c.Root().Reader)
	if err != nil {
		return err
	}
	told := Tell(id, lines, c.Bool("context"))
	if len(told) == 0 {
		return fmt.Errorf("no line names job %q", id)
	}
	for _, text := range told {
		fmt.Fprintln(c.Root().Writer, text)
	}
	return nil
}

// read returns the lines of files, or of standard input when there are none.
func read(paths []string, input io.Reader) ([]string, error) {
	if len(paths) == 0 {
		return scan(input)
	}
	var all []string
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
		lines, err := scan(file)
		_ = file.Close() // it was only read
		if err != nil {
			return nil, fmt.Errorf("read log %q: %w", path, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func scan(r io.Reader) ([]string, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	var lines []string
	for s.Scan() {
		lines = append(lines, s.Text())
	}
	return lines, s.Err()
}

// Tell returns the lines that name the job and, with context, those that explain them, in order of time.
func Tell(id string, lines []string, context bool) []string {
	var told []line
	executors, pools := map[string]bool{}, map[string]bool{}
	for _, text := range lines {
		if !strings.Contains(text, id) {
			continue
		}
		told = append(told, line{time: field(timeField, text), text: text})
		if pool := field(poolField, text); pool != "" {
			pools[pool] = true
		}
		if x := field(executorField, text); x != "" {
			executors[x] = true
		}
		for _, m := range placedOn.FindAllStringSubmatch(field(tasksField, text), -1) {
			executors[m[1]] = true
		}
	}
	if len(told) == 0 {
		return nil
	}
	if context {
		slices.SortStableFunc(told, byTime)
		told = append(told, around(id, lines, told[0].time, told[len(told)-1].time, executors, pools)...)
	}
	slices.SortStableFunc(told, byTime)
	out := make([]string, len(told))
	for i, l := range told {
		out[i] = l.text
	}
	return out
}

func byTime(a, b line) int { return strings.Compare(a.time, b.time) }

func field(r *regexp.Regexp, text string) string {
	m := r.FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return m[1]
}

// around returns what befell the job's executors, its pool and the store between two times.
func around(id string, lines []string, from, to string, executors, pools map[string]bool) []line {
	var out []line
	for _, text := range lines {
		at := field(timeField, text)
		if at < from || at > to || strings.Contains(text, id) {
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
			out = append(out, line{time: at, text: text})
		}
	}
	return out
}
