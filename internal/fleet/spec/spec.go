// Package spec defines the desired state of a fleet: its instances, the settings that each is started with, the
// settings that each applies while it runs, and the operators' overrides of the list of storage nodes. It contains
// values, validation and comparison only.
package spec

import (
	"fmt"
	"maps"
	"slices"
)

// Spec is the desired state of a fleet.
type Spec struct {
	Instances map[string]*Instance `json:"instances"`         // by name
	Configs   map[string]string    `json:"configs,omitempty"` // configuration texts by digest
}

// Validate returns a *FieldError for the first field that is not valid, or nil. It checks instances in the order of
// their names.
func (s *Spec) Validate() error {
	usedBy := map[string]string{} // instance name by agent and listen address
	for _, name := range slices.Sorted(maps.Keys(s.Instances)) {
		i := s.Instances[name]
		if err := validateInstance(name, i); err != nil {
			return err
		}
		if err := reserveAddress(usedBy, i, "listen", i.Start.Listen); err != nil {
			return err
		}
		if err := reserveAddress(usedBy, i, "object_listen", i.Start.ObjectListen); err != nil {
			return err
		}
	}
	return nil
}

func validateInstance(name string, i *Instance) error {
	switch {
	case i == nil || i.Name != name:
		return &FieldError{Field: name + ".name", Problem: "does not match its key"}
	case i.Agent == "":
		return &FieldError{Field: name + ".agent", Problem: "missing"}
	case i.Start.Listen == "" && i.Start.ObjectListen == "":
		return &FieldError{Field: name + ".listen", Problem: "missing (and so is object_listen)"}
	case i.Start.Config == "":
		return &FieldError{Field: name + ".config", Problem: "missing"}
	case i.Live.MaxInFlight < 0:
		return &FieldError{Field: name + ".max_open", Problem: fmt.Sprintf("%d is negative", i.Live.MaxInFlight)}
	}
	return nil
}

// reserveAddress records an instance's listen address, and returns an error if it is already used on the same agent.
// The same address may be used on different agents, because their machines may use the same loopback addresses.
func reserveAddress(usedBy map[string]string, i *Instance, field, address string) error {
	if address == "" {
		return nil
	}
	key := i.Agent + " " + address
	if other, used := usedBy[key]; used {
		return &FieldError{Field: i.Name + "." + field, Problem: fmt.Sprintf("%s is also %s's", address, other)}
	}
	usedBy[key] = i.Name
	return nil
}
