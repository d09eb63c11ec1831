package store_test

import (
	"context"
	"fmt"
	"testing"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
	"teaselloft/internal/standin/memory"

	qt "github.com/frankban/quicktest"
)

const (
	valueLimit    = 1 << 20 // the platform's limit for a value, in bytes
	changesPerDay = 2400
	secondsPerDay = 24 * 60 * 60
	byteBudget    = 3 * 1024 // bytes per second for all control traffic of a daemon
)

// alter returns the fleet with one small change; n selects one of three kinds.
func alter(f fleet.Fleet, n int) fleet.Fleet {
	switch n % 3 {
	case 0:
		services := append([]fleet.Service{}, f.Services...)
		services[n%len(services)].Slots = 100 + n
		return f.WithServices(services)
	case 1:
		name := fmt.Sprintf("misspelled-%d", n)
		return f.WithCorrections(append(append([]fleet.Correction{}, f.Corrections...), fleet.Correction{From: name, To: "service-01", Source: "kartli"}))
	default:
		pools := append([]fleet.Pool{}, f.Pools...)
		p := &pools[n%len(pools)]
		p.Instances = append([]fleet.Instance{}, p.Instances...)
		p.Instances[0].Rack = fmt.Sprintf("rack-%d", n)
		return f.WithPools(pools)
	}
}

// Guards against a change whose cost grows with the fleet, and against a snapshot near the platform's value size limit.
func TestCostOfChangesAtFullSize(t *testing.T) {
	c := qt.New(t)
	ctx, s := context.Background(), memory.New()
	f := large()
	applied, err := store.Apply(ctx, s, change("first", 0, f))
	c.Assert(err, qt.IsNil)
	c.Check(applied.Instances, qt.Equals, 1300)
	snapshot := applied.Bytes
	c.Check(snapshot < valueLimit/2, qt.IsTrue, qt.Commentf("snapshot of %d bytes", snapshot))

	const changes = 6 // two of each kind
	reader, delta := store.Assembly{}, 0
	for i := range changes {
		f = alter(f, i)
		_, err := store.Apply(ctx, s, change(longID(i), uint64(i+1), f))
		c.Assert(err, qt.IsNil)
		head, _, err := store.ReadHead(ctx, s)
		c.Assert(err, qt.IsNil)
		reader, err = reader.Assemble(ctx, s, head)
		c.Assert(err, qt.IsNil)
		if i > 0 {
			c.Check(reader.Reads, qt.Equals, 1)
			delta = max(delta, reader.Bytes)
		}
	}
	c.Check(delta < 1024, qt.IsTrue, qt.Commentf("delta of %d bytes", delta))

	heads := meanHead(c)
	value := float64(deltasPerSnapshot*delta+snapshot) / (deltasPerSnapshot + 1)
	// A reader receives each value and head from its watch and reads the value again, all in base64.
	perSecond := (2*value + heads) * 4 / 3 * changesPerDay / secondsPerDay
	t.Logf("snapshot %d bytes, %.1f%% of the limit; largest delta %d bytes; mean head %.0f bytes", snapshot, 100*float64(snapshot)/valueLimit, delta, heads)
	t.Logf("stored per change: mean %.0f bytes, %.1f MB a day at %d changes", value+heads, (value+heads)*changesPerDay/1e6, changesPerDay)
	t.Logf("received by a reader: %.0f bytes a second of %d", perSecond, byteBudget)
	c.Check(perSecond < byteBudget/5, qt.IsTrue)
}

// deltasPerSnapshot is the number of deltas between two snapshots.
const deltasPerSnapshot = 50

// longID returns an ID as long as those that the apply command generates.
func longID(n int) string {
	return fmt.Sprintf("0b5ba0a1-1f4b-4c1d-9d2e-%012d", n)
}

// meanHead returns the mean size of the head from one snapshot to the next, which does not depend on the fleet.
func meanHead(c *qt.C) float64 {
	ctx, s := context.Background(), memory.New()
	total := 0
	for i := range deltasPerSnapshot + 1 {
		_, err := store.Apply(ctx, s, change(longID(i), uint64(i), small(i+1)))
		c.Assert(err, qt.IsNil)
		head, _, err := s.ReadRaw(ctx, record.KeyConfigHead)
		c.Assert(err, qt.IsNil)
		total += len(head)
	}
	return float64(total) / (deltasPerSnapshot + 1)
}

// BenchmarkAssembleDelta measures the CPU time that an entry instance spends on one change at full fleet size.
func BenchmarkAssembleDelta(b *testing.B) {
	ctx, s := context.Background(), memory.New()
	f := large()
	if _, err := store.Apply(ctx, s, change("a", 0, f)); err != nil {
		b.Fatal(err)
	}
	head, _, err := store.ReadHead(ctx, s)
	if err != nil {
		b.Fatal(err)
	}
	before, err := store.Assembly{}.Assemble(ctx, s, head)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := store.Apply(ctx, s, change("b", 1, alter(f, 0))); err != nil {
		b.Fatal(err)
	}
	if head, _, err = store.ReadHead(ctx, s); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := before.Assemble(ctx, s, head); err != nil {
			b.Fatal(err)
		}
	}
}
