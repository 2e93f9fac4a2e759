// Package fixedseed has property tests draw the same cases in every run, so that a verdict never depends on luck.
// -rapid.seed=N tries others.
package fixedseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// Main is a package's TestMain.
func Main(m *testing.M) {
	Set()
	os.Exit(m.Run())
}

// Set fixes the seed unless the command line gives one.
func Set() {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261201")
	}
	_ = flag.Set("rapid.nofailfile", "true")
}
