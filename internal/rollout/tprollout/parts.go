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
)

// OrganisationParts is the number of parts over which the organisations are
// spread by the hash of their names.
const OrganisationParts = 16

// Error is the class of errors of this package.
var Error = errs.Class("rollout")

// Split cuts a configuration into the JSON of its parts, by name.
func Split(cfg *tpmessage.Config) (map[string][]byte, error) {
	fleet := *cfg
	fleet.Organisations = nil
	groups := make(map[string][]tpmessage.Organisation)
	for _, o := range cfg.Organisations {
		name := organisationPart(o.Name)
		groups[name] = append(groups[name], o)
	}
	parts := make(map[string][]byte, len(groups)+1)
	data, err := json.Marshal(fleet)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	parts[PartFleet] = data
	for name, group := range groups {
		data, err := json.Marshal(group)
		if err != nil {
			return nil, Error.Wrap(err)
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
	for name, data := range parts {
		if name == PartFleet {
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
