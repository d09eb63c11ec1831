package store_test

import (
	"context"
	"fmt"
	"testing"

	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
	"teaselloft/internal/standin/memory"

	qt "github.com/frankban/quicktest"
)

// fill applies n versions whose slots are the version.
func fill(c *qt.C, s store.Store, n int) {
	for i := range n {
		_, err := store.Apply(context.Background(), s, change(fmt.Sprint("id-", i+1), uint64(i), small(i+1)))
		c.Assert(err, qt.IsNil)
	}
}

// Guards against old versions that are lost when a new snapshot starts.
func TestHistoryReachesAcrossSnapshots(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	fill(c, s, 120)
	entries, err := store.History(ctx, s, 1000)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 120)
	var whole []uint64
	for i, e := range entries {
		c.Check(e.Version, qt.Equals, uint64(120-i))
		c.Check(e.Change, qt.Equals, fmt.Sprint("id-", 120-i))
		c.Check(e.Author, qt.Equals, "nino")
		if e.Snapshot {
			whole = append(whole, e.Version)
		}
	}
	c.Check(whole, qt.DeepEquals, []uint64{103, 52, 1})
	head, _, err := store.ReadHead(ctx, s)
	c.Assert(err, qt.IsNil)
	for _, version := range []uint64{1, 2, 51, 52, 53, 102, 103, 120} {
		f, err := store.At(ctx, s, head, version)
		c.Assert(err, qt.IsNil)
		c.Check(f, qt.DeepEquals, small(int(version)).WithVersion(version))
	}
	for _, version := range []uint64{0, 121} {
		_, err := store.At(ctx, s, head, version)
		c.Check(err, qt.ErrorIs, store.ErrNoVersion)
	}
}

// Guards against a rollback that lowers the version.
func TestRollbackMakesANewVersion(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	fill(c, s, 3)
	applied, err := store.Rollback(ctx, s, 1, change("back", 3, small(0)))
	c.Assert(err, qt.IsNil)
	c.Check(applied.Version, qt.Equals, uint64(4))
	c.Check(assemble(c, s), qt.DeepEquals, small(1).WithVersion(4))
	_, err = store.Rollback(ctx, s, 9, change("none", 4, small(0)))
	c.Check(err, qt.ErrorIs, store.ErrNoVersion)
}

// Guards against a new head that costs a reader the whole configuration again.
func TestAssembleReadsMissingDeltasOnly(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	var a store.Assembly
	for _, step := range []struct{ versions, calls int }{{1, 1}, {1, 1}, {3, 3}, {0, 0}, {47, 1}, {1, 1}} {
		head, _, err := store.ReadHead(ctx, s)
		c.Assert(err, qt.IsNil)
		for i := range step.versions {
			version := head.Version + uint64(i)
			_, err := store.Apply(ctx, s, change(fmt.Sprint("id-", version), version, small(int(version))))
			c.Assert(err, qt.IsNil)
		}
		head, _, err = store.ReadHead(ctx, s)
		c.Assert(err, qt.IsNil)
		a, err = a.Assemble(ctx, s, head)
		c.Assert(err, qt.IsNil)
		c.Check(a.Calls, qt.Equals, step.calls, qt.Commentf("version %d", head.Version))
		c.Check(a.Fleet.Services[0].Slots, qt.Equals, int(head.Version)-1)
	}
}

// Guards against a damaged value that is taken for a configuration, or that no later change can repair.
func TestDamagedValues(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	for name, text := range map[string]string{
		"no JSON":        `{`,
		"other version":  `{"version":7,"change":"id-2","patch":{}}`,
		"other change":   `{"version":2,"change":"id-9","patch":{}}`,
		"no patch":       `{"version":2,"change":"id-2"}`,
		"wrong document": `{"version":2,"change":"id-2","patch":{"services":"none"}}`,
	} {
		s := memory.New()
		fill(c, s, 3)
		s.Damage(record.PrefixConfig+"delta/2-id-2", text)
		head, revision, err := store.ReadHead(ctx, s)
		c.Assert(err, qt.IsNil)
		_, err = store.Assembly{}.Assemble(ctx, s, head)
		c.Check(err, qt.ErrorIs, store.ErrCorrupt, qt.Commentf(name))
		c.Check(store.Damaged(err), qt.IsTrue)

		entries, err := store.History(ctx, s, 9)
		c.Assert(err, qt.IsNil)
		c.Check(entries, qt.HasLen, 3)
		applied, err := store.Apply(ctx, s, change("repair", 3, small(4)))
		c.Assert(err, qt.IsNil)
		c.Check(applied.Snapshot, qt.IsTrue)
		c.Check(assemble(c, s), qt.DeepEquals, small(4).WithVersion(4))

		head.Version = 9
		_, err = s.CompareAndSwap(ctx, message.Write{Record: head, Expected: revision})
		c.Check(err, qt.ErrorIs, message.ErrConflict)
	}
}

// Guards against a head whose version its deltas do not lead to.
func TestHeadMustMatchItsDeltas(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	fill(c, s, 3)
	head, _, err := store.ReadHead(ctx, s)
	c.Assert(err, qt.IsNil)
	head.Version = 4
	_, err = store.Assembly{}.Assemble(ctx, s, head)
	c.Check(err, qt.ErrorIs, store.ErrCorrupt)
	head.Deltas = head.Deltas[1:]
	_, err = store.Assembly{}.Assemble(ctx, s, head)
	c.Check(err, qt.ErrorIs, store.ErrCorrupt)
	head.Snapshot = record.PrefixConfig + "snapshot/9-none"
	_, err = store.Assembly{}.Assemble(ctx, s, head)
	c.Check(store.Damaged(err), qt.IsTrue)
}

// Guards against a difference that an operator does not see before applying.
func TestDiff(t *testing.T) {
	c := qt.New(t)
	after := small(2).WithCorrections(nil)
	differences, err := store.Diff(small(1), after)
	c.Assert(err, qt.IsNil)
	c.Check(differences, qt.HasLen, 3)
	c.Check(differences[0].Field, qt.Equals, "corrections.flag/cal~ender")
	c.Check(differences[0].After, qt.IsNil)
	c.Check(differences[1], qt.DeepEquals, store.Difference{Field: "services.flag-calendar.nearest", Before: 1.0})
	c.Check(differences[2], qt.DeepEquals, store.Difference{Field: "services.flag-calendar.slots", Before: 1.0, After: 2.0})
}
