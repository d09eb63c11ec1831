package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"teaselloft/internal/model/message"
)

// site is the size of one user's installation.
type site struct {
	name      string
	zones     int
	between   time.Duration // one way between zones
	executors []int         // by service
}

// The sites that are measured.
var (
	halyard  = site{name: "halyard", zones: 3, between: time.Millisecond, executors: []int{12, 10, 10, 10, 8}}
	fossbakk = site{name: "fossbakk", zones: 4, between: 1500 * time.Microsecond, executors: []int{12, 8, 10, 12, 8}}
)

// usualEntries is the number of entry instances of a site.
const usualEntries = 8

// Shape of every workload.
const (
	slots     = 8
	within    = 100 * time.Microsecond // one way within a zone
	deadline  = 10 * time.Second
	length    = 60 * time.Second // of a measurement
	period    = 20 * time.Second // of the peaks of one service
	peak      = 5.0              // of the mean rate
	between   = 0.05             // of the mean rate
	straggler = 0.01             // share of requests that run 20 to 100 times longer
	callers   = 40
)

// busy is the share of the time in a peak that makes the mean rate 1.
const busy = (1 - between) / (peak - between)

// kind is a group of requests with a typical run time.
type kind struct {
	class  message.Class
	path   string
	share  float64
	median time.Duration
}

var kinds = []kind{
	{message.Urgent, "/declare", 0.15, 40 * time.Millisecond},
	{message.Normal, "/read", 0.50, 30 * time.Millisecond},
	{message.Normal, "/report", 0.10, 500 * time.Millisecond},
	{message.Background, "/sync", 0.15, 40 * time.Millisecond},
	{message.Background, "/archive", 0.10, 800 * time.Millisecond},
}

// job is one request of a workload with its true run time.
type job struct {
	request message.Request
	entry   int
	kind    int
	run     time.Duration
	arrived time.Time
	started time.Time
	ahead   float64 // share of the wait that long work in the slots accounts for
	failed  []string
}

// urgent reports whether the job is urgent.
func (j *job) urgent() bool { return j.request.Class == message.Urgent }

// long reports whether the job runs longer than four typical short ones.
func (j *job) long() bool { return j.run > 4*40*time.Millisecond }

// held returns how long a started job holds its slot; it is cancelled at its deadline.
func (j *job) held() time.Duration { return min(j.run, j.request.Deadline.Sub(j.started)) }

// cut reports whether a started job is cancelled at its deadline.
func (j *job) cut() bool { return j.held() < j.run }

// draw returns a job with a random kind and run time.
func draw(r *rand.Rand, zones, entries int, n uint64, now time.Time) *job {
	j := &job{entry: r.IntN(entries), arrived: now}
	x := r.Float64()
	for x >= kinds[j.kind].share && j.kind < len(kinds)-1 {
		x -= kinds[j.kind].share
		j.kind++
	}
	k := kinds[j.kind]
	j.run = time.Duration(float64(k.median) * math.Exp(0.4*r.NormFloat64()))
	if r.Float64() < straggler {
		j.run = time.Duration(float64(j.run) * (20 + 80*r.Float64()))
	}
	j.request = message.Request{
		ID:         message.ID{Entry: entryName(j.entry), Incarnation: "1", Sequence: n},
		Service:    "s",
		Method:     "PUT",
		Path:       k.path,
		Caller:     fmt.Sprint("caller", r.IntN(callers)),
		Idempotent: true,
		Class:      k.class,
		Zone:       zoneName(j.entry % zones),
		Arrived:    now,
		Deadline:   now.Add(deadline),
	}
	return j
}

func entryName(i int) string { return fmt.Sprintf("entry%02d", i) }

func zoneName(i int) string { return fmt.Sprintf("zone%d", i) }

// meanRun returns the mean run time of the workload, from a fixed sample.
func meanRun() time.Duration {
	r := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	const sample = 200_000
	for range sample {
		sum += draw(r, 1, 1, 0, time.Time{}).run
	}
	return sum / sample
}
