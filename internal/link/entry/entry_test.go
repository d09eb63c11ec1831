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
	a, b := startPair(t, "")
	const frames = 3000
	for i := range frames {
		a.send(c, b.name, gather(i))
		b.send(c, a.name, gather(i))
		if i%500 == 499 { // do not overflow the peer's ring
			eventually(c, "frames so far", func() bool { return len(b.received(a.name)) > i && len(a.received(b.name)) > i })
		}
	}
	for _, got := range [][]message.Frame{b.received(a.name), a.received(b.name)} {
		c.Assert(got, qt.HasLen, frames)
		for i, f := range got {
			c.Assert(f, qt.Equals, message.Frame(gather(i)))
		}
	}
	c.Check(a.linkReports(b.name), qt.DeepEquals, []bool{true})
	c.Check(a.count("lost"), qt.Equals, int64(0))
}

// Guards against a frame that is lost without a report that the link is down.
func TestUnreachablePeerIsReported(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, "")
	a.send(c, "nobody", gather(1))
	eventually(c, "unknown entry reported", func() bool { return a.down("nobody") })
	c.Check(a.count("lost"), qt.Equals, int64(1))

	a.send(c, b.name, gather(1))
	eventually(c, "frame", func() bool { return len(b.received(a.name)) == 1 })
	b.shutdown(c)
	eventually(c, "stop of the peer reported", func() bool { return a.down(b.name) })
	a.send(c, b.name, gather(2))
	eventually(c, "lost frame counted", func() bool { return a.count("lost") == 2 })
	a.publish(c, true, b.member("1"))
}

// Guards against a link that stays down after its peer is reachable again and no frame is sent.
func TestLinkReconnects(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, "")
	injector := partitionInjector(c, a)
	a.send(c, b.name, gather(1))
	eventually(c, "up", func() bool { return a.up(b.name) })
	injector.Inject(message.Partition{Entry: b.name, Out: true})
	started := time.Now()
	eventually(c, "down", func() bool { return a.down(b.name) })
	c.Check(time.Since(started) < 5*time.Second, qt.IsTrue)
	injector.Inject(message.Partition{Entry: b.name})
	eventually(c, "up again", func() bool { return a.up(b.name) })
	a.send(c, b.name, gather(2))
	defer func() {
		c.Logf("links %v, sent %d, lost %d, cut %d, dials failed %d, links broken %d; peer refused %d", a.linkReports(b.name),
			a.count("sent"), a.count("lost"), a.count("cut"), a.count("dials.failed"), a.count("broken"), b.count("refused"))
	}()
	eventually(c, "second frame", func() bool { return len(b.received(a.name)) == 2 })
}

// Guards against a one-way partition that also stops the other direction.
func TestOneWayPartition(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, "")
	partitionInjector(c, b).Inject(message.Partition{Entry: a.name, In: true})
	a.send(c, b.name, gather(1))
	eventually(c, "a cannot reach b", func() bool { return a.down(b.name) })
	b.send(c, a.name, gather(2))
	eventually(c, "b reaches a", func() bool { return len(a.received(b.name)) == 1 })
	c.Check(b.received(a.name), qt.HasLen, 0)
	c.Check(b.down(a.name), qt.IsFalse)
}

// Guards against frames from or to an earlier incarnation of an entry instance.
func TestOtherIncarnationIsRefused(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, "")
	a.send(c, b.name, gather(1))
	eventually(c, "first frame", func() bool { return len(b.received(a.name)) == 1 })

	b.publish(c, false, a.member("2")) // b knows a newer incarnation of a
	eventually(c, "link of the earlier incarnation refused", func() bool {
		a.send(c, b.name, gather(2))
		time.Sleep(5 * time.Millisecond)
		return a.down(b.name)
	})
	c.Check(b.received(a.name), qt.HasLen, 1)

	a.publish(c, false, a.member("2"))
	eventually(c, "up as the new incarnation", func() bool { return a.up(b.name) })
	a.send(c, b.name, gather(3))
	eventually(c, "frame of the new incarnation", func() bool { return len(b.received(a.name)) == 2 })
	c.Check(b.received(a.name)[1], qt.Equals, message.Frame(gather(3)))

	a.publish(c, false, b.member("9")) // a expects an incarnation of b other than the running one
	eventually(c, "answer of another incarnation refused", func() bool { return a.down(b.name) })
}

// Guards against frames that are lost uncounted, or arrive out of order, when a link is replaced because the member
// record of an end changed.
func TestReconnectKeepsOrder(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, "")
	total := 0
	for i := range 5 {
		for range 200 {
			a.send(c, b.name, gather(total))
			total++
		}
		incarnation := string(rune('2' + i))
		b.publish(c, false, b.member(incarnation))
		a.publish(c, false, b.member(incarnation))
		eventually(c, "frames of this incarnation", func() bool {
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

// Guards against idle links that stay open, and against a closed idle link that is reported as down.
func TestIdleLinkCloses(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, `,"idle":"100ms"`)
	a.send(c, b.name, gather(1))
	eventually(c, "frame", func() bool { return len(b.received(a.name)) == 1 })
	eventually(c, "idle link closed", func() bool { return len(links(c, a)) == 0 && len(links(c, b)) == 0 })
	c.Check(a.linkReports(b.name), qt.DeepEquals, []bool{true})
	a.send(c, b.name, gather(2))
	eventually(c, "frame after the idle time", func() bool { return len(b.received(a.name)) == 2 })
}

// Guards against frames that are queued before a shutdown and never written.
func TestStopSendsQueuedFrames(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, "")
	for i := range 500 {
		a.send(c, b.name, gather(i))
	}
	a.shutdown(c)
	c.Logf("sent %d, lost %d, dials failed %d, links broken %d", a.count("sent"), a.count("lost"), a.count("dials.failed"), a.count("broken"))
	eventually(c, "all frames", func() bool { return len(b.received(a.name)) == 500 })
}

// Guards against an oversized frame that is dropped without a report.
func TestOversizedFrameIsReported(t *testing.T) {
	c := qt.New(t)
	a, b := startPair(t, "")
	a.send(c, b.name, gather(1))
	a.send(c, b.name, message.StoredAnswer{Answer: message.Answer{Body: []byte(strings.Repeat("x", 65<<10))}})
	eventually(c, "report", func() bool { return a.count("oversized") == 1 && len(a.linkReports(b.name)) >= 2 })
	c.Check(a.linkReports(b.name)[:2], qt.DeepEquals, []bool{true, false})
	eventually(c, "up again", func() bool { return a.up(b.name) })
}
