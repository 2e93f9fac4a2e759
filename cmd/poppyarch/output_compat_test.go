package main

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var updateOutputs = flag.Bool("update-outputs", false, "rewrite the expected outputs under testdata; only for commands that no released version has")

// TestJSONOutputIsStable compares the JSON output, which scripts parse, with the bytes that an earlier version printed.
func TestJSONOutputIsStable(t *testing.T) {
	for name, args := range map[string][]string{
		"validate-inventory": {"validate", "--json", "testdata/compat/inventory.yaml"},
		"validate-faulty":    {"validate", "--json", "testdata/compat/faulty.csv"},
		"inventory-check":    {"inventory", "check", "--json", "testdata/compat/nodes.csv"},
		"inventory-diff":     {"inventory", "diff", "--json", "testdata/compat/nodes.csv", "testdata/compat/nodes-changed.csv"},
		"lab-run":            {"lab", "run", "--json", "--runs", "2", "--design", "two", "testdata/compat/lab.toml"},
	} {
		t.Run(name, func(t *testing.T) {
			_, output := run(args...)
			path := filepath.Join("testdata", "compat", name+".json")
			if *updateOutputs {
				if err := os.WriteFile(path, []byte(output), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if output != string(want) {
				t.Errorf("%v: output differs from that of an earlier version: got\n%s\nwant\n%s", args, output, want)
			}
		})
	}
}
