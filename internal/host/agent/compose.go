package agent

import (
	"encoding/json"
	"fmt"
	"os"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/host/inventory"
)

// ComposeFile returns the configuration of an instance, composed from the configuration file that the instance names.
func ComposeFile(instance inventory.Instance) ([]byte, error) {
	text, err := os.ReadFile(instance.Config)
	if err != nil {
		return nil, err
	}
	return Compose(instance, text, nil)
}

// Compose returns the configuration of an instance. text is the content of the configuration file that the instance
// names; settings of the inventory override those in text. control configures the control endpoint, unless it is nil.
// Compose returns an error if the result is not a valid configuration.
func Compose(instance inventory.Instance, text []byte, control *config.ControlEndpoint) ([]byte, error) {
	doc, err := parseObject(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", instance.Config, err)
	}
	for _, err := range []error{
		composeTopLevel(doc, instance),
		composeLimits(doc, instance),
		composeObjectFrontend(doc, instance),
	} {
		if err != nil {
			return nil, fmt.Errorf("%s: %w", instance.Config, err)
		}
	}
	if control != nil {
		if err := doc.set("control", control); err != nil {
			return nil, err
		}
	}
	out, err := json.Marshal(doc)
	if err != nil {
		return nil, err
	}
	noEnvironment := func(string) string { return "" }
	if _, err := config.Parse(out, noEnvironment); err != nil {
		return nil, fmt.Errorf("%s: %s: %w", instance.Name, instance.Config, err)
	}
	return out, nil
}

func composeTopLevel(doc object, instance inventory.Instance) error {
	delete(doc, "seed") // each start of the broker draws a new seed
	if instance.Listen == "" {
		delete(doc, "listen")
	}
	return doc.setAll(map[string]any{
		"name":      instance.Name,
		"listen":    orNil(instance.Listen),
		"discovery": orNil(instance.Discovery),
		"log":       orNil(instance.Log),
	})
}

func composeLimits(doc object, instance inventory.Instance) error {
	return doc.update("limits", map[string]any{
		"cores":     orNil(instance.Cores),
		"memory_mb": orNil(instance.MemoryMB),
		"sockets":   orNil(instance.Sockets),
	})
}

// composeObjectFrontend sets the address of the object frontend. It removes the object frontend of an instance that has
// no address for it, since otherwise all such instances would use the address in the file.
func composeObjectFrontend(doc object, instance inventory.Instance) error {
	if instance.ObjectListen == "" {
		delete(doc, "object")
		return nil
	}
	return doc.update("object", map[string]any{"listen": instance.ObjectListen})
}

// object is a JSON object, of which only some members are decoded.
type object map[string]json.RawMessage

func parseObject(text []byte) (object, error) {
	o := object{}
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, err
	}
	return o, nil
}

// orNil returns v, or nil if v is the zero value of its type, which means that it is not set.
func orNil[T comparable](v T) any {
	var zero T
	if v == zero {
		return nil
	}
	return v
}

// set encodes v as the member with a key.
func (o object) set(key string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	o[key] = text
	return nil
}

// setAll sets the members whose value is not nil.
func (o object) setAll(members map[string]any) error {
	for key, v := range members {
		if v == nil {
			continue
		}
		if err := o.set(key, v); err != nil {
			return err
		}
	}
	return nil
}

// update sets members of the nested object with a key. It creates the nested object if it is missing, but does not add
// an empty one.
func (o object) update(key string, members map[string]any) error {
	nested := object{}
	if o[key] != nil {
		var err error
		if nested, err = parseObject(o[key]); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	if err := nested.setAll(members); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if len(nested) == 0 {
		return nil
	}
	return o.set(key, nested)
}
