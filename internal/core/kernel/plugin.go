package kernel

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"

	"teaselloft/internal/core/strict"
)

// Plugin is a registered plug-in: Check validates its settings section, whose path is field, and Build creates its
// duties.
type Plugin struct {
	Name  string
	Check func(section strict.Node, field string) strict.Faults
	Build func(h *Host, section json.RawMessage) ([]Duty, error)
}

var registry = struct {
	sync.Mutex
	plugins map[string]Plugin
}{plugins: map[string]Plugin{}}

// Register adds a plug-in whose settings section is decoded over defaults; call it from init.
//
// It panics when the name is already registered.
func Register[S any](name string, defaults S, build func(*Host, S) ([]Duty, error)) {
	registry.Lock()
	defer registry.Unlock()
	if _, ok := registry.plugins[name]; ok {
		panic(fmt.Sprintf("plug-in %q is registered twice", name))
	}
	registry.plugins[name] = Plugin{
		Name: name,
		Check: func(section strict.Node, field string) strict.Faults {
			return strict.Check(section, reflect.TypeFor[S](), field)
		},
		Build: func(h *Host, section json.RawMessage) ([]Duty, error) {
			settings := defaults
			if err := decodeSection(section, &settings); err != nil {
				return nil, fmt.Errorf("settings of plug-in %q: %w", name, err)
			}
			return build(h, settings)
		},
	}
}

// decodeSection decodes a settings section over the defaults in target; an empty section keeps them.
func decodeSection(section json.RawMessage, target any) error {
	if len(section) == 0 {
		return nil
	}
	return strict.Decode("", section, target)
}

// PluginNames returns the sorted names of the registered plug-ins.
func PluginNames() []string {
	registry.Lock()
	defer registry.Unlock()
	return slices.Sorted(maps.Keys(registry.plugins))
}

func lookup(name string) (Plugin, bool) {
	registry.Lock()
	defer registry.Unlock()
	p, ok := registry.plugins[name]
	return p, ok
}
