package kernel

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// Plugin is a registered part of a process.
type Plugin struct {
	Name  string
	Build func(h *Host, section json.RawMessage) ([]Duty, error)
}

var table = struct {
	sync.Mutex
	plugins map[string]Plugin
}{plugins: map[string]Plugin{}}

// Register adds a plug-in whose section is decoded over defaults; it panics on a name used twice.
func Register[S any](name string, defaults S, build func(*Host, S) ([]Duty, error)) {
	table.Lock()
	defer table.Unlock()
	if _, ok := table.plugins[name]; ok {
		panic(fmt.Sprintf("plug-in %q is registered twice", name))
	}
	table.plugins[name] = Plugin{Name: name, Build: func(h *Host, section json.RawMessage) ([]Duty, error) {
		settings := defaults
		if err := decodeStrict(section, &settings); err != nil {
			return nil, fmt.Errorf("settings of plug-in %q: %w", name, err)
		}
		return build(h, settings)
	}}
}

// Names returns the sorted names of the registered plug-ins.
func Names() []string {
	table.Lock()
	defer table.Unlock()
	return slices.Sorted(maps.Keys(table.plugins))
}

func lookup(name string) (Plugin, bool) {
	table.Lock()
	defer table.Unlock()
	p, ok := table.plugins[name]
	return p, ok
}

func decodeStrict(data []byte, target any) error {
	if len(data) == 0 {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after the settings")
	}
	return nil
}
