package entry_test

import (
	"strings"
	"testing"
	"time"

	"teaselloft/internal/model/message"

	qt "github.com/frankban/quicktest"
)

// Guards against frames that arrive out of order, twice or not at all while the link is up.
func TestFramesArriveInOrder(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, "")
	const frames = 3000
	for i := range frames {
		a.send(c, b.name, gather(i))
		b.send(c, a.name, gather(i))
		if i%500 == 499 { // keep within the peer's ring
			eventually(c, "frames so far", func() bool { return len(b.received(a.name)) > i && len(a.received(b.name)) > i })
		}
	}
	for _, got := range [][]message.Frame{b.received(a.name), a.received(b.name)} {
		c.Assert(got, qt.HasLen, frames)
		for i, f := range got {
			c.Assert(f, qt.Equals, message.Frame(gather(i)))
		}
	}
	c.Check(a.linked(b.name), qt.DeepEquals, []bool{true})
	c.Check(a.count("lost"), qt.Equals, int64(0))
}

// Guards against a frame that is lost while the routing duty believes the link is up.
func TestUnreachablePeerIsReported(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, "")
	a.send(c, "nobody", gather(1))
	eventually(c, "unknown entry reported", func() bool { return a.down("nobody") })
	c.Check(a.count("lost"), qt.Equals, int64(1))

	a.send(c, b.name, gather(1))
	eventually(c, "frame", func() bool { return len(b.received(a.name)) == 1 })
	b.wait(c)
	eventually(c, "stop of the peer reported", func() bool { return a.down(b.name) })
	a.send(c, b.name, gather(2))
	eventually(c, "lost frame counted", func() bool { return a.count("lost") == 2 })
	a.learn(c, true, b.member("1"))
}

// Guards against a link that stays down after its peer is back, although no frame is sent.
func TestLinkComesBack(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, "")
	cutter := cutterOf(c, a)
	a.send(c, b.name, gather(1))
	eventually(c, "up", func() bool { return a.up(b.name) })
	cutter.Inject(message.Partition{Entry: b.name, Out: true})
	started := time.Now()
	eventually(c, "down", func() bool { return a.down(b.name) })
	c.Check(time.Since(started) < 5*time.Second, qt.IsTrue)
	cutter.Inject(message.Partition{Entry: b.name})
	eventually(c, "up again", func() bool { return a.up(b.name) })
	a.send(c, b.name, gather(2))
	defer func() {
		c.Logf("links %v, sent %d, lost %d, cut %d, dials failed %d, links broken %d; peer refused %d", a.linked(b.name),
			a.count("sent"), a.count("lost"), a.count("cut"), a.count("dials.failed"), a.count("broken"), b.count("refused"))
	}()
	eventually(c, "second frame", func() bool { return len(b.received(a.name)) == 2 })
}

// Guards against a cut of one direction that stops the other one too.
func TestCutOfOneDirection(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, "")
	cutterOf(c, b).Inject(message.Partition{Entry: a.name, In: true})
	a.send(c, b.name, gather(1))
	eventually(c, "a cannot reach b", func() bool { return a.down(b.name) })
	b.send(c, a.name, gather(2))
	eventually(c, "b reaches a", func() bool { return len(a.received(b.name)) == 1 })
	c.Check(b.received(a.name), qt.HasLen, 0)
	c.Check(b.down(a.name), qt.IsFalse)
}

// Guards against frames from or to an earlier life of an entry instance.
func TestOtherIncarnationIsRefused(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, "")
	a.send(c, b.name, gather(1))
	eventually(c, "first frame", func() bool { return len(b.received(a.name)) == 1 })

	b.learn(c, false, a.member("2")) // b knows a newer life of a
	eventually(c, "link of the earlier life refused", func() bool {
		a.send(c, b.name, gather(2))
		time.Sleep(5 * time.Millisecond)
		return a.down(b.name)
	})
	c.Check(b.received(a.name), qt.HasLen, 1)

	a.learn(c, false, a.member("2"))
	eventually(c, "up as the new life", func() bool { return a.up(b.name) })
	a.send(c, b.name, gather(3))
	eventually(c, "frame of the new life", func() bool { return len(b.received(a.name)) == 2 })
	c.Check(b.received(a.name)[1], qt.Equals, message.Frame(gather(3)))

	a.learn(c, false, b.member("9")) // a expects a life of b that b is not in
	eventually(c, "answer of another life refused", func() bool { return a.down(b.name) })
}

// Guards against frames that are lost or overtaken when a link is replaced because its own end changed.
func TestRenewalKeepsOrder(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, "")
	total := 0
	for life := range 5 {
		for range 200 {
			a.send(c, b.name, gather(total))
			total++
		}
		name := string(rune('2' + life))
		b.learn(c, false, b.member(name))
		a.learn(c, false, b.member(name))
		eventually(c, "frames of this life", func() bool {
			return len(b.received(a.name)) == total || a.count("lost")+int64(len(b.received(a.name))) >= int64(total)
		})
	}
	last := -1
	for _, f := range b.received(a.name) {
		epoch := int(f.(message.GatherGrants).Epoch)
		c.Assert(epoch > last, qt.IsTrue, qt.Commentf("frame %d after %d", epoch, last))
		last = epoch
	}
}

// Guards against links that stay open for ever, and against an idle end that is reported as a failure.
func TestIdleLinkCloses(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, `,"idle":"100ms"`)
	a.send(c, b.name, gather(1))
	eventually(c, "frame", func() bool { return len(b.received(a.name)) == 1 })
	eventually(c, "idle link closed", func() bool { return len(links(c, a)) == 0 && len(links(c, b)) == 0 })
	c.Check(a.linked(b.name), qt.DeepEquals, []bool{true})
	a.send(c, b.name, gather(2))
	eventually(c, "frame after the idle time", func() bool { return len(b.received(a.name)) == 2 })
}

// Guards against a frame that is handed over before a stop and never written.
func TestStopSendsWaitingFrames(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, "")
	for i := range 500 {
		a.send(c, b.name, gather(i))
	}
	a.wait(c)
	c.Logf("sent %d, lost %d, dials failed %d, links broken %d", a.count("sent"), a.count("lost"), a.count("dials.failed"), a.count("broken"))
	eventually(c, "all frames", func() bool { return len(b.received(a.name)) == 500 })
}

// Guards against an oversized frame that disappears without a report.
func TestOversizedFrameIsReported(t *testing.T) {
	c := qt.New(t)
	a, b := pair(t, "")
	a.send(c, b.name, gather(1))
	a.send(c, b.name, message.StoredAnswer{Answer: message.Answer{Body: []byte(strings.Repeat("x", 65<<10))}})
	eventually(c, "report", func() bool { return a.count("oversized") == 1 && len(a.linked(b.name)) >= 2 })
	c.Check(a.linked(b.name)[:2], qt.DeepEquals, []bool{true, false})
	eventually(c, "up again", func() bool { return a.up(b.name) })
}
