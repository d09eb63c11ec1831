package site

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
)

// Route returns the path prefix of a pool's queue.
func Route(pool string) string {
	if pool == Pool {
		return Prefix
	}
	return "/" + pool + "/"
}

// Attempts is the maximum number of attempts of a task.
const Attempts = 3

// Account is a client account of the operators' configuration.
type Account struct {
	Name    string         `json:"name"`
	Keys    []string       `json:"api-keys"`
	Weight  int            `json:"weight"`
	Maximum map[string]int `json:"maximum"` // by cpu, mem-mb and gpu
}

// SetAccounts sets the accounts from the next version of the configuration on. Nil means that it has no accounts.
func (s *Site) SetAccounts(accounts []Account) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.accounts = accounts
}

// SetAnonymous makes the queue of a path prefix accept requests without a key from the next version of the configuration on.
func (s *Site) SetAnonymous(prefix string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.anonymous[prefix] = true
}

// Configure writes a version of the operators' configuration; extra lists additional queues of the first pool.
func (s *Site) Configure(version int, extra ...string) {
	queues := map[string]string{}
	services := []map[string]any{{"name": Standby, "standby": true}}
	for _, pool := range s.options.Pools {
		queues[Route(pool)] = pool
		services = append(services, map[string]any{"name": pool, "standby": false})
	}
	for _, name := range extra {
		queues["/"+name+"/"] = s.options.Pools[0]
	}
	s.mutex.Lock()
	moved, anonymous, accounts := maps.Clone(s.moved), maps.Clone(s.anonymous), s.accounts
	s.mutex.Unlock()
	var routes []map[string]any
	for prefix, pool := range queues {
		name := strings.Trim(prefix, "/")
		if to, ok := moved[prefix]; ok {
			name, pool = name+"-"+to, to
		}
		routes = append(routes, map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": "non_idempotent", "timeout-ms": 3000,
			"target-latency-ms": 600, "priority": 0, "service": pool, "max-attempts": Attempts, "stretch-factor": 1.6,
			"anonymous": anonymous[prefix],
		})
	}
	config := map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{}}
	if accounts != nil {
		config["tenants"] = accounts
	}
	data, err := json.Marshal(config)
	if err != nil {
		panic(fmt.Sprintf("encode configuration: %v", err)) // maps of plain values always encode
	}
	s.Store.Put("op/config", data)
}

// Move gives a path prefix a route of another name to the given pool, from the next version of the configuration on.
func (s *Site) Move(prefix, pool string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.moved[prefix] = pool
}
