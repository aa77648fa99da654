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

// Object names on the platform and part names of a configuration.
const (
	HeadName   = "config/head"
	PartPrefix = "config/part/"
	PartFleet  = "fleet"
	PartModels = "models"
)

// OrganisationParts is the number of parts that contain the organisations,
// assigned by the hash of their names. A change of an organisation sends one
// part and the head to every node. With 5,400 organisations, 34,000 changes a
// day and 8 nodes, a node reads 23.8 KB/s with 16 parts and 10.1 KB/s with 64,
// before compression. The limit for control traffic is 18 KB/s per node. More
// parts make the head larger.
const OrganisationParts = 64

// Error is the class of errors of this package.
var Error = errs.Class("rollout")

// modelPart is the content of PartModels: the models and the settings that
// change with them.
type modelPart struct {
	Models      []tpmessage.Model      `json:"models"`
	EngineTypes []tpmessage.EngineType `json:"engineTypes"`
	Policy      tpmessage.Policy       `json:"policy"`
}

// Split returns the JSON of a configuration's parts, by part name.
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

// joiner builds configurations. It caches the decoded parts of the last one, so
// that after a change only the changed parts are decoded. Successive
// configurations share the decoded values, which must not be modified.
type joiner struct {
	decoded map[string]any // by name of the part's object
}

func (j *joiner) join(held Held) (tpmessage.Config, error) {
	var cfg tpmessage.Config
	if _, ok := held.Parts[PartFleet]; !ok {
		return cfg, Error.New("the part %q is missing", PartFleet)
	}
	decoded := make(map[string]any, len(held.Parts))
	var models modelPart
	var organisations []tpmessage.Organisation
	for name, data := range held.Parts {
		object := held.Head.Parts[name]
		var err error
		switch name {
		case PartFleet:
			cfg, err = decodePart[tpmessage.Config](j, decoded, object, data)
		case PartModels:
			models, err = decodePart[modelPart](j, decoded, object, data)
		default:
			var group []tpmessage.Organisation
			group, err = decodePart[[]tpmessage.Organisation](j, decoded, object, data)
			organisations = append(organisations, group...)
		}
		if err != nil {
			return cfg, Error.New("part %q: %w", name, err)
		}
	}
	j.decoded = decoded
	cfg.Models, cfg.EngineTypes, cfg.Policy = models.Models, models.EngineTypes, models.Policy
	slices.SortFunc(organisations, func(a, b tpmessage.Organisation) int {
		return strings.Compare(a.Name, b.Name)
	})
	cfg.Organisations = organisations
	return cfg, nil
}

// decodePart returns the value of a part, from the cache of j if possible. It
// stores the value in decoded if the part has an object name.
func decodePart[T any](j *joiner, decoded map[string]any, object string, data []byte) (T, error) {
	v, ok := j.decoded[object].(T)
	if !ok {
		if err := json.Unmarshal(data, &v); err != nil {
			return v, err
		}
	}
	if object != "" {
		decoded[object] = v
	}
	return v, nil
}

func organisationPart(name string) string {
	return fmt.Sprintf("organisations-%02d", xxh3.HashString(name)%OrganisationParts)
}
