package link_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"teaselloft/internal/bench/link"

	qt "github.com/frankban/quicktest"
)

// Guards against a benchmark that measures refused requests, or prints no line for a value.
func TestRunPrintsValues(t *testing.T) {
	c := qt.New(t)
	var out strings.Builder
	if err := link.Run(context.Background(), &out, 20*time.Millisecond); err != nil {
		c.Check(err, qt.ErrorMatches, "a bound is broken") // on a loaded machine, under -race
	}
	c.Check(strings.Count(out.String(), "bench name=link."), qt.Equals, 2)
	c.Logf("%s", out.String())
}
