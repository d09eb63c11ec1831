package desk_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"teaselloft/internal/core/kernel"
	_ "teaselloft/internal/link/desk"
	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/job"
	"teaselloft/internal/model/port"
	"teaselloft/internal/model/site"

	qt "github.com/frankban/quicktest"
)

// fake is a site whose one pool is owned by this process, or by nobody.
type fake struct {
	port.PoolOwner
	directory cluster.Directory
	errs      []error // of the calls, in order; afterwards the pool has no owner
	calls     int
}

func (f *fake) Directory() cluster.Directory                     { return f.directory }
func (f *fake) LastContact() time.Duration                       { return 0 }
func (f *fake) Outage() (since, back time.Duration)              { return 0, 0 }
func (f *fake) Local(string) (port.PoolOwner, bool)              { return f, f.calls < len(f.errs) }
func (f *fake) Submit(context.Context, job.Submission) error     { return f.next() }
func (f *fake) Cancel(context.Context, job.ID) error             { return f.next() }
func (f *fake) State(context.Context, job.ID) (job.State, error) { return job.Running, f.next() }

func (f *fake) next() error {
	f.calls++
	return f.errs[f.calls-1]
}

var current *fake

func init() {
	kernel.Register("fake", struct{}{}, func(h *kernel.Host, _ struct{}) ([]kernel.Duty, error) {
		kernel.Provide[port.Directory](h, current)
		kernel.Provide[port.Owners](h, current)
		return nil, nil
	})
}

var queue = site.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "p"}

func newDesk(c *qt.C, errs ...error) port.JobService {
	current = &fake{errs: errs, directory: cluster.Directory{
		Config: &site.Config{Version: 1, Queues: []site.Queue{queue}, Pools: []site.Pool{{Name: "p"}}}, Listed: true, Reported: true,
	}}
	k, err := kernel.New(kernel.Settings{Name: "a", Plugins: map[string]json.RawMessage{"fake": nil, "desk": nil}}, slog.New(slog.DiscardHandler))
	c.Assert(err, qt.IsNil)
	d, ok := kernel.Use[port.JobService](k.Host())
	c.Assert(ok, qt.IsTrue)
	return d
}

// Guards against a refusal as not run of a job that may have been stored before its owner went away.
func TestOutcomesOfSubmit(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name string
		errs []error
		want error
	}{
		{"stored", []error{nil}, nil},
		{"no owner", nil, port.ErrNotAccepted},
		{"owner went before it took the job", []error{port.ErrNotOwner}, port.ErrNotAccepted},
		{"no connection", []error{port.ErrNotConnected}, port.ErrNotAccepted},
		{"owner went while it stored the job", []error{port.ErrUnknownOutcome}, port.ErrUnknownOutcome},
		{"unsure, then refused by a later owner that knows nothing of it", []error{port.ErrUnknownOutcome, port.ErrNotOwner}, port.ErrUnknownOutcome},
		{"unsure, then stored", []error{port.ErrUnknownOutcome, nil}, nil},
		{"unsure, then refused by the store", []error{port.ErrUnknownOutcome, port.ErrNotAccepted}, port.ErrUnknownOutcome},
		{"refused", []error{port.ErrNotAccepted}, port.ErrNotAccepted},
		{"other job", []error{port.ErrIDConflict}, port.ErrIDConflict},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
		err := newDesk(c, test.errs...).Submit(ctx, queue, job.Submission{ID: "0000000000000001"})
		cancel()
		if test.want == nil {
			c.Check(err, qt.IsNil, qt.Commentf("%s", test.name))
			continue
		}
		c.Check(err, qt.ErrorIs, test.want, qt.Commentf("%s", test.name))
	}
}

// Guards against a request that is sent to a queue with a shorter prefix, or to one of another host.
func TestRoute(t *testing.T) {
	c := qt.New(t)
	d := newDesk(c)
	current.directory.Config.Queues = append(current.directory.Config.Queues, site.Queue{Name: "long", Host: "h", Prefix: "/q/x/", Pool: "p"})
	q, rest, err := d.Route("h", "/q/x/1")
	c.Assert(err, qt.IsNil)
	c.Assert([]string{q.Name, rest}, qt.DeepEquals, []string{"long", "1"})
	q, rest, err = d.Route("h", "/q/x")
	c.Assert(err, qt.IsNil)
	c.Assert([]string{q.Name, rest}, qt.DeepEquals, []string{"q", "x"})
	_, _, err = d.Route("other", "/q/x")
	c.Assert(err, qt.ErrorIs, port.ErrNoRoute)
	current.directory.Config = nil
	_, _, err = d.Route("h", "/q/x")
	c.Assert(err, qt.ErrorIs, port.ErrNoConfig)
}

// Guards against a wrong answer about a job whose state nobody can read.
func TestUnknownState(t *testing.T) {
	c := qt.New(t)
	_, err := newDesk(c).State(context.Background(), queue, "0000000000000001")
	c.Assert(err, qt.ErrorIs, port.ErrUnavailable)
	_, err = newDesk(c, port.ErrNoJob).State(context.Background(), queue, "0000000000000001")
	c.Assert(err, qt.ErrorIs, port.ErrNoJob)
	state, err := newDesk(c, nil).State(context.Background(), queue, "0000000000000001")
	c.Assert(err, qt.IsNil)
	c.Assert(state, qt.Equals, job.Running)
}
