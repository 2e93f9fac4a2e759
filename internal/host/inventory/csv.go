package inventory

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"
)

const nameColumn = "name"

// parseCSV reads a header and one row for each instance. An empty cell leaves its setting unset.
func parseCSV(path string, text []byte) ([]host, error) {
	r := csv.NewReader(bytes.NewReader(text))
	r.TrimLeadingSpace = true
	r.Comment = '#'
	header, err := readHeader(path, r)
	if err != nil {
		return nil, err
	}
	var hosts []host
	seen := map[string]bool{}
	for {
		row, err := r.Read()
		if errors.Is(err, io.EOF) {
			return hosts, nil
		}
		if err != nil {
			return nil, csvError(path, err)
		}
		line, _ := r.FieldPos(0)
		h := hostFromRow(header, row, line)
		if seen[h.name] {
			return nil, &Error{File: path, Line: line, Key: h.name, Err: errors.New("instance given twice")}
		}
		seen[h.name] = true
		hosts = append(hosts, h)
	}
}

// readHeader reads and checks the column names.
func readHeader(path string, r *csv.Reader) ([]string, error) {
	header, err := r.Read()
	if errors.Is(err, io.EOF) {
		return nil, &Error{File: path, Line: 1, Err: errors.New("no header")}
	}
	if err != nil {
		return nil, csvError(path, err)
	}
	for i := range header {
		column := strings.TrimSpace(header[i])
		header[i] = column
		line, _ := r.FieldPos(i)
		if slices.Contains(header[:i], column) {
			return nil, &Error{File: path, Line: line, Key: column, Err: errors.New("column given twice")}
		}
		if column == nameColumn {
			continue
		}
		if err := checkKey(path, line, "", column); err != nil {
			return nil, err
		}
	}
	if !slices.Contains(header, nameColumn) {
		return nil, &Error{File: path, Line: 1, Key: nameColumn, Err: errors.New("column missing")}
	}
	return header, nil
}

func hostFromRow(header, row []string, line int) host {
	h := host{line: line, settings: map[string]value{}}
	for i, cell := range row {
		cell = strings.TrimSpace(cell)
		switch {
		case header[i] == nameColumn:
			h.name = cell
		case cell != "":
			h.settings[header[i]] = value{text: cell, line: line}
		}
	}
	return h
}

func csvError(path string, err error) error {
	var parseErr *csv.ParseError
	if errors.As(err, &parseErr) {
		return &Error{File: path, Line: parseErr.Line, Err: parseErr.Err}
	}
	return &Error{File: path, Err: err}
}
