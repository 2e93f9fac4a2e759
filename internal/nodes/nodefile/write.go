package nodefile

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// values returns the settings of a row as text, by key.
func (r *Row) values() map[string]string {
	formatNumber := func(v float64) string {
		if v == 0 {
			return ""
		}
		return strconv.FormatFloat(v, 'g', -1, 64)
	}
	var labels []string
	for _, k := range slices.Sorted(maps.Keys(r.Labels)) {
		labels = append(labels, k+"="+r.Labels[k])
	}
	return map[string]string{"addr": r.Addr, "objects": r.Objects, "shard": strconv.Itoa(r.Shard), "zone": r.Zone, "state": r.State, "kind": r.Kind,
		"cores": formatNumber(r.Cores), "speed": formatNumber(r.Speed), "labels": strings.Join(labels, ";")}
}

// CSV encodes rows as a CSV list. Columns that no row needs are omitted.
func CSV(rows []Row) []byte {
	columns := []string{"id"}
	for _, key := range knownKeys {
		if slices.ContainsFunc(rows, func(r Row) bool { v := r.values()[key]; return v != "" && (key != "state" || v != "up") }) {
			columns = append(columns, key)
		}
	}
	hasGroups := slices.ContainsFunc(rows, func(r Row) bool { return len(r.Groups) > 0 })
	if hasGroups {
		columns = append(columns, "group")
	}
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	_ = w.Write(columns) // writing to a buffer cannot fail
	for i := range rows {
		v := rows[i].values()
		v["id"] = rows[i].ID
		if hasGroups && len(rows[i].Groups) > 0 {
			v["group"] = rows[i].Groups[len(rows[i].Groups)-1]
		}
		var line []string
		for _, key := range columns {
			line = append(line, v[key])
		}
		_ = w.Write(line)
	}
	w.Flush()
	return b.Bytes()
}

// YAML encodes rows as a YAML list, in their order. Each row is placed in its innermost group, or in the group nodes if
// it has none.
func YAML(rows []Row) ([]byte, error) {
	root := newMapping()
	hosts := map[string]*yaml.Node{}
	for i := range rows {
		row := &rows[i]
		name := "nodes"
		if len(row.Groups) > 0 {
			name = row.Groups[len(row.Groups)-1]
		}
		if hosts[name] == nil {
			hosts[name] = newMapping()
			group := newMapping()
			appendEntry(group, "hosts", hosts[name])
			appendEntry(root, name, group)
		}
		appendEntry(hosts[name], row.ID, row.yamlNode())
	}
	return encodeYAML(root)
}

// yamlNode returns the settings of a row that are not their defaults.
func (r *Row) yamlNode() *yaml.Node {
	node := newMapping()
	node.Style = yaml.FlowStyle
	values := r.values()
	for _, key := range knownKeys {
		if value := values[key]; value != "" && (key != "state" || value != stateUp) {
			appendEntry(node, key, scalar(key, value))
		}
	}
	return node
}

func newMapping() *yaml.Node { return &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"} }

func appendEntry(mapping *yaml.Node, key string, value *yaml.Node) {
	mapping.Content = append(mapping.Content, stringNode(key), value)
}

// Set changes one setting of one node in a text and preserves the order, the comments, and in CSV every other byte. The
// settings of a node that is part of a range or that is defined in an included file cannot be changed.
func Set(path string, in []byte, id, key, value string) ([]byte, error) {
	if !slices.Contains(knownKeys, key) {
		return nil, fmt.Errorf("%s: unknown key", key)
	}
	var out []byte
	var err error
	if strings.EqualFold(filepath.Ext(path), ".csv") {
		out, err = setCSV(path, string(in), id, key, value)
	} else {
		out, err = setYAML(path, in, id, key, value)
	}
	if err != nil {
		return nil, err
	}
	// Verify that the new text, when parsed, has the intended value.
	before, after := Parse(path, in), Parse(path, out)
	for i := range after.Rows {
		if r := &after.Rows[i]; r.ID == id && r.values()[key] == value {
			return out, nil
		}
	}
	for _, f := range after.Faults {
		if !slices.Contains(before.Faults, f) {
			return nil, f
		}
	}
	return nil, fmt.Errorf("%s: %s.%s cannot be set to %q in this file", path, id, key, value)
}

func setCSV(path, in, id, key, value string) ([]byte, error) {
	var header []string
	lines := strings.SplitAfter(in, "\n")
	for i, line := range lines {
		body := strings.TrimRight(line, "\r\n")
		if trimmed := strings.TrimSpace(body); trimmed == "" || trimmed[0] == '#' {
			continue
		}
		cells, err := splitCells(body)
		if err != nil {
			continue // not the header, and no row that can be edited
		}
		if header == nil {
			header = columnNames(cells)
			continue
		}
		idColumn := slices.Index(header, "id")
		if idColumn < 0 || idColumn >= len(cells) || cells[idColumn].text != id {
			continue
		}
		column := slices.Index(header, key)
		if column < 0 {
			return nil, fmt.Errorf("%s: the header has no column %s", path, key)
		}
		edited, err := setCell(body, cells, column, value)
		if err != nil {
			return nil, fmt.Errorf("%s:%d:%w", path, i+1, err)
		}
		lines[i] = edited + line[len(body):]
		return []byte(strings.Join(lines, "")), nil
	}
	return nil, fmt.Errorf("%s: no row for node %s", path, id)
}

// setCell replaces one cell of a line. Missing cells are added to a line that is too short.
func setCell(line string, cells []cell, column int, value string) (string, error) {
	if strings.ContainsAny(value, ",\"\n") {
		return "", fmt.Errorf(" value %q would need quotes, which Set does not write", value)
	}
	for len(cells) <= column {
		line += ","
		cells = append(cells, cell{text: "", col: len(line) + 1})
	}
	c := cells[column]
	start := c.col - 1
	if start > 0 && start < len(line) && line[start] == '"' {
		return "", fmt.Errorf("%d: a quoted cell cannot be edited", c.col)
	}
	return line[:start] + value + line[start+len(c.text):], nil
}

// columnNames returns the names of the columns. Synonyms of id are replaced.
func columnNames(cells []cell) []string {
	var names []string
	for _, c := range cells {
		names = append(names, columnName(c.text))
	}
	return names
}

func setYAML(path string, in []byte, id, key, value string) ([]byte, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(in, &doc); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	node := findHost(&doc, id)
	if node == nil || node.Kind != yaml.MappingNode {
		return nil, fmt.Errorf("%s: node %s has no entry of its own", path, id)
	}
	setEntry(node, key, scalar(key, value))
	return encodeYAML(&doc)
}

// findHost returns the settings of a host, or nil if there is no such host. Missing settings become an empty mapping.
func findHost(n *yaml.Node, id string) *yaml.Node {
	switch n.Kind {
	case yaml.DocumentNode:
		for _, child := range n.Content {
			if found := findHost(child, id); found != nil {
				return found
			}
		}
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			key, value := n.Content[i], n.Content[i+1]
			find := findHost
			if key.Value == "hosts" {
				find = findEntry
			}
			if found := find(value, id); found != nil {
				return found
			}
		}
	}
	return nil
}

// findEntry returns the value of a key in a mapping of hosts, or nil if there is none.
func findEntry(hosts *yaml.Node, id string) *yaml.Node {
	if hosts.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(hosts.Content); i += 2 {
		if hosts.Content[i].Value != id {
			continue
		}
		value := hosts.Content[i+1]
		if value.Kind == yaml.ScalarNode && value.Tag == "!!null" {
			*value = yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Style: yaml.FlowStyle}
		}
		return value
	}
	return nil
}

// setEntry replaces or adds an entry of a mapping; comments are preserved.
func setEntry(mapping *yaml.Node, key string, value *yaml.Node) {
	replaced := false
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value != key {
			continue
		}
		before := mapping.Content[i+1]
		value.HeadComment = before.HeadComment
		value.LineComment = before.LineComment
		value.FootComment = before.FootComment
		mapping.Content[i+1] = value
		replaced = true
	}
	if !replaced {
		mapping.Content = append(mapping.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key}, value)
	}
}

// scalar returns the YAML value of a setting: numbers are left untagged, everything else is a string.
func scalar(key, value string) *yaml.Node {
	if key == "shard" || key == "cores" || key == "speed" {
		return &yaml.Node{Kind: yaml.ScalarNode, Value: value}
	}
	return stringNode(value)
}

func stringNode(s string) *yaml.Node {
	n := &yaml.Node{}
	n.SetString(s)
	return n
}

func encodeYAML(n *yaml.Node) ([]byte, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(n); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
