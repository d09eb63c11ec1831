package fleet_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	_ "teaselloft/internal/command/fleet"
	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
	"teaselloft/internal/standin/memory"

	qt "github.com/frankban/quicktest"
)

// run executes one command line against the store and returns its output.
func run(s store.Store, arguments ...string) (string, error) {
	var out bytes.Buffer
	program := command.Program("teaselloft", "test")
	program.Writer, program.ErrWriter = &out, &out
	err := program.Run(option.WithStore(context.Background(), s), append([]string{"teaselloft"}, arguments...))
	return out.String(), err
}

func newStore(c *qt.C) *memory.Store {
	s := memory.New()
	f := fleet.Fleet{
		Spare: "desk",
		Pools: []fleet.Pool{
			{Name: "rakes", Fleet: "rist", Instances: []fleet.Instance{{ID: "r-1"}, {ID: "r-2"}, {ID: "r-3"}}},
			{Name: "desk", Instances: []fleet.Instance{{ID: "d-1"}}},
		},
		Services: []fleet.Service{{Name: "rake-control", Fleet: "rist", Pool: "rakes", Budget: fleet.Budget{Available: 2}}},
	}
	_, err := store.Apply(context.Background(), s, store.Change{ID: "id", Author: "liv", Time: time.Now(), Fleet: f})
	c.Assert(err, qt.IsNil)
	return s
}

func get(c *qt.C, s store.Store, id string) record.Instance {
	r, _, err := s.Read(context.Background(), record.PrefixInstance+id)
	c.Assert(err, qt.IsNil)
	return r.(record.Instance)
}

// Guards against a move that exceeds the budget or takes the instance out before it is entered in the ledger.
func TestMoveKeepsBudget(t *testing.T) {
	c := qt.New(t)
	s := newStore(c)
	var written []string
	s.Before(func(call memory.Call) {
		if call.Write {
			written = append(written, call.Key)
		}
	})
	_, err := run(s, "instance", "move", "r-1", "desk")
	c.Assert(err, qt.IsNil)
	c.Check(written, qt.DeepEquals, []string{"budget/rake-control", "instance/r-1"})
	r := get(c, s, "r-1")
	c.Check([]string{r.Pool, r.Target, string(r.State)}, qt.DeepEquals, []string{"rakes", "desk", "draining"})
	_, err = run(s, "instance", "drain", "r-2")
	c.Check(err, qt.ErrorMatches, `.*: 1 instances of service "rake-control" would serve without "r-2", its budget is 2`)
	_, err = run(s, "instance", "drain", "d-1")
	c.Check(err, qt.IsNil)
	_, err = run(s, "instance", "return", "r-1")
	c.Check(err, qt.IsNil)
	c.Check(get(c, s, "r-1").State, qt.Equals, record.Serving)
	_, err = run(s, "instance", "move", "none", "desk")
	c.Check(err, qt.ErrorMatches, `instance "none" does not exist; .*`)
	_, err = run(s, "instance", "move", "r-1")
	c.Check(err, qt.ErrorMatches, `usage: .*instance move ID POOL, got 1 arguments`)
}

// Guards against a lost update: the later of two concurrent orders must fail, not overwrite the earlier one.
func TestConcurrentOrdersConflict(t *testing.T) {
	c := qt.New(t)
	s := newStore(c)
	calls := 0
	s.Before(func(call memory.Call) {
		if call.Key != "instance/d-1" {
			return
		}
		if calls++; calls == 2 { // after the first operator read the record
			_, err := run(s, "instance", "drain", "d-1", "--reason", "other")
			c.Check(err, qt.IsNil)
		}
	})
	_, err := run(s, "instance", "move", "d-1", "rakes", "--reason", "mine")
	c.Assert(err, qt.ErrorIs, message.ErrConflict)
	c.Check(err, qt.ErrorMatches, `instance "d-1" was changed by another operator or by the planner: it is draining in pool "desk" since .*, nothing was done: .*`)
	c.Check(get(c, s, "d-1").Reason, qt.Equals, "other")
	c.Check(get(c, s, "d-1").Target, qt.Equals, "")
}

// Guards against an order that reports failure although its write took effect, or success although it did not.
func TestUnknownWriteOutcome(t *testing.T) {
	c := qt.New(t)
	for fault, success := range map[memory.Fault]bool{memory.Lose: true, memory.Refuse: false} {
		s := newStore(c)
		s.Inject(func(call memory.Call) memory.Fault {
			if call.Write && call.Key == "instance/r-1" {
				return fault
			}
			return memory.None
		})
		_, err := run(s, "instance", "move", "r-1", "desk")
		c.Check(err == nil, qt.Equals, success)
		c.Check(get(c, s, "r-1").State == record.Draining, qt.Equals, success)
	}
}

// Guards against a concurrent ledger write by the planner that makes an order fail or loses a ledger entry.
func TestConcurrentLedgerWrite(t *testing.T) {
	c := qt.New(t)
	s := newStore(c)
	raced := false
	s.Before(func(call memory.Call) {
		if call.Write && call.Key == "budget/rake-control" && !raced {
			raced = true
			ledger := record.Ledger{Service: "rake-control", Epoch: 3}
			_, err := s.CompareAndSwap(context.Background(), message.Write{Record: ledger})
			c.Check(err, qt.IsNil)
		}
	})
	_, err := run(s, "instance", "drain", "r-1")
	c.Assert(err, qt.IsNil)
	r, _, err := s.Read(context.Background(), "budget/rake-control")
	c.Assert(err, qt.IsNil)
	c.Check(r.(record.Ledger).Out, qt.DeepEquals, []string{"r-1"})
	c.Check(r.(record.Ledger).Epoch, qt.Equals, uint64(3))
}

// Guards against pool and instance lists that differ from the stored records.
func TestLists(t *testing.T) {
	c := qt.New(t)
	s := newStore(c)
	_, err := run(s, "instance", "drain", "r-2")
	c.Assert(err, qt.IsNil)
	out, err := run(s, "pool", "list")
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Equals, ""+
		"POOL   FLEET  DECLARED  PRESENT  SERVING  DRAINING  REBOOTING  OUT\n"+
		"desk   -      1         1        1        0         0          0\n"+
		"rakes  rist   3         3        2        1         0          0\n")
	out, err = run(s, "instance", "list", "--pool", "rakes", "--output", "json")
	c.Assert(err, qt.IsNil)
	var rows []struct {
		ID       string               `json:"id"`
		State    record.InstanceState `json:"state"`
		Declared bool                 `json:"declared"`
	}
	c.Assert(json.Unmarshal([]byte(out), &rows), qt.IsNil)
	c.Check(rows, qt.HasLen, 3)
	c.Check(rows[1].ID, qt.Equals, "r-2")
	c.Check(rows[1].State, qt.Equals, record.Draining)
	c.Check(rows[1].Declared, qt.IsTrue)
}
