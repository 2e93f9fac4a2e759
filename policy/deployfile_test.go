package policy

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// TestDeployFileNamesEveryFile checks that the deploy file lists exactly the files of this package, and that their
// lines are at most 110 characters long. The number of lines is not limited; the linter bounds the length and the
// complexity of each function.
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
				t.Errorf("%s:%d is %d characters long, want at most 110", file, i+1, len(line))
			}
		}
	}
	slices.Sort(deploy.Policy)
	if !slices.Equal(deploy.Policy, named) {
		t.Errorf("deploy/balancer.toml lists %v, the package has %v", deploy.Policy, named)
	}
}
