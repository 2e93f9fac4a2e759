// Package desired derives the desired state of a fleet from an inventory. The desired state includes the texts of the
// configurations that the inventory refers to, so that a revision contains everything that a rollback to it needs.
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

// ReadFile returns the content of a file, as os.ReadFile does.
type ReadFile func(path string) ([]byte, error)

// Load derives the desired state from an inventory file. Instances without an agent are assigned to defaultAgent.
// Errors name the file, the instance and the field.
func Load(path, defaultAgent string) (*spec.Spec, error) {
	list, err := inventory.Load(path)
	if err != nil {
		return nil, err
	}
	s, err := FromInventory(list, defaultAgent, os.ReadFile)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// FromInventory derives the desired state from the instances of an inventory. It reads each configuration once, with
// read. Errors name the instance and the field. An error of spec.Spec.Validate is returned together with the state.
func FromInventory(list []inventory.Instance, defaultAgent string, read ReadFile) (*spec.Spec, error) {
	s := &spec.Spec{
		Instances: map[string]*spec.Instance{},
		Configs:   map[string]string{},
	}
	configs := configReader{read: read, texts: map[string][]byte{}}
	for _, in := range list {
		text, err := configs.load(in.Config)
		if err != nil {
			return nil, fmt.Errorf("%s.config: %w", in.Name, err)
		}
		if _, err := agent.Compose(in.WithoutFleetFields(), text, nil); err != nil {
			return nil, err
		}
		labels, err := inventory.ParseLabels(in.Labels)
		if err != nil {
			return nil, fmt.Errorf("%s.labels: %w", in.Name, err)
		}
		digest := spec.ConfigDigest(text)
		s.Configs[digest] = string(text)
		i := newInstance(&in, digest, labels)
		if i.Agent == "" {
			i.Agent = defaultAgent
		}
		s.Instances[in.Name] = i
	}
	return s, s.Validate()
}

// newInstance returns the desired state of an instance in the inventory.
func newInstance(in *inventory.Instance, configDigest string, labels map[string]string) *spec.Instance {
	i := &spec.Instance{
		Name:    in.Name,
		Agent:   in.Agent,
		Domain:  in.FailureDomain,
		Enabled: in.Enabled,
		Start: spec.StartSettings{
			Config:       configDigest,
			Listen:       in.Listen,
			ObjectListen: in.ObjectListen,
			Cores:        in.Cores,
			MemoryMB:     in.MemoryMB,
			Sockets:      in.Sockets,
		},
		Live: spec.LiveSettings{
			LogLevel:    in.Log,
			Discovery:   in.Discovery,
			MaxInFlight: in.MaxInFlight,
		},
	}
	if in.Groups != "" {
		i.Groups = strings.Split(in.Groups, ",")
	}
	if len(labels) > 0 {
		i.Labels = labels
	}
	return i
}

// configReader reads each configuration file once.
type configReader struct {
	read  ReadFile
	texts map[string][]byte // normalized texts by path
}

func (c *configReader) load(path string) ([]byte, error) {
	if text, loaded := c.texts[path]; loaded {
		return text, nil
	}
	text, err := c.read(path)
	if err != nil {
		return nil, err
	}
	if text, err = normalize(text); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.texts[path] = text
	return text, nil
}

// normalize returns a configuration text in a form that does not depend on its formatting, so that reformatting does
// not change the desired state.
func normalize(text []byte) ([]byte, error) {
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, err
	}
	return json.Marshal(document)
}
