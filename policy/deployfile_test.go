package policy

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// TestDeployFileNamesEveryFile holds the module to the deploy file's list of it, and its lines to a readable width. The
// operators' limit on the module's lines was withdrawn; the linter bounds the length and the complexity of each function.
func TestDeployFileNamesEveryFile(t *testing.T) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Policy []string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var named []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		named = append(named, "policy/"+file)
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			if len(line) > 110 {
				t.Errorf("%s:%d has %d characters, want at most 110", file, i+1, len(line))
			}
		}
	}
	slices.Sort(deploy.Policy)
	if !slices.Equal(deploy.Policy, named) {
		t.Errorf("deploy/balancer.toml names %v, the module is %v", deploy.Policy, named)
	}
}
