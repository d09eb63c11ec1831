package kernel

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"
)

// ErrSettings is wrapped by every error about a process's settings.
var ErrSettings = errors.New("invalid settings")

// Defaults of the settings that every process has.
const (
	DefaultLog         = slog.LevelInfo
	DefaultStopTimeout = 40 * time.Second // longer than the longest request deadline of 30 s
)

// Settings describe one process: its identity, its site and one section per plug-in to run.
type Settings struct {
	Name    string                     `json:"name"`
	Zone    string                     `json:"zone"`
	Site    string                     `json:"site"`
	Log     slog.Level                 `json:"log"`
	Plugins map[string]json.RawMessage `json:"plugins"`
}

// ParseSettings decodes settings; unknown fields and plug-ins are errors that wrap ErrSettings.
func ParseSettings(data []byte) (Settings, error) {
	s := Settings{Log: DefaultLog}
	if err := decodeStrict(data, &s); err != nil {
		return Settings{}, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	var faults []error
	if s.Name == "" {
		faults = append(faults, errors.New(`field "name" is missing`))
	}
	known := Names()
	for name := range s.Plugins {
		if !slices.Contains(known, name) {
			faults = append(faults, fmt.Errorf("plug-in %q does not exist", name))
		}
	}
	if len(faults) > 0 {
		return Settings{}, fmt.Errorf("%w: %w", ErrSettings, errors.Join(faults...))
	}
	return s, nil
}
