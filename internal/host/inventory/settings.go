package inventory

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
)

const (
	maxNameBytes = 64
	maxCores     = 1024
)

// setters check the text of a setting and store it in an instance. A key without a setter is unknown.
var setters = map[string]func(*Instance, string) error{
	"config":        func(i *Instance, s string) error { i.Config = s; return nil },
	"listen":        func(i *Instance, s string) error { i.Listen = s; return checkAddress(s) },
	"object_listen": func(i *Instance, s string) error { i.ObjectListen = s; return checkAddress(s) },
	"discovery":     func(i *Instance, s string) error { i.Discovery = s; return checkAddress(s) },
	"log":           func(i *Instance, s string) error { i.Log = s; return checkLogLevel(s) },
	"cores":         func(i *Instance, s string) error { return parseCores(s, &i.Cores) },
	"memory_mb":     func(i *Instance, s string) error { return parsePositive(s, &i.MemoryMB) },
	"sockets":       func(i *Instance, s string) error { return parsePositive(s, &i.Sockets) },
	"enabled":       func(i *Instance, s string) error { return parseBool(s, &i.Enabled) },
	"agent":         func(i *Instance, s string) error { i.Agent = s; return checkName(s) },
	"domain":        func(i *Instance, s string) error { i.FailureDomain = s; return checkName(s) },
	"labels":        func(i *Instance, s string) error { i.Labels = s; _, err := ParseLabels(s); return err },
	"max_open":      func(i *Instance, s string) error { return parsePositive(s, &i.MaxInFlight) },
}

// checkKey returns an error if a key is unknown. The error names the key with its prefix.
func checkKey(path string, line int, prefix, key string) error {
	if _, ok := setters[key]; !ok {
		return &Error{File: path, Line: line, Key: prefix + key, Err: ErrUnknownKey}
	}
	return nil
}

// ParseLabels parses KEY=VALUE pairs that are separated by commas.
func ParseLabels(s string) (map[string]string, error) {
	out := map[string]string{}
	for part := range strings.SplitSeq(s, ",") {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		key, v, ok := strings.Cut(part, "=")
		if !ok || !validName(key) {
			return nil, fmt.Errorf("%q is not KEY=VALUE", part)
		}
		if _, repeated := out[key]; repeated {
			return nil, fmt.Errorf("label %s is given twice", key)
		}
		out[key] = v
	}
	return out, nil
}

func checkLogLevel(s string) error {
	switch s {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fmt.Errorf("%q is none of debug, info, warn, error", s)
}

func checkName(s string) error {
	if !validName(s) {
		return fmt.Errorf("%q is not a name of up to 64 letters, digits, '-', '_' and '.'", s)
	}
	return nil
}

// validName reports whether a name can be used in file names and in commands.
func validName(s string) bool {
	for i, r := range s {
		alphanumeric := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alphanumeric && (i == 0 || !strings.ContainsRune("-_.", r)) {
			return false
		}
	}
	return s != "" && len(s) <= maxNameBytes
}

func checkAddress(s string) error {
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return fmt.Errorf("%q is not HOST:PORT", s)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q has no numeric port", s)
	}
	return nil
}

func parseCores(s string, to *float64) error {
	cores, err := strconv.ParseFloat(s, 64)
	if err != nil || cores <= 0 || cores > maxCores {
		return fmt.Errorf("%q is not a number above 0", s)
	}
	*to = cores
	return nil
}

func parsePositive(s string, to *int) error {
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 {
		return fmt.Errorf("%q is not a whole number above 0", s)
	}
	*to = n
	return nil
}

func parseBool(s string, to *bool) error {
	b, err := strconv.ParseBool(s)
	if err != nil {
		return fmt.Errorf("%q is neither true nor false", s)
	}
	*to = b
	return nil
}

func sortedKeys(m map[string]value) []string { return slices.Sorted(maps.Keys(m)) }
