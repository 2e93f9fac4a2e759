package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// run executes a command line in this process and returns its exit code and output.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	c := rootCommand()
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	if err := c.Execute(); err != nil {
		return exitCode(err), out.String() + err.Error()
	}
	return 0, out.String()
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.csv")
	if err := os.WriteFile(bad, []byte("name,colour\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_CONFIG", "")
	for _, x := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"validate", "../../examples/inventory.yaml", "../../examples/inventory.csv", "../../examples/config.json",
			"../../deploy/object.json", "../../deploy/fleet.toml"}, 0, "inventory.yaml: ok"},
		{[]string{"validate", bad}, exitUsage, "bad.csv:1: colour: unknown key"},
		{[]string{"validate"}, exitUsage, "at least 1 arg"},
		{[]string{"status", "--run-dir", dir}, exitUnavailable, "no agent"},
		{[]string{"stop", "--run-dir", dir}, exitUnavailable, "no agent"},
		{[]string{"agent"}, exitUsage, "inventory"},
		{[]string{"serve"}, exitUsage, "LB_CONFIG: not set"},
		{[]string{"serve", "x"}, exitUsage, ""},
		{[]string{"status", "--colour"}, exitUsage, "unknown flag"},
		{[]string{"frob"}, exitUsage, "unknown command"},
	} {
		if code, out := run(x.args...); code != x.code || !strings.Contains(out, x.text) {
			t.Errorf("%v: exit %d, want %d and output with %q: %s", x.args, code, x.code, x.text, out)
		}
	}
}

func TestJSONForScripts(t *testing.T) {
	code, out := run("validate", "--json", "../../examples/inventory.csv", "none.yaml")
	var got []struct {
		OK        bool
		Error     string
		Instances []struct{ Name string }
	}
	if err := json.Unmarshal([]byte(out[:strings.LastIndex(out, "]")+1]), &got); err != nil || code != exitUsage || len(got) != 2 ||
		!got[0].OK || len(got[0].Instances) != 4 || got[1].OK || got[1].Error == "" {
		t.Errorf("exit %d, want %d, one valid and one faulty file: %v, %s", code, exitUsage, err, out)
	}
}
