package tprollout

import (
	"encoding/json"
	"fmt"
	"sort"

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
// spread by the hash of their names.
const OrganisationParts = 16

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
	var cfg tpmessage.Config
	fleet, ok := parts[PartFleet]
	if !ok {
		return cfg, Error.New("the part %q is missing", PartFleet)
	}
	if err := json.Unmarshal(fleet, &cfg); err != nil {
		return cfg, Error.New("part %q: %w", PartFleet, err)
	}
	if data, ok := parts[PartModels]; ok {
		var m modelPart
		if err := json.Unmarshal(data, &m); err != nil {
			return cfg, Error.New("part %q: %w", PartModels, err)
		}
		cfg.Models, cfg.EngineTypes, cfg.Policy = m.Models, m.EngineTypes, m.Policy
	}
	for name, data := range parts {
		if name == PartFleet || name == PartModels {
			continue
		}
		var group []tpmessage.Organisation
		if err := json.Unmarshal(data, &group); err != nil {
			return cfg, Error.New("part %q: %w", name, err)
		}
		cfg.Organisations = append(cfg.Organisations, group...)
	}
	sort.Slice(cfg.Organisations, func(i, j int) bool {
		return cfg.Organisations[i].Name < cfg.Organisations[j].Name
	})
	return cfg, nil
}

func organisationPart(name string) string {
	return fmt.Sprintf("organisations-%02d", xxh3.HashString(name)%OrganisationParts)
}
