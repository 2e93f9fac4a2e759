package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"strings"
)

// parseCSV reads a header and a row for each instance. An empty cell sets nothing.
func parseCSV(path string, text []byte) ([]host, error) {
	r := csv.NewReader(bytes.NewReader(text))
	r.TrimLeadingSpace, r.Comment = true, '#'
	header, err := r.Read()
	if err == io.EOF {
		return nil, &Error{File: path, Line: 1, Reason: "no header"}
	}
	if err != nil {
		return nil, csvError(path, err)
	}
	at := map[string]int{}
	for i, key := range header {
		key = strings.TrimSpace(key)
		header[i] = key
		line, _ := r.FieldPos(i)
		if _, twice := at[key]; twice {
			return nil, &Error{path, line, key, "column given twice"}
		}
		at[key] = i
		if key != "name" {
			if err := known(path, line, "", key); err != nil {
				return nil, err
			}
		}
	}
	if _, ok := at["name"]; !ok {
		return nil, &Error{path, 1, "name", "column missing"}
	}
	var hosts []host
	seen := map[string]bool{}
	for {
		row, err := r.Read()
		if err == io.EOF {
			return hosts, nil
		}
		if err != nil {
			return nil, csvError(path, err)
		}
		line, _ := r.FieldPos(0)
		h := host{name: strings.TrimSpace(row[at["name"]]), line: line, vars: map[string]value{}}
		if seen[h.name] {
			return nil, &Error{path, line, h.name, "instance given twice"}
		}
		seen[h.name] = true
		for i, cell := range row {
			if cell = strings.TrimSpace(cell); cell != "" && header[i] != "name" {
				h.vars[header[i]] = value{cell, line}
			}
		}
		hosts = append(hosts, h)
	}
}

func csvError(path string, err error) error {
	var pe *csv.ParseError
	if errors.As(err, &pe) {
		return &Error{File: path, Line: pe.Line, Reason: pe.Err.Error()}
	}
	return &Error{File: path, Reason: err.Error()}
}
