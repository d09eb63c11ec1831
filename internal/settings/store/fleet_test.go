package store_test

import (
	"fmt"

	"teaselloft/internal/model/fleet"
)

// small returns a fleet with one service; its slots and nearest vary, and its lists are in the order of an assembled fleet.
func small(slots int) fleet.Fleet {
	return fleet.Fleet{
		Region: "kartli", Zones: []string{"kb", "ka"}, Spare: "spare",
		Teams: []fleet.Team{},
		Pools: []fleet.Pool{
			{Name: "calendar", Fleet: "flags", Instances: []fleet.Instance{
				{ID: "cal-1", Address: "127.0.0.1:9101", Zone: "ka", Rack: "a1"},
				{ID: "cal-2", Address: "127.0.0.1:9102", Zone: "kb", Rack: "b1"},
			}},
			{Name: "spare", Instances: []fleet.Instance{}},
		},
		Services: []fleet.Service{
			{Name: "flag-calendar", Fleet: "flags", Pool: "calendar", Slots: slots, Connections: 64, Nearest: slots % 2},
		},
		Corrections: []fleet.Correction{{From: "flag/cal~ender", To: "flag-calendar", Source: fleet.SourceBase}},
	}
}

// large returns a fleet of the size that the system is designed for: 95 pools, 98 teams, 1,300 instances.
func large() fleet.Fleet {
	const pools, teams, instances = 95, 98, 1300
	f := fleet.Fleet{Region: "kartli", Spare: "pool-00"}
	for i := range 4 {
		f.Zones = append(f.Zones, fmt.Sprintf("kartli-%c", 'a'+i))
	}
	for i := range teams {
		f.Teams = append(f.Teams, fleet.Team{Name: fmt.Sprintf("team-%02d", i), Quota: fleet.Quota{Cores: 64, Memory: 256, Accelerators: 16}})
	}
	for i := range pools {
		f.Pools = append(f.Pools, fleet.Pool{Name: fmt.Sprintf("pool-%02d", i), Fleet: fmt.Sprintf("fleet-%d", i%4), Instances: []fleet.Instance{}})
		name := fmt.Sprintf("service-%02d", i)
		f.Services = append(f.Services, fleet.Service{
			Name: name, Fleet: fmt.Sprintf("fleet-%d", i%4), Pool: fmt.Sprintf("pool-%02d", i), Team: fmt.Sprintf("team-%02d", i),
			Slots: 8, Connections: 64, Budget: fleet.Budget{Available: 10}, Nearest: 1,
		})
		f.Corrections = append(f.Corrections, fleet.Correction{From: fmt.Sprintf("servise-%02d", i), To: name, Source: fleet.SourceBase})
	}
	for i := range instances {
		p := &f.Pools[i%pools]
		p.Instances = append(p.Instances, fleet.Instance{
			ID: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250),
			Zone: f.Zones[i%4], Rack: fmt.Sprintf("rack-%03d", i/4),
		})
	}
	return f
}
