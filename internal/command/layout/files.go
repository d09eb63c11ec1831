package layout

import (
	"fmt"

	"teaselloft/internal/model/fleet"
	"teaselloft/internal/model/message"
	"teaselloft/internal/standin/endpoint"
	"teaselloft/internal/standin/platform"
)

// credential authenticates the links and the operator listeners of a local system.
const credential = "local-only"

// localCooldown is the planner's cooldown after unplanned failures. It is short because the executors of a
// local system are missing from the first instance lists, which counts as such a failure.
const localCooldown = "3s"

// localDrainGrace is the minimum duration of a drain; a leaving executor of a local system gets no new work after 3 s.
const localDrainGrace = "3s"

// object is the content of a settings file or of one of its sections.
type object = map[string]any

// files returns the content of every settings file by file name.
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

func (s system) processSettings(name, zone, plugin string, section any) object {
	return object{"name": name, "zone": zone, "site": s.site, "plugins": object{plugin: section}}
}

func (s system) platformFile() object {
	instances := make([]message.Listing, 0, s.entries)
	for i := range s.entries {
		instances = append(instances, message.Listing{
			ID:      entryName(i + 1),
			Address: loopback(s.basePort + i + 1),
			Service: "teaselloft",
			Zone:    s.zone(i),
			State:   "live",
		})
	}
	return s.processSettings("platform", "", "platform-standin", platform.Settings{
		Listen:    loopback(s.platformPort),
		Writes:    platform.DefaultWrites,
		Reads:     platform.DefaultReads,
		Lag:       platform.DefaultLag,
		Progress:  platform.DefaultProgress,
		History:   platform.DefaultHistory,
		Reboot:    platform.DefaultReboot,
		Instances: instances,
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
	return s.processSettings(p.Name, "", "endpoint-standin", object{
		"service":   service,
		"executors": executors,
		"run":       s.runTime,
		"control":   loopback(s.basePort + controlOffset + i + 1),
		"platform":  []string{s.platformAddress()},
	})
}

func (s system) entryFile(i int) object {
	caller, entry, operator := s.basePort+i, s.basePort+entryOffset+i, s.basePort+operatorOffset+i
	return object{
		"name": entryName(i),
		"zone": s.zone(i - 1),
		"site": s.site,
		"plugins": object{
			"caller":   object{"listen": listenerSettings(caller)},
			"endpoint": object{},
			"entry":    object{"listen": listenerSettings(entry), "credential": credential},
			"operator": object{"listen": listenerSettings(operator), "token": credential, "faults": s.faults},
			"platform": object{
				"addresses": []string{s.platformAddress()},
				"entry":     loopback(entry),
				"operator":  loopback(operator),
			},
			"config": object{},
			"route":  object{},
			"plan":   object{"hold": localCooldown, "grace": localDrainGrace},
		},
	}
}

func (s system) platformAddress() string {
	return "http://" + loopback(s.platformPort)
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

func listenerSettings(port int) object {
	return object{"address": loopback(port)}
}
