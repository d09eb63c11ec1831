package admission

import (
	"slices"

	"teaselloft/internal/model/cluster"
	"teaselloft/internal/model/site"
)

// Verdict is what has to be done before a submission is passed to the pool of its queue.
//
//sumtype:decl
type Verdict interface{ verdict() }

type (
	// Admit passes the submission on once none of the former pools of the path has accepted it.
	Admit struct{ Former []string }
	// Register first stores the record that names the pool as the current one of the path.
	Register struct{ Paths cluster.Paths }
	// Outdated holds the submission back, because a newer configuration routes the path to another pool.
	Outdated struct {
		Pool    string
		Version int64
	}
)

func (Admit) verdict()    {}
func (Register) verdict() {}
func (Outdated) verdict() {}

// Decide returns the verdict on the submissions of a queue under a configuration. The argument unix is in milliseconds.
func Decide(paths cluster.Paths, c *site.Config, q site.Queue, unix int64) Verdict {
	path := q.Path()
	current, ok := paths.Current(path)
	switch {
	case ok && current.Pool == q.Pool:
		return Admit{Former: paths.Former(path, q.Pool)}
	case ok && current.Version > c.Version:
		return Outdated{Pool: current.Pool, Version: current.Version}
	}
	routed := make(map[string]bool, len(c.Queues))
	for _, x := range c.Queues {
		routed[x.Path()] = true
	}
	next := paths.WithRoute(path, q.Pool, c.Version, unix)
	return Register{Paths: next.WithoutUnrouted(func(path string) bool { return routed[path] }, c.Version, unix)}
}

// Others returns the pools of a configuration that may have accepted a job, without those in asked.
func Others(c *site.Config, asked []string) []string {
	var others []string
	for _, p := range c.Pools {
		if !p.Standby && !slices.Contains(asked, p.Name) {
			others = append(others, p.Name)
		}
	}
	return others
}
