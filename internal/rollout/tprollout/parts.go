package tprollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Names of objects and parts.
const (
	HeadName   = "config/head"
	PartPrefix = "config/part/"
	PartFleet  = "fleet"
	PartModels = "models"
)

// OrganisationParts is the number of parts over which the organisations are
// spread by the hash of their names. A change sends one part and the head to
// every node. At 5,400 organisations a part of 64 has some 12 KB and the head
// 5 KB; with 16 parts a change cost a node 46 KB, which at 34,000 changes a day
// is all of the 18 KB/s that a node may spend on control.
const OrganisationParts = 64

// Error is the class of errors of this package.
var Error = errs.Class("rollout")

// modelPart is the part of the models and of what changes with them.
type modelPart struct {
	Models      []tpmessage.Model      `json:"models"`
	EngineTypes []tpmessage.EngineType `json:"engineTypes"`
	Policy      tpmessage.Policy       `json:"policy"`
}

// Split cuts a configuration into the JSON of its parts, by name.
func Split(cfg *tpmessage.Config) (map[string][]byte, error) {
	fleet := *cfg
	fleet.Organisations = nil
	fleet.Models, fleet.EngineTypes, fleet.Policy = nil, nil, tpmessage.Policy{}
	models := modelPart{Models: cfg.Models, EngineTypes: cfg.EngineTypes, Policy: cfg.Policy}
	groups := make(map[string][]tpmessage.Organisation)
	for _, o := range cfg.Organisations {
		name := organisationPart(o.Name)
		groups[name] = append(groups[name], o)
	}
	values := map[string]any{PartFleet: fleet, PartModels: models}
	for name, group := range groups {
		values[name] = group
	}
	parts := make(map[string][]byte, len(values))
	for name, v := range values {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, Error.New("part %q: %w", name, err)
		}
		parts[name] = data
	}
	return parts, nil
}

// Join builds a configuration from the JSON of all its parts. Organisations
// are sorted by name.
func Join(parts map[string][]byte) (tpmessage.Config, error) {
	return new(joiner).join(Held{Parts: parts})
}

// joiner builds configurations and keeps the decoded organisations of the last
// one, so that a change decodes only the parts that it wrote.
type joiner struct {
	groups map[string]group // by the name of the part's object
}

// group is the decoded content of one part.
type group []tpmessage.Organisation

func (j *joiner) join(held Held) (tpmessage.Config, error) {
	var cfg tpmessage.Config
	fleet, ok := held.Parts[PartFleet]
	if !ok {
		return cfg, Error.New("the part %q is missing", PartFleet)
	}
	if err := json.Unmarshal(fleet, &cfg); err != nil {
		return cfg, Error.New("part %q: %w", PartFleet, err)
	}
	if data, ok := held.Parts[PartModels]; ok {
		var m modelPart
		if err := json.Unmarshal(data, &m); err != nil {
			return cfg, Error.New("part %q: %w", PartModels, err)
		}
		cfg.Models, cfg.EngineTypes, cfg.Policy = m.Models, m.EngineTypes, m.Policy
	}
	groups := make(map[string]group, len(held.Parts))
	for name, data := range held.Parts {
		if name == PartFleet || name == PartModels {
			continue
		}
		object := held.Head.Parts[name]
		g, ok := j.groups[object]
		if !ok {
			if err := json.Unmarshal(data, &g); err != nil {
				return cfg, Error.New("part %q: %w", name, err)
			}
		}
		if object != "" {
			groups[object] = g
		}
		cfg.Organisations = append(cfg.Organisations, g...)
	}
	j.groups = groups
	slices.SortFunc(cfg.Organisations, func(a, b tpmessage.Organisation) int {
		return strings.Compare(a.Name, b.Name)
	})
	return cfg, nil
}

func organisationPart(name string) string {
	return fmt.Sprintf("organisations-%02d", xxh3.HashString(name)%OrganisationParts)
}
