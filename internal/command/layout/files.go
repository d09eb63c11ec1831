package layout

import (
	"fmt"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/standin/endpoint"
	"teaselloft/internal/standin/platform"
)

// credential protects the links and operators' listeners of a local system.
const credential = "local-only"

// localHold is the planner's rest after unplanned failures; the executors of a local system
// are missing from the first instance lists, which counts as one.
const localHold = "3s"

// localGrace is the shortest drain; a leaving executor of a local system gets no new work after 3 s.
const localGrace = "3s"

// object is a settings file or section.
type object = map[string]any

// files returns the settings by file name.
func (s system) files() map[string]object {
	files := map[string]object{"platform.json": s.platformFile()}
	for i, p := range s.fleet.Pools {
		files["endpoint-"+p.Name+".json"] = s.endpointFile(i, p)
	}
	for i := range s.entries {
		files[fmt.Sprintf("entry-%d.json", i+1)] = s.entryFile(i + 1)
	}
	return files
}

func (s system) process(name, zone, plugin string, section any) object {
	return object{"name": name, "zone": zone, "site": s.site, "plugins": object{plugin: section}}
}

func (s system) platformFile() object {
	listing := make([]message.Listing, 0, s.entries)
	for i := range s.entries {
		listing = append(listing, message.Listing{
			ID:      entryName(i + 1),
			Address: loopback(s.port + i + 1),
			Service: "teaselloft",
			Zone:    s.zone(i),
			State:   "live",
		})
	}
	return s.process("platform", "", "platform-standin", platform.Settings{
		Listen:    loopback(s.platform),
		Writes:    platform.DefaultWrites,
		Reads:     platform.DefaultReads,
		Lag:       platform.DefaultLag,
		Progress:  platform.DefaultProgress,
		History:   platform.DefaultHistory,
		Reboot:    platform.DefaultReboot,
		Instances: listing,
	})
}

func (s system) endpointFile(i int, p fleet.Pool) object {
	executors := make([]endpoint.Executor, 0, len(p.Instances))
	for _, x := range p.Instances {
		executors = append(executors, endpoint.Executor{ID: x.ID, Listen: x.Address, Zone: x.Zone, Rack: x.Rack})
	}
	service := p.Name
	for _, v := range s.fleet.Services {
		if v.Pool == p.Name {
			service = v.Name
		}
	}
	return s.process(p.Name, "", "endpoint-standin", object{
		"service":   service,
		"executors": executors,
		"run":       s.run,
		"control":   loopback(s.port + controlOffset + i + 1),
		"platform":  []string{s.platformAddress()},
	})
}

func (s system) entryFile(i int) object {
	caller, entry, operator := s.port+i, s.port+entryOffset+i, s.port+operatorOffset+i
	return object{
		"name": entryName(i),
		"zone": s.zone(i - 1),
		"site": s.site,
		"plugins": object{
			"caller":   object{"listen": listener(caller)},
			"endpoint": object{},
			"entry":    object{"listen": listener(entry), "credential": credential},
			"operator": object{"listen": listener(operator), "token": credential, "faults": s.faults},
			"platform": object{
				"addresses": []string{s.platformAddress()},
				"entry":     loopback(entry),
				"operator":  loopback(operator),
			},
			"config": object{},
			"route":  object{},
			"plan":   object{"hold": localHold, "grace": localGrace},
		},
	}
}

func (s system) platformAddress() string {
	return "http://" + loopback(s.platform)
}

func (s system) zone(i int) string {
	if len(s.fleet.Zones) == 0 {
		return ""
	}
	return s.fleet.Zones[i%len(s.fleet.Zones)]
}

func entryName(i int) string {
	return fmt.Sprintf("entry-%d", i)
}

func loopback(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

func listener(port int) object {
	return object{"address": loopback(port)}
}
