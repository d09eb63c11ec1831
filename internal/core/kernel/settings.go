package kernel

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"time"

	"teaselloft/internal/core/strict"
)

// ErrSettings is wrapped by every error about invalid settings.
var ErrSettings = errors.New("invalid settings")

// Defaults that apply to every process.
const (
	DefaultLogLevel    = slog.LevelInfo
	DefaultStopTimeout = 40 * time.Second // exceeds the longest request deadline, 30 s
)

// Settings configure one process: its identity, its site and a section for each plug-in to run.
type Settings struct {
	Name    string                     `json:"name"`    // of the process; log lines carry it as "entry"
	Zone    string                     `json:"zone"`    // availability zone of the machine
	Site    string                     `json:"site"`    // that the process belongs to
	Log     slog.Level                 `json:"log"`     // minimum level of log lines
	Plugins map[string]json.RawMessage `json:"plugins"` // settings section of each plug-in by its name
}

// ParseSettings decodes and validates settings; its error wraps ErrSettings and a *strict.FaultsError with every fault.
func ParseSettings(data []byte) (Settings, error) {
	root, faults := strict.Parse("", data)
	faults = append(faults, strict.Check(root, reflect.TypeFor[Settings](), "")...)
	if _, ok := root.Value.(strict.Object); ok {
		faults = append(faults, checkName(root)...)
		faults = append(faults, checkPlugins(root.Field("plugins"))...)
	}
	if err := faults.Sorted().Err(); err != nil {
		return Settings{}, fmt.Errorf("%w:\n%w", ErrSettings, err)
	}
	s := Settings{Log: DefaultLogLevel}
	if err := strict.DecodeNode(root, &s); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	return s, nil
}

// checkName reports a missing or empty name; strict.Check reports a name that is not a string.
func checkName(root strict.Node) strict.Faults {
	name := root.Field("name")
	if _, ok := name.Value.(strict.String); name.Exists() && (!ok || name.Text() != "") {
		return nil
	}
	return strict.Faults{{At: root.At, Field: "name", Message: "must not be empty"}}
}

// checkPlugins validates each section against the settings type of its plug-in.
func checkPlugins(plugins strict.Node) strict.Faults {
	var faults strict.Faults
	object, _ := plugins.Value.(strict.Object)
	for _, m := range object.Members {
		field := strict.FieldPath("plugins", m.Name)
		p, ok := lookup(m.Name)
		if !ok {
			faults = append(faults, strict.Fault{At: m.At, Field: field, Message: "plug-in does not exist"})
			continue
		}
		faults = append(faults, p.Check(m.Value, field)...)
	}
	return faults
}
