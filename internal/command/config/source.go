package config

import (
	"fmt"
	"os"

	"teaselloft/internal/settings/file"
)

// readSources reads the base file and the overlays from disk.
func readSources(paths []string) (file.Source, []file.Source, error) {
	sources := make([]file.Source, len(paths))
	for i, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return file.Source{}, nil, fmt.Errorf("read configuration: %w", err)
		}
		sources[i] = file.Source{Name: path, Data: data}
	}
	return sources[0], sources[1:], nil
}

// readConfig reads and merges the files of one site.
func readConfig(paths []string) (file.Config, error) {
	base, overlays, err := readSources(paths)
	if err != nil {
		return file.Config{}, err
	}
	c, err := file.Read(base, overlays...)
	if err != nil {
		return file.Config{}, fmt.Errorf("invalid configuration:\n%w", err)
	}
	return c, nil
}
