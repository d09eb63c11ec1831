package file_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/settings/file"

	qt "github.com/frankban/quicktest"
)

// base is a valid base file, which tests modify or merge overlays over.
const base = `{"version": 1, "region": "kartli", "zones": ["ka", "kb"], "spare": "backoffice",
"teams": [{"name": "halyard", "quota": {"cores": 8, "memory": 16, "accelerators": 0}}],
"pools": [
{"name": "calendar", "fleet": "flags", "instances": [
{"id": "cal-1", "address": "127.0.0.1:9101", "zone": "ka", "rack": "a1"},
{"id": "cal-2", "address": "127.0.0.1:9102", "zone": "kb", "rack": "b1"}]},
{"name": "rakes", "fleet": "rist", "instances": [{"id": "rake-1", "address": "127.0.0.1:9201", "zone": "ka", "rack": "a1"}]},
{"name": "backoffice", "instances": []}],
"services": [
{"name": "flag-calendar", "fleet": "flags", "pool": "calendar", "slots": 8, "connections": 64, "budget": {"available": 1}, "nearest": 1, "team": "halyard"},
{"name": "rake-control", "fleet": "rist", "pool": "rakes", "slots": 8, "connections": 64, "budget": {"available": 1}}],
"corrections": [
{"from": "flag-calender", "to": "flag-calendar"},
{"from": "calender", "to": "flag-calender"}]}`

func read(texts ...string) (file.Config, error) {
	sources := []file.Source{{Name: "base.json", Data: []byte(texts[0])}}
	for _, text := range texts[1:] {
		sources = append(sources, file.Source{Name: "site.json", Data: []byte(text)})
	}
	return file.Read(sources[0], sources[1:]...)
}

func faults(err error) []string {
	var lines []string
	for _, f := range strict.FaultsOf(err) {
		lines = append(lines, f.String())
	}
	return lines
}

// position returns the line and column of the first occurrence of mark.
func position(text, mark string) string {
	before, _, _ := strings.Cut(text, mark)
	line := strings.Count(before, "\n")
	return fmt.Sprintf("%d:%d", line+1, len(before)-strings.LastIndex(before, "\n"))
}

// Guards against a fault that is not reported, or is reported at the wrong position.
func TestReadReportsFaults(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ name, old, replacement, mark, want string }{
		{"unknown field", `"region"`, `"regoin": "x", "region"`, `"regoin"`, `field "regoin": unknown field`},
		{"duplicate key", `"spare": "backoffice"`, `"spare": "backoffice", "spare": "backoffice"`, "\"spare\": \"backoffice\",\n", `field "spare": duplicate key, first used on line 1`},
		{"trailing data", `"to": "flag-calender"}]}`, `"to": "flag-calender"}]} {}`, `{}`, `trailing data after the document`},
		{"wrong type", `"slots": 8, "connections": 64, "budget": {"available": 1}, "nearest"`, `"slots": "8", "connections": 64, "budget": {"available": 1}, "nearest"`, `"8"`, `field "services[0].slots": must be a number, not a string`},
		{"invalid UTF-8", `"b1"`, "\"b\xff\"", "\xff", `invalid UTF-8`},
		{"negative quota", `"cores": 8`, `"cores": -8`, `-8`, `field "teams[0].quota.cores": must not be negative`},
		{"negative slots", `"slots": 8, "connections": 64, "budget": {"available": 1}}`, `"slots": -8, "connections": 64, "budget": {"available": 1}}`, `-8`, `field "services[1].slots": must not be negative`},
		{"name twice", `"name": "rakes"`, `"name": "Calendar"`, `"Calendar"`, `field "pools[1].name": "Calendar" is defined twice, first on line 4`},
		{"no pool", `"pool": "rakes"`, `"pool": "raeks"`, `"raeks"`, `field "services[rake-control].pool": pool "raeks" does not exist`},
		{"no team", `"team": "halyard"`, `"team": "haliard"`, `"haliard"`, `field "services[flag-calendar].team": team "haliard" does not exist`},
		{"no zone", `"zone": "kb"`, `"zone": "kc"`, `"kc"`, `field "pools[calendar].instances[cal-2].zone": zone "kc" does not exist`},
		{"zone twice", `"ka", "kb"`, `"ka", "ka"`, `"ka"], "spare"`, `field "zones[1]": "ka" is defined twice`},
		{"no spare", `"spare": "backoffice"`, `"spare": "front"`, `"front"`, `field "spare": pool "front" does not exist`},
		{"correction is a service", `"from": "calender"`, `"from": "Rake-Control"`, `"Rake-Control"`, `field "corrections[Rake-Control].from": "Rake-Control" is also the name of the service at base.json:11:1`},
		{"correction to nothing", `"to": "flag-calendar"`, `"to": "flag"`, `"flag"`, `field "corrections[flag-calender].to": service "flag" does not exist`},
		{"correction across fleets", `"to": "flag-calendar"`, `"to": "flag-calendar", "fleet": "rist"`, `"rist"}`, `field "corrections[flag-calender].fleet": correction of fleet "rist" points to "flag-calendar" of fleet "flags"`},
		{"instance in two pools", `"id": "rake-1"`, `"id": "cal-1"`, `"cal-1", "address": "127.0.0.1:9201"`, `field "pools[rakes].instances[cal-1].id": instance "cal-1" is in two pools, the other is calendar at base.json:5:1`},
		{"address twice", `127.0.0.1:9201`, `127.0.0.1:9101`, `"127.0.0.1:9101", "zone": "ka", "rack": "a1"}]`, `field "pools[rakes].instances[rake-1].address": address 127.0.0.1:9101 is already used by instance "cal-1"`},
		{"address without port", `127.0.0.1:9201`, `localhost`, `"localhost"`, `field "pools[rakes].instances[rake-1].address": "localhost" is not an IP address with a port`},
		{"budget", `"budget": {"available": 1}}`, `"budget": {"available": 2}}`, "2}}],\n\"corr", `field "services[rake-control].budget.available": pool "rakes" has 1 instances, the budget of 2 can never be met`},
		{"domain", `"budget": {"available": 1}, "nearest"`, `"budget": {"available": 1, "domain": "row"}, "nearest"`, `"row"`, `field "services[flag-calendar].budget.domain": "row" is not one of rack, zone, none`},
		{"domain of a small pool", `"budget": {"available": 1}}`, `"budget": {"available": 1, "domain": "zone"}}`, `"zone"}}`, `field "services[rake-control].budget.domain": the loss of one zone leaves 0 instances of pool "rakes", the budget of 1 can never be met`},
		{"pool of another fleet", `"pool": "rakes"`, `"pool": "calendar"`, `"calendar", "slots": 8, "connections": 64, "budget": {"available": 1}}`, `field "services[rake-control].pool": pool "calendar" is of fleet "flags", the service is of fleet "rist"`},
		{"spare pool", `"pool": "rakes"`, `"pool": "backoffice"`, `"backoffice", "slots"`, `field "services[rake-control].pool": pool "backoffice" is the spare pool, no service runs in it`},
		{"slash in a name", `"name": "rake-control"`, `"name": "rake/control"`, `"rake/control"`, `field "services[rake/control].name": may hold only letters, digits and the characters - _ .`},
		{"no slots", `"slots": 8, "connections": 64, "budget": {"available": 1}}`, `"connections": 64, "budget": {"available": 1}}`, `{"name": "rake-control"`, `field "services[rake-control].slots": must be at least 1`},
		{"few connections", `"connections": 64, "budget": {"available": 1}}`, `"connections": 7, "budget": {"available": 1}}`, `7, "budget"`, `field "services[rake-control].connections": must be at least the 8 slots`},
		{"nearest", `"nearest": 1`, `"nearest": 13`, `13, "team"`, `field "services[flag-calendar].nearest": must be less than the name's 13 characters`},
		{"missing id", `"id": "rake-1", `, ``, `{"address"`, `field "pools[1].instances[0].id": must not be empty`},
		{"missing fleet", `"name": "rakes", "fleet": "rist"`, `"name": "rakes"`, `{"name": "rakes"`, `field "pools[rakes].fleet": must not be empty`},
	} {
		text := strings.Replace(base, test.old, test.replacement, 1)
		c.Assert(text, qt.Not(qt.Equals), base, qt.Commentf(test.name))
		_, err := read(text)
		c.Check(err, qt.ErrorIs, strict.ErrInvalid, qt.Commentf(test.name))
		want := fmt.Sprintf("base.json:%s: %s", position(text, test.mark), test.want)
		c.Check(faults(err), qt.Contains, want, qt.Commentf(test.name))
		// Renaming an element causes at most one more fault, at a reference to its old name.
		c.Check(len(faults(err)) <= 2, qt.IsTrue, qt.Commentf("%s: %q", test.name, faults(err)))
	}
}

// Guards against a service or correction that would shadow a health path or the planner's ownership record.
func TestReadReportsReservedNames(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"healthz", "readyz", "planner", "Planner"} {
		_, err := read(strings.Replace(base, `"name": "rake-control"`, `"name": "`+name+`"`, 1))
		c.Check(faults(err), qt.DeepEquals, []string{`base.json:11:10: field "services[` + name + `].name": name "` + name + `" is reserved`})
		_, err = read(strings.Replace(base, `"from": "calender"`, `"from": "`+name+`"`, 1))
		c.Check(faults(err), qt.DeepEquals, []string{`base.json:14:10: field "corrections[` + name + `].from": name "` + name + `" is reserved`})
	}
}

// Guards against a cycle of corrections, which a lookup would follow forever.
func TestReadReportsLoops(t *testing.T) {
	c := qt.New(t)
	_, err := read(strings.Replace(base, `"to": "flag-calendar"`, `"to": "calender"`, 1))
	c.Assert(faults(err), qt.DeepEquals, []string{
		`base.json:13:33: field "corrections[flag-calender].to": correction "flag-calender" forms a loop`,
		`base.json:14:28: field "corrections[calender].to": correction "calender" forms a loop`,
	})
}

// Guards against a report that stops at the first faulty file or the first kind of fault.
func TestReadListsFaultsOfAllFiles(t *testing.T) {
	c := qt.New(t)
	text := strings.Replace(base, `"slots": 8`, `"slots": true`, 1)
	text = strings.Replace(text, `"pool": "rakes"`, `"pool": "raeks"`, 1)
	_, err := read(text, "{\"site\": \"kartli\",\n\"zone\": [], \"teams\": [{\"name\": \"x\", \"remove\": true}]}")
	c.Assert(faults(err), qt.DeepEquals, []string{
		`base.json:10:74: field "services[0].slots": must be a number, not a boolean`,
		`base.json:11:51: field "services[rake-control].pool": pool "raeks" does not exist`,
		`site.json:2:1: field "zone": unknown field`,
		`site.json:2:23: field "teams[x]": removes an element that does not exist`,
	})
}

// Guards against a fault found after the merge that names the wrong file.
func TestReadNamesTheFileOfAMergedValue(t *testing.T) {
	c := qt.New(t)
	_, err := read(base, "{\"site\": \"kartli\", \"services\": [\n{\"name\": \"rake-control\", \"budget\": {\"available\": 5}}]}")
	c.Assert(faults(err), qt.DeepEquals, []string{
		`site.json:2:50: field "services[rake-control].budget.available": pool "rakes" has 1 instances, the budget of 5 can never be met`,
	})
}

// Guards against merge rules that differ from the documented ones.
func TestReadMerges(t *testing.T) {
	c := qt.New(t)
	config, err := read(base, `{"site": "kartli", "region": "east", "zones": ["kb", "ka"],
"pools": [{"name": "calendar", "instances": [{"id": "cal-2", "remove": true}, {"id": "cal-3", "address": "127.0.0.1:9103", "zone": "kb", "rack": "b2"}]},
 {"name": "new", "fleet": "flags", "instances": [{"id": "new-1", "address": "127.0.0.1:9301", "zone": "ka", "rack": "a1", "remove": false}]}],
"services": [{"name": "flag-calendar", "slots": 4}],
"corrections": [{"from": "calender", "remove": true}, {"from": "flag-kalendar", "to": "flag-calendar"}]}`)
	c.Assert(err, qt.IsNil)
	f := config.Fleet
	c.Check(config.Site, qt.Equals, "kartli")
	c.Check(f.Region, qt.Equals, "east")
	c.Check(f.Zones, qt.DeepEquals, []string{"kb", "ka"})
	c.Check(f.Pools, qt.HasLen, 4)
	c.Check(f.Pools[0].Instances, qt.DeepEquals, []fleet.Instance{
		{ID: "cal-1", Address: "127.0.0.1:9101", Zone: "ka", Rack: "a1"},
		{ID: "cal-3", Address: "127.0.0.1:9103", Zone: "kb", Rack: "b2"},
	})
	c.Check(f.Pools[3].Name, qt.Equals, "new")
	c.Check(f.Services[0].Slots, qt.Equals, 4)
	c.Check(f.Services[0].Connections, qt.Equals, 64)
	c.Check(f.Corrections, qt.DeepEquals, []fleet.Correction{
		{From: "flag-calender", To: "flag-calendar", Source: fleet.SourceBase},
		{From: "flag-kalendar", To: "flag-calendar", Source: "kartli"},
	})
	at, ok := config.Origin("services[flag-calendar].slots")
	c.Check(ok, qt.IsTrue)
	c.Check(at, qt.Equals, strict.Position{File: "site.json", Line: 4, Column: 49})
}

// Guards against an overlay without a site and against mixed overlays of two sites.
func TestReadRequiresOneSite(t *testing.T) {
	c := qt.New(t)
	_, err := read(base, `{}`)
	c.Check(faults(err), qt.DeepEquals, []string{`site.json:1:1: field "site": an overlay must name its site`})
	_, err = read(base, `{"site": "kartli"}`, `{"site": "vestland"}`)
	c.Check(faults(err), qt.DeepEquals, []string{`site.json:1:10: field "site": the preceding overlay is for site "kartli"`})
}

// Guards against example files that fail validation.
func TestExamplesAreValid(t *testing.T) {
	c := qt.New(t)
	for _, names := range [][]string{{"halyard.json"}, {"halyard.json", "halyard-kartli.json"}, {"fossbakk.json"}} {
		var sources []file.Source
		for _, name := range names {
			data, err := os.ReadFile(filepath.Join("../../../examples", name))
			c.Assert(err, qt.IsNil)
			sources = append(sources, file.Source{Name: name, Data: data})
		}
		config, err := file.Read(sources[0], sources[1:]...)
		c.Assert(err, qt.IsNil)
		c.Check(config.Fleet.Services, qt.HasLen, 5)
	}
}
