package file

import "teaselloft/internal/model/fleet"

// baseDocument is the schema of a base file.
type baseDocument struct {
	Version     uint64            `json:"version"`
	Region      string            `json:"region"`
	Zones       []string          `json:"zones"`
	Spare       string            `json:"spare"`
	Teams       []fleet.Team      `json:"teams"`
	Pools       []fleet.Pool      `json:"pools"`
	Services    []fleet.Service   `json:"services"`
	Corrections []fieldCorrection `json:"corrections"`
}

// fieldCorrection is a correction without its source, which decode sets.
type fieldCorrection struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Fleet string `json:"fleet"`
}

// overlayDocument is the schema of an overlay.
type overlayDocument struct {
	Site        string              `json:"site"`
	Version     uint64              `json:"version"`
	Region      string              `json:"region"`
	Zones       []string            `json:"zones"`
	Spare       string              `json:"spare"`
	Teams       []overlayTeam       `json:"teams"`
	Pools       []overlayPool       `json:"pools"`
	Services    []overlayService    `json:"services"`
	Corrections []overlayCorrection `json:"corrections"`
}

type overlayTeam struct {
	fleet.Team
	removal
}

type overlayPool struct {
	Name      string            `json:"name"`
	Fleet     string            `json:"fleet"`
	Instances []overlayInstance `json:"instances"`
	removal
}

type overlayInstance struct {
	fleet.Instance
	removal
}

type overlayService struct {
	fleet.Service
	removal
}

type overlayCorrection struct {
	fieldCorrection
	removal
}

// removal marks an element whose key is removed from the files that the overlay is merged over.
type removal struct {
	Remove bool `json:"remove"`
}

// Names of fields that the merge treats specially.
const (
	fieldSite      = "site"
	fieldRemove    = "remove"
	fieldInstances = "instances"
)

// mergeKeys maps each list that is merged by key to the field that identifies its elements.
var mergeKeys = map[string]string{
	"teams":        "name",
	"pools":        "name",
	"services":     "name",
	"corrections":  "from",
	fieldInstances: "id",
}
