// Package desired turns an inventory into the fleet that it wants, with the texts of the configurations it names: a
// revision holds all it takes to go back to it.
package desired

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/host/agent"
	"poppyarch/internal/host/inventory"
)

// Load reads an inventory. Instances without an agent are that of byDefault.
func Load(path, byDefault string) (*spec.Spec, error) {
	list, err := inventory.Load(path)
	if err != nil {
		return nil, err
	}
	out, err := FromInventory(list, byDefault, os.ReadFile)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return out, nil
}

// FromInventory does it with the instances at hand.
func FromInventory(list []inventory.Instance, byDefault string, read func(string) ([]byte, error)) (*spec.Spec, error) {
	out := &spec.Spec{Instances: map[string]*spec.Instance{}, Configs: map[string]string{}}
	texts := map[string][]byte{}
	for _, in := range list {
		text, ok := texts[in.Config]
		if !ok {
			var err error
			if text, err = read(in.Config); err != nil {
				return nil, fmt.Errorf("%s.config: %w", in.Name, err)
			}
			if text, err = settle(text); err != nil {
				return nil, fmt.Errorf("%s.config: %s: %w", in.Name, in.Config, err)
			}
			texts[in.Config] = text
		}
		bare := in.WithoutFleetFields()
		if _, err := agent.Compose(bare, text, nil); err != nil {
			return nil, err
		}
		labels, err := inventory.ParseLabels(in.Labels)
		if err != nil {
			return nil, fmt.Errorf("%s.labels: %w", in.Name, err)
		}
		d := spec.ConfigDigest(text)
		out.Configs[d] = string(text)
		i := &spec.Instance{Name: in.Name, Agent: in.Agent, Domain: in.FailureDomain, Enabled: in.Enabled,
			Start: spec.StartSettings{Config: d, Listen: in.Listen, ObjectListen: in.ObjectListen, Cores: in.Cores, MemoryMB: in.MemoryMB, Sockets: in.Sockets},
			Live:  spec.LiveSettings{LogLevel: in.Log, Discovery: in.Discovery, MaxInFlight: in.MaxInFlight}}
		if in.Groups != "" {
			i.Groups = strings.Split(in.Groups, ",")
		}
		if len(labels) > 0 {
			i.Labels = labels
		}
		if i.Agent == "" {
			i.Agent = byDefault
		}
		out.Instances[in.Name] = i
	}
	return out, out.Validate()
}

// settle brings a configuration's text into one form, so that another layout is no change.
func settle(text []byte) ([]byte, error) {
	var doc map[string]any
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, err
	}
	return json.Marshal(doc)
}
