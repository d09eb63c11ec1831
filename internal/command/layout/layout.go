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

// Default values of the flags.
const (
	defaultEntries      = 3
	defaultPlatformPort = 7379
	defaultBasePort     = 8080
)

// Offsets from the base port to the ports of the entry instances' link listeners, their operator listeners
// and the endpoint stand-ins' control listeners.
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
			&cli.IntFlag{Name: "platform", Usage: "`PORT` of the platform stand-in", Value: defaultPlatformPort},
			&cli.IntFlag{Name: "port", Usage: "`PORT` before the first entry instance's", Value: defaultBasePort},
			&cli.IntFlag{Name: "run", Usage: "`MILLISECONDS` that an executor runs a request", Value: defaultRunTime},
			&cli.BoolFlag{Name: "faults", Usage: "let operators cut links, for failure tests"},
		},
		Action: run,
	})
}

// defaultRunTime is the run time of a request at the endpoint stand-ins, in ms.
const defaultRunTime = 20

// system holds the parameters from which the settings files are generated.
type system struct {
	fleet        fleet.Fleet
	site         string
	entries      int
	platformPort int
	basePort     int
	runTime      int // of a request at the endpoint stand-ins, in ms
	faults       bool
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
		fleet:        config.Fleet,
		site:         c.String("site"),
		entries:      c.Int("entries"),
		platformPort: c.Int("platform"),
		basePort:     c.Int("port"),
		runTime:      c.Int("run"),
		faults:       c.Bool("faults"),
	}
	for name, settings := range s.files() {
		if err := writeSettings(filepath.Join(c.String("dir"), name), settings); err != nil {
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

func writeSettings(path string, settings any) error {
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	return os.WriteFile(path, append(data, '\n'), 0o600)
}
