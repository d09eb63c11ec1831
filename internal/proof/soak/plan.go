package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"teaselloft/internal/standin/site"
)

// action is a fault with its start time, relative to the begin of the run, and its duration.
type action struct {
	at, length time.Duration
	fault      Fault
}

// plan generates the faults of a run: single faults, series of one kind, and overlapping ones.
func plan(r *rand.Rand, o Options) []action {
	var actions []action
	at := time.Duration(0)
	for at < o.Length {
		length := between(r, 500*time.Millisecond, 6*time.Second)
		kind := r.IntN(kinds)
		for range 1 + r.IntN(3)*r.IntN(2) { // two of three faults are single, the rest come in series
			actions = append(actions, action{at: at, length: length, fault: draw(r, kind, o)})
			at += between(r, 200*time.Millisecond, 2*time.Second)
		}
		at += between(r, 0, 1500*time.Millisecond) // shorter than most faults, so that faults overlap
	}
	splits := rand.New(rand.NewPCG(o.Seed, splitStream))
	if splits.IntN(2) == 0 {
		actions = append(actions, drawSplit(splits, between(splits, 0, o.Length), o))
	}
	actions = append(actions, planRestarts(rand.New(rand.NewPCG(o.Seed, restartStream)), o)...)
	slices.SortStableFunc(actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	return actions
}

// planRestarts generates, for half of the runs, a series of restarts of the same executors.
func planRestarts(r *rand.Rand, o Options) []action {
	if r.IntN(2) == 0 {
		return nil
	}
	var actions []action
	f := Crash{Executors: pickSome(r, o.Instances*len(Pools)), SameID: true}
	at := between(r, 0, o.Length)
	for range 1 + r.IntN(4) {
		actions = append(actions, action{at: at, length: between(r, 200*time.Millisecond, 1500*time.Millisecond), fault: f})
		at += between(r, time.Second, 3*time.Second)
	}
	return actions
}

// planSplits generates the faults of a run with splits alone, one after the other.
func planSplits(r *rand.Rand, o Options) []action {
	var actions []action
	for at := splitPause; at < o.Length; {
		a := drawSplit(r, at, o)
		actions = append(actions, a)
		at += a.length + splitPause
	}
	return actions
}

func drawSplit(r *rand.Rand, at time.Duration, o Options) action {
	return action{at: at, length: between(r, minSplit, maxSplit), fault: draw(r, kindSplit, o)}
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// Lengths of a split, from the time that a takeover needs to several times as much, and the time before each split in
// a run without other faults.
const (
	minSplit   = 4 * time.Second
	maxSplit   = 16 * time.Second
	splitPause = 2 * time.Second
)

// Kinds of faults that draw generates.
const (
	kinds         = 16      // drawn for each fault or series
	kindSplit     = kinds   // drawn for half of the runs
	splitStream   = 1 << 33 // of random numbers for splits: the other faults of recorded seeds stay what they were
	restartStream = 1 << 34 // the same for restarts
)

// draw returns a random fault of a kind. Executor numbers index the executors that are alive when the fault begins.
func draw(r *rand.Rand, kind int, o Options) Fault {
	daemon, executor := r.IntN(o.Daemons), r.IntN(o.Instances*len(Pools))
	ways := [][2]bool{{true, false}, {false, true}, {true, true}}[r.IntN(3)]
	switch kind {
	case 0:
		return Kill{Daemons: pickSome(r, o.Daemons)}
	case 1:
		return Pause{Daemon: daemon}
	case 2:
		return Terminate{Daemon: daemon}
	case 3:
		return CutStore{Daemon: daemon, Out: ways[0], Back: ways[1]}
	case 4:
		return ResetStore{Daemon: daemon}
	case 5:
		return DelayStore{Daemon: daemon}
	case 6:
		return CutPeers{Daemon: daemon, Out: ways[0], Back: ways[1]}
	case 7:
		return CutExecutor{Executor: executor, Out: ways[0], Back: ways[1]}
	case 8:
		return ResetExecutors{}
	case 9:
		return StoreDown{}
	case 10:
		return StoreSlow{}
	case 11:
		return StoreLoses{Late: r.IntN(2) == 0}
	case 12:
		return StoreForgets{}
	case 13:
		return Crash{Executors: pickSome(r, o.Instances*len(Pools))}
	case 14:
		return Break{Executor: executor, How: []site.Fault{site.FaultSilent, site.FaultLate, site.FaultFail, site.FaultHang}[r.IntN(4)]}
	case kindSplit:
		return Split{Daemons: pickPart(r, o.Daemons), Executors: pickPart(r, o.Instances*len(Pools))}
	default:
		return Configure{}
	}
}

// pickPart returns random indexes below n, at least one, and not all if n is above 1.
func pickPart(r *rand.Rand, n int) []int { return r.Perm(n)[:1+r.IntN(max(1, n-1))] }

// pickSome returns random indexes below n: one index in 60 % of cases, a third of them in 30 %, all in 10 %.
func pickSome(r *rand.Rand, n int) []int {
	count := 1
	switch x := r.IntN(10); {
	case x == 0:
		count = n
	case x < 4:
		count = max(1, n/3)
	}
	return r.Perm(n)[:count]
}
