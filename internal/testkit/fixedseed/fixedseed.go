// Package fixedseed makes property tests draw the same cases in every run, so that their results do not depend on
// chance. The flag -rapid.seed=N selects other cases.
package fixedseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags that FixSeed changes
)

// RunTests runs the tests of a package with a fixed seed. A package's TestMain calls it.
func RunTests(m *testing.M) {
	FixSeed()
	os.Exit(m.Run())
}

// FixSeed fixes the seed unless the command line gives one, and stops rapid from writing files about failed cases.
func FixSeed() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261201")
	}
	_ = flag.Set("rapid.nofailfile", "true")
}
