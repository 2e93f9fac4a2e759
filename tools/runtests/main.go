// Command runtests runs the tests of the packages that it is given, or of all, with the race detector. Tests that KNOWN-RED.txt lists are passed over and printed; a list
// that is malformed, too long or names a test that does not exist is a failure.
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

const list = "KNOWN-RED.txt"

func main() {
	packages := os.Args[1:]
	if len(packages) == 0 {
		packages = []string{"./..."}
	}
	if err := run(packages); err != nil {
		fmt.Fprintln(os.Stderr, "runtests:", err)
		os.Exit(1)
	}
}

func run(patterns []string) error {
	known, err := read()
	if err != nil {
		return err
	}
	found, err := output("go", append([]string{"list"}, patterns...)...)
	if err != nil {
		return err
	}
	skipped := knownred.ByPackage(known)
	var whole []string
	var failed error
	for _, p := range strings.Fields(found) {
		if names := skipped[p]; names != nil {
			failed = errors.Join(failed, test([]string{p}, "-skip", "^("+strings.Join(names, "|")+")$"))
		} else {
			whole = append(whole, p)
		}
	}
	if len(whole) > 0 {
		failed = errors.Join(failed, test(whole))
	}
	failed = errors.Join(failed, benchmarks(patterns))
	for _, t := range known {
		fmt.Println("KNOWN RED, passed over:", t)
	}
	return failed
}

// read returns the listed tests, each of which exists.
func read() ([]knownred.Test, error) {
	text, err := os.ReadFile(list)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	known, err := knownred.Parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", list, err)
	}
	for _, t := range known {
		names, err := output("go", "test", "-list", "^"+t.Name+"$", t.Package)
		if err != nil {
			return nil, fmt.Errorf("%s: %s: %w", list, t.Package, err)
		}
		if !slices.Contains(strings.Fields(names), t.Name) {
			return nil, fmt.Errorf("%s: %s has no test %s", list, t.Package, t.Name)
		}
	}
	return known, nil
}

func test(packages []string, flags ...string) error {
	args := append([]string{"test", "-race", "-timeout", "5m"}, flags...)
	cmd := exec.Command("go", append(args, packages...)...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	return cmd.Run()
}

// benchmarks runs every benchmark once at its smallest size, so that none stops working unnoticed.
func benchmarks(patterns []string) error {
	args := []string{"test", "-short", "-run", "^$", "-bench", ".", "-benchtime", "1x", "-timeout", "5m"}
	cmd := exec.Command("go", append(args, patterns...)...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		_, _ = os.Stderr.Write(out)
		return fmt.Errorf("benchmarks: %w", err)
	}
	fmt.Println("benchmarks: each ran once")
	return nil
}

func output(name string, args ...string) (string, error) {
	cmd := exec.Command(name, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	return string(out), err
}
