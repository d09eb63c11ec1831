package file

import "teaselloft/internal/model/fleet"

// baseDocument is the form of a base file.
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

// fieldCorrection is a correction without its source, which the reader sets.
type fieldCorrection struct {
	From  string `json:"from"`
	To    string `json:"to"`
	Fleet string `json:"fleet"`
}

// overlayDocument is the form of an overlay.
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

// removal deletes the element of the same key from the files below.
type removal struct {
	Remove bool `json:"remove"`
}

// Fields of the files that the merge refers to.
const (
	fieldSite      = "site"
	fieldRemove    = "remove"
	fieldInstances = "instances"
)

// keys names the field that identifies an element of each list that merges by key.
var keys = map[string]string{
	"teams":        "name",
	"pools":        "name",
	"services":     "name",
	"corrections":  "from",
	fieldInstances: "id",
}
