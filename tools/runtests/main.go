// Command runtests runs the tests of the given packages, or of all packages, with the race detector, and every
// benchmark once. Tests listed in KNOWN-RED.txt are skipped and printed. It fails if the list is malformed, too long or
// names a test that does not exist.
package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"

	"poppyarch/internal/testkit/knownred"
)

// knownRedFile lists the tests that are known to fail.
const knownRedFile = "KNOWN-RED.txt"

func main() {
	patterns := os.Args[1:]
	if len(patterns) == 0 {
		patterns = []string{"./..."}
	}
	if err := run(patterns); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(1)
	}
}

func run(patterns []string) error {
	knownRed, err := readKnownRed()
	if err != nil {
		return err
	}
	packages, err := commandOutput("go", append([]string{"list"}, patterns...)...)
	if err != nil {
		return err
	}
	err = errors.Join(testPackages(strings.Fields(packages), knownRed), runBenchmarks(patterns))
	for _, entry := range knownRed {
		fmt.Println("KNOWN RED, skipped:", entry)
	}
	return err
}

// testPackages runs all tests except the listed ones. Packages with listed tests are tested one by one.
func testPackages(packages []string, knownRed []knownred.Entry) error {
	skipped := knownred.TestsByPackage(knownRed)
	var unlisted []string // packages without listed tests
	var failed error
	for _, p := range packages {
		if tests := skipped[p]; tests != nil {
			failed = errors.Join(failed, runTests([]string{p}, "-skip", "^("+strings.Join(tests, "|")+")$"))
		} else {
			unlisted = append(unlisted, p)
		}
	}
	if len(unlisted) > 0 {
		failed = errors.Join(failed, runTests(unlisted))
	}
	return failed
}

// readKnownRed returns the listed tests and checks that each exists.
func readKnownRed() ([]knownred.Entry, error) {
	text, err := os.ReadFile(knownRedFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	entries, err := knownred.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", knownRedFile, err)
	}
	for _, entry := range entries {
		names, err := commandOutput("go", "test", "-list", "^"+entry.Test+"$", entry.Package)
		if err != nil {
			return nil, fmt.Errorf("%s: %s: %w", knownRedFile, entry.Package, err)
		}
		if !slices.Contains(strings.Fields(names), entry.Test) {
			return nil, fmt.Errorf("%s: %s has no test %s", knownRedFile, entry.Package, entry.Test)
		}
	}
	return entries, nil
}

// runTests runs the tests of packages with the race detector.
func runTests(packages []string, flags ...string) error {
	args := append([]string{"test", "-race", "-timeout", "5m"}, flags...)
	cmd := exec.Command("go", append(args, packages...)...)
	cmd.Stdout = os.Stdout
	cmd.Stderr = os.Stderr
	return cmd.Run()
}

// runBenchmarks runs every benchmark once at its smallest size to check that it still works. The output is printed only
// if a benchmark fails, because the results of a single run are not meaningful.
func runBenchmarks(patterns []string) error {
	args := []string{"test", "-short", "-run", "^$", "-bench", ".", "-benchtime", "1x", "-timeout", "5m"}
	out, err := exec.Command("go", append(args, patterns...)...).CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s", out)
		return fmt.Errorf("benchmarks: %w", err)
	}
	fmt.Println("benchmarks: each ran once")
	return nil
}

// commandOutput runs a command and returns its standard output.
func commandOutput(name string, args ...string) (string, error) {
	cmd := exec.Command(name, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	return string(out), err
}
