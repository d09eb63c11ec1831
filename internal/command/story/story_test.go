package story_test

import (
	"testing"

	"teaselloft/internal/command/story"

	qt "github.com/frankban/quicktest"
)

var lines = []string{
	"time=2026-01-01T00:00:03.000Z event=job.ended pool=p job=aa state=completed",
	"time=2026-01-01T00:00:01.000Z event=job.accepted pool=p job=aa",
	"time=2026-01-01T00:00:01.500Z event=step.started pool=p job=aa tasks=0:x1,1:x2",
	"time=2026-01-01T00:00:02.000Z event=executor.silent pool=p executor=x2",
	"time=2026-01-01T00:00:02.100Z event=executor.silent pool=p executor=x3",
	"time=2026-01-01T00:00:02.200Z event=store.lost prefix=op/",
	"time=2026-01-01T00:00:02.300Z event=duty.taken duty=p epoch=2",
	"time=2026-01-01T00:00:02.400Z event=duty.taken duty=other epoch=2",
	"time=2026-01-01T00:00:09.000Z event=store.lost prefix=op/",
	"no time at all",
}

// Guards against lines out of chronological order, and against omitting events of the job's own executors.
func TestFilter(t *testing.T) {
	c := qt.New(t)
	c.Assert(story.Filter("aa", lines, false), qt.DeepEquals, []string{lines[1], lines[2], lines[0]})
	c.Assert(story.Filter("aa", lines, true), qt.DeepEquals, []string{lines[1], lines[2], lines[3], lines[5], lines[6], lines[0]})
	c.Assert(story.Filter("bb", lines, true), qt.HasLen, 0)
}
