package file

import (
	"fmt"
	"reflect"
	"strings"

	"teaselloft/internal/core/strict"
	"teaselloft/internal/model/fleet"
)

// Source is the name and content of a configuration file.
type Source struct {
	Name string
	Data []byte
}

// Config is a merged configuration with the positions of its values.
type Config struct {
	Fleet fleet.Fleet
	Site  string // site of the overlays, empty without overlays
	root  strict.Node
}

// Origin returns the position of the value at a field path such as services[flag-calendar].slots.
func (c Config) Origin(field string) (strict.Position, bool) {
	n, ok := findField(c.root, field)
	return n.At, ok
}

// Read merges the overlays of one site over a base file; the error is a *strict.FaultsError with every fault.
func Read(base Source, overlays ...Source) (Config, error) {
	root, faults := parse(base, reflect.TypeFor[baseDocument]())
	complete := root.Exists()
	sites := map[string]string{base.Name: fleet.SourceBase}
	site := ""
	for _, o := range overlays {
		over, found := parse(o, reflect.TypeFor[overlayDocument]())
		faults = append(faults, found...)
		if !over.Exists() {
			complete = false
			continue
		}
		faults = append(faults, checkSite(over, site)...)
		site = over.Field(fieldSite).Text()
		sites[o.Name] = site
		root, found = merge(root, over)
		faults = append(faults, found...)
	}
	if complete {
		faults = append(faults, validate(root)...)
	}
	if err := faults.Sorted().Err(); err != nil {
		return Config{}, err
	}
	f, err := decode(root, sites)
	return Config{Fleet: f, Site: site, root: root}, err
}

// OverlaySite returns the site that an overlay names, or an empty string.
func OverlaySite(overlay Source) string {
	root, _ := strict.Parse(overlay.Name, overlay.Data)
	return root.Field(fieldSite).Text()
}

// parse returns the root node of a file, or the zero Node if the file cannot be merged.
func parse(s Source, t reflect.Type) (strict.Node, strict.Faults) {
	root, faults := strict.Parse(s.Name, s.Data)
	faults = append(faults, strict.Check(root, t, "")...)
	if _, ok := root.Value.(strict.Object); !ok {
		return strict.Node{}, faults
	}
	faults = append(faults, checkNonNegative(root, "")...)
	return root, append(faults, checkKeys(root, "")...)
}

// checkNonNegative reports negative numbers, which no field of a configuration allows.
func checkNonNegative(n strict.Node, path string) strict.Faults {
	var faults strict.Faults
	switch v := n.Value.(type) {
	case strict.Object:
		for _, m := range v.Members {
			faults = append(faults, checkNonNegative(m.Value, strict.FieldPath(path, m.Name))...)
		}
	case strict.Array:
		for i, item := range v.Items {
			faults = append(faults, checkNonNegative(item, strict.IndexPath(path, i))...)
		}
	case strict.Number:
		if strings.HasPrefix(v.Text, "-") && path != "version" {
			faults = append(faults, strict.Fault{At: n.At, Field: path, Message: "must not be negative"})
		}
	case nil, strict.String, strict.Bool, strict.Null:
	default:
		panic(fmt.Sprintf("unhandled JSON value %T", v))
	}
	return faults
}

// checkSite reports an overlay that names no site or another site than the preceding overlay.
func checkSite(over strict.Node, previous string) strict.Faults {
	site := over.Field(fieldSite)
	switch name := site.Text(); {
	case !site.Exists() || name == "" && isString(site):
		return strict.Faults{{At: over.At, Field: fieldSite, Message: "an overlay must name its site"}}
	case previous != "" && name != previous:
		return strict.Faults{{At: site.At, Field: fieldSite, Message: fmt.Sprintf("the preceding overlay is for site %q", previous)}}
	}
	return nil
}

func isString(n strict.Node) bool {
	_, ok := n.Value.(strict.String)
	return ok
}

// decode returns the fleet of a valid document; sites maps file names to the sources of corrections.
func decode(root strict.Node, sites map[string]string) (fleet.Fleet, error) {
	var f fleet.Fleet
	if err := strict.DecodeNode(withoutField(root, fieldSite), &f); err != nil {
		return fleet.Fleet{}, err
	}
	corrections := make([]fleet.Correction, 0, len(f.Corrections))
	for i, c := range root.Field("corrections").Items() {
		corrections = append(corrections, f.Corrections[i].WithSource(sites[c.Field("to").At.File]))
	}
	return f.WithCorrections(corrections), nil
}
