package desired

import (
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"strings"
	"testing"

	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/host/inventory"
)

// countingReadFile returns a ReadFile that serves the given contents and counts the reads of each file.
func countingReadFile(contents map[string]string, reads map[string]int) ReadFile {
	return func(path string) ([]byte, error) {
		reads[path]++
		text, exists := contents[path]
		if !exists {
			return nil, fs.ErrNotExist
		}
		return []byte(text), nil
	}
}

// exampleConfig returns a valid configuration, indented and compact.
func exampleConfig(t *testing.T) (indented, compact string) {
	t.Helper()
	text, err := os.ReadFile("../../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := json.Compact(&b, text); err != nil {
		t.Fatal(err)
	}
	return string(text), b.String()
}

func TestFromInventoryReadsEachConfigurationOnceAndFillsInDefaults(t *testing.T) {
	reads := map[string]int{}
	indented, compact := exampleConfig(t)
	read := countingReadFile(map[string]string{"a.json": indented, "b.json": compact}, reads)
	list := []inventory.Instance{
		{Name: "n1", Config: "a.json", Listen: "127.0.0.1:7001", Groups: "g1,g2", Labels: "tier=gold", Enabled: true},
		{Name: "n2", Config: "a.json", Listen: "127.0.0.1:7002", Agent: "a2"},
		{Name: "n3", Config: "b.json", Listen: "127.0.0.1:7003"},
	}
	s, err := FromInventory(list, "a1", read)
	if err != nil {
		t.Fatal(err)
	}
	if reads["a.json"] != 1 || reads["b.json"] != 1 {
		t.Errorf("files were read %v times, want once each", reads)
	}
	if len(s.Configs) != 1 || s.Instances["n1"].Start.Config != s.Instances["n3"].Start.Config {
		t.Errorf("one configuration in two layouts gives %d texts, want 1: %v", len(s.Configs), s.Configs)
	}
	n1 := s.Instances["n1"]
	if n1.Agent != "a1" || !n1.Enabled || len(n1.Groups) != 2 || n1.Labels["tier"] != "gold" {
		t.Errorf("n1 is %+v, want it enabled on agent a1 with two groups and tier=gold", n1)
	}
	if n2 := s.Instances["n2"]; n2.Agent != "a2" || n2.Groups != nil || n2.Labels != nil {
		t.Errorf("n2 is %+v, want it on agent a2 without groups and labels", n2)
	}
}

func TestFromInventoryErrorNamesInstanceAndField(t *testing.T) {
	valid, _ := exampleConfig(t)
	read := countingReadFile(map[string]string{"a.json": valid, "bad.json": "[]"}, map[string]int{})
	_, err := FromInventory([]inventory.Instance{{Name: "n1", Config: "none.json"}}, "a1", read)
	if !errors.Is(err, fs.ErrNotExist) || !strings.HasPrefix(err.Error(), "n1.config: ") {
		t.Errorf("missing configuration file gives error %v, want n1.config: ... file does not exist", err)
	}
	_, err = FromInventory([]inventory.Instance{{Name: "n1", Config: "bad.json"}}, "a1", read)
	if err == nil || !strings.HasPrefix(err.Error(), "n1.config: bad.json: ") {
		t.Errorf("configuration that is not a JSON object gives error %v, want n1.config: bad.json: ...", err)
	}
	_, err = FromInventory([]inventory.Instance{{Name: "n1", Config: "a.json", Listen: "127.0.0.1:7001"}}, "", read)
	var fieldError *spec.FieldError
	if !errors.As(err, &fieldError) || fieldError.Field != "n1.agent" {
		t.Errorf("instance without an agent gives error %v, want a *spec.FieldError for n1.agent", err)
	}
}
