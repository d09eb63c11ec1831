package layout

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"teaselloft/internal/core/command"
	"teaselloft/internal/model/fleet"
	"teaselloft/internal/settings/file"

	"github.com/urfave/cli/v3"
)

// Defaults of the flags.
const (
	defaultEntries  = 3
	defaultPlatform = 7379
	defaultPort     = 8080
)

// Port offsets of an entry instance's listeners.
const (
	entryOffset    = 100
	operatorOffset = 200
	controlOffset  = 300
)

func init() {
	command.Register(&cli.Command{
		Name:      "layout",
		Usage:     "write the settings of a local system for a base file and its overlay",
		ArgsUsage: "BASE.json [OVERLAY.json]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "`DIRECTORY` for the settings files", Value: "."},
			&cli.StringFlag{Name: "site", Usage: "`SITE` of the keys", Value: "kartli"},
			&cli.IntFlag{Name: "entries", Usage: "`NUMBER` of entry instances", Value: defaultEntries},
			&cli.IntFlag{Name: "platform", Usage: "`PORT` of the platform stand-in", Value: defaultPlatform},
			&cli.IntFlag{Name: "port", Usage: "`PORT` before the first entry instance's", Value: defaultPort},
			&cli.IntFlag{Name: "run", Usage: "`MILLISECONDS` that an executor runs a request", Value: defaultRun},
			&cli.BoolFlag{Name: "faults", Usage: "let operators cut links, for failure tests"},
		},
		Action: run,
	})
}

// defaultRun is the run time of a request at the endpoint stand-ins, in ms.
const defaultRun = 20

// system is what the settings files are made from.
type system struct {
	fleet    fleet.Fleet
	site     string
	entries  int
	platform int
	port     int
	run      int
	faults   bool
}

func run(_ context.Context, c *cli.Command) error {
	sources, err := readSources(c.Args().Slice())
	if err != nil {
		return err
	}
	config, err := file.Read(sources[0], sources[1:]...)
	if err != nil {
		return err
	}
	s := system{
		fleet:    config.Fleet,
		site:     c.String("site"),
		entries:  c.Int("entries"),
		platform: c.Int("platform"),
		port:     c.Int("port"),
		run:      c.Int("run"),
		faults:   c.Bool("faults"),
	}
	for name, settings := range s.files() {
		if err := write(filepath.Join(c.String("dir"), name), settings); err != nil {
			return err
		}
	}
	return nil
}

func readSources(paths []string) ([]file.Source, error) {
	if len(paths) == 0 {
		return nil, fmt.Errorf("layout takes a base file")
	}
	sources := make([]file.Source, 0, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read configuration: %w", err)
		}
		sources = append(sources, file.Source{Name: path, Data: data})
	}
	return sources, nil
}

func write(path string, settings any) error {
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}
