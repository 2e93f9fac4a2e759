package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoadReadsFileAndNamesLineAndKeyOfErrors(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.toml")
	for _, test := range []struct{ text, want string }{
		{"[strategy]\nsoak = \"2s\"\nbatch = \"10%\"\n[agent]\nrun_dir = \"run\"\n", ""},
		{"[strategy]\nsoak = \"soon\"\n", "fleet.toml:2: strategy.soak: "},
		{"[strategy]\n\nspeed = 3\n", "fleet.toml:3: strategy.speed: unknown key"},
		{"[strategy]\nbatch = \"120%\"\n", "fleet.toml:2: strategy.batch: "},
		{"[strategy]\non_failure = \"panic\"\n", "strategy.on_failure: "},
		{"[manager]\nlisten = \"7700\"\n", "manager.listen: "},
		{"[manager\n", "fleet.toml:1: "},
		{"[manager]\nrevisions = \"x\"\n", "fleet.toml:2: manager.revisions"},
	} {
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := Load(path, "/base")
		if test.want == "" {
			if err != nil || f.Strategy.RolloutStrategy().SoakTime != 2_000_000 || f.Strategy.Batch.Of(50) != 5 ||
				f.Agent.RunDir != filepath.Join(dir, "run") || f.Manager.JournalDir != "/base/manager" {
				t.Errorf("settings are %+v, error %v", f, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("Load of %q returned error %v, want one with %q", test.text, err, test.want)
		}
	}
}
