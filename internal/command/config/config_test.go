package config_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	_ "teaselloft/internal/command/config"
	"teaselloft/internal/command/option"
	"teaselloft/internal/core/command"
	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/message"
	"teaselloft/internal/model/record"
	"teaselloft/internal/settings/store"
	"teaselloft/internal/standin/memory"

	qt "github.com/frankban/quicktest"
)

const (
	base    = "../../../examples/halyard.json"
	overlay = "../../../examples/halyard-kartli.json"
)

// run runs a command line against a store and returns its output.
func run(s store.Store, arguments ...string) (string, error) {
	var out bytes.Buffer
	program := command.Program("teaselloft", "test")
	program.Writer, program.ErrWriter = &out, &out
	ctx := context.Background()
	if s != nil {
		ctx = option.WithStore(ctx, s)
	}
	err := program.Run(ctx, append([]string{"teaselloft"}, arguments...))
	return out.String(), err
}

// writeAltered writes a copy of the base file with one text replaced and returns its path.
func writeAltered(c *qt.C, from, to string) string {
	data, err := os.ReadFile(base)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Contains, from)
	path := filepath.Join(c.TempDir(), "altered.json")
	c.Assert(os.WriteFile(path, []byte(strings.Replace(string(data), from, to, 1)), 0o600), qt.IsNil)
	return path
}

// Guards against a check that contacts the platform, or that omits the faults of one of several sites.
func TestCheck(t *testing.T) {
	c := qt.New(t)
	out, err := run(nil, "check", base, overlay)
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Contains, "kartli  kartli  1      6      54         5         11")

	other := filepath.Join(c.TempDir(), "other.json")
	c.Assert(os.WriteFile(other, []byte("{\"site\": \"east\",\n\"spare\": \"none\"}"), 0o600), qt.IsNil)
	bad := writeAltered(c, `"slots": 8`, `"slots": -8`)
	_, err = run(nil, "check", bad, overlay, other)
	var lines []string
	for _, f := range strict.FaultsOf(err) {
		lines = append(lines, filepath.Base(f.At.File)+" "+f.Field+" "+f.Message)
	}
	c.Check(lines, qt.DeepEquals, []string{
		`altered.json services[0].slots must not be negative`,
		`other.json spare pool "none" does not exist`,
	})
	_, err = run(nil, "check")
	c.Check(err, qt.ErrorMatches, `usage: .*check BASE.json \[OVERLAY.json \.\.\.\], got 0 arguments`)
	_, err = run(nil, "check", "none.json")
	c.Check(err, qt.ErrorIs, os.ErrNotExist)
}

// Guards against differences between what diff shows, what apply writes and what rollback restores.
func TestDiffApplyRollback(t *testing.T) {
	c := qt.New(t)
	s := memory.New()
	_, err := run(s, "apply", base, overlay)
	c.Assert(err, qt.IsNil)
	changed := writeAltered(c, `"nearest": 1`, `"nearest": 2`)
	out, err := run(s, "diff", changed, overlay)
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Equals, ""+
		"FIELD                           VERSION 1  FILES\n"+
		"services.flag-calendar.nearest  1          2\n")

	out, err = run(s, "apply", "--from", "1", "--output", "json", changed, overlay)
	c.Assert(err, qt.IsNil)
	var applied store.ApplyResult
	c.Assert(json.Unmarshal([]byte(out), &applied), qt.IsNil)
	c.Check(applied.Version, qt.Equals, uint64(2))
	_, err = run(s, "apply", "--from", "1", base)
	c.Check(err, qt.ErrorIs, store.ErrStale)
	_, err = run(s, "rollback", "1")
	c.Assert(err, qt.IsNil)
	out, err = run(s, "diff", base, overlay)
	c.Assert(err, qt.IsNil)
	c.Check(out, qt.Equals, "FIELD  VERSION 3  FILES\n")
	out, err = run(s, "history", "--count", "2", "--output", "json")
	c.Assert(err, qt.IsNil)
	var entries []store.HistoryEntry
	c.Assert(json.Unmarshal([]byte(out), &entries), qt.IsNil)
	c.Check(entries, qt.HasLen, 2)
	c.Check(entries[0].Version, qt.Equals, uint64(3))
}

// Guards against an error after which the operator cannot determine the outcome of a change by repeating the command.
func TestUnknownResult(t *testing.T) {
	c := qt.New(t)
	s := memory.New()
	s.Inject(func(call memory.Call) memory.Fault {
		if call.Write && call.Key == record.KeyConfigHead {
			return memory.Refuse
		}
		return memory.None
	})
	_, err := run(s, "apply", "--limit", "20ms", base, overlay)
	c.Assert(err, qt.ErrorIs, message.ErrUnavailable)
	_, repeat, found := strings.Cut(err.Error(), "repeat the command with ")
	c.Assert(found, qt.IsTrue)
	s.Inject(func(memory.Call) memory.Fault { return memory.None })
	for _, result := range []string{"in force", "was in force already"} {
		out, err := run(s, append(append([]string{"apply"}, strings.Fields(repeat)...), base, overlay)...)
		c.Assert(err, qt.IsNil)
		c.Check(out, qt.Contains, "1        "+result)
	}
}

// Guards against commands that write to another site than the overlay's, or that repeat a change without its base version.
func TestApplyRefuses(t *testing.T) {
	c := qt.New(t)
	s := memory.New()
	for want, arguments := range map[string][]string{
		`the overlay is for site "kartli", not for "east"`:                   {"apply", "--site", "east", base, overlay},
		`--change needs the --from of the earlier attempt`:                   {"apply", "--change", "x", base},
		`"x" is not a version`:                                               {"rollback", "x"},
		`.*configuration version does not exist: version 7, the newest is 0`: {"rollback", "7"},
		`(?s)invalid configuration:.*`:                                       {"apply", overlay},
	} {
		_, err := run(s, arguments...)
		c.Check(err, qt.ErrorMatches, want)
	}
	c.Check(s.Keys(), qt.HasLen, 0)
	_, err := run(nil, "history")
	c.Check(err, qt.ErrorMatches, "flag --platform is missing")
	_, err = run(nil, "history", "--platform", "http://127.0.0.1:1")
	c.Check(err, qt.ErrorMatches, "flag --site is missing")
	_, err = run(s, "history", "--output", "xml")
	c.Check(err, qt.IsNotNil)
}
