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

// values are a row's settings as text, in the order of the known keys.
func (r *Row) values() map[string]string {
	num := func(v float64) string {
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
		"cores": num(r.Cores), "speed": num(r.Speed), "labels": strings.Join(labels, ";")}
}

// CSV writes rows as a list of its own. Columns that no row needs are left out.
func CSV(rows []Row) []byte {
	used := []string{"id"}
	for _, key := range known {
		if slices.ContainsFunc(rows, func(r Row) bool { v := r.values()[key]; return v != "" && (key != "state" || v != "up") }) {
			used = append(used, key)
		}
	}
	group := slices.ContainsFunc(rows, func(r Row) bool { return len(r.Groups) > 0 })
	if group {
		used = append(used, "group")
	}
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	_ = w.Write(used) // a buffer takes all
	for i := range rows {
		v := rows[i].values()
		v["id"] = rows[i].ID
		if group && len(rows[i].Groups) > 0 {
			v["group"] = rows[i].Groups[len(rows[i].Groups)-1]
		}
		var line []string
		for _, key := range used {
			line = append(line, v[key])
		}
		_ = w.Write(line)
	}
	w.Flush()
	return b.Bytes()
}

// YAML encodes rows as a list of its own, with a group for each innermost one, in the order in which they come.
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
	for _, key := range known {
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

// Set changes one setting of one node in a text and leaves everything else as it is: order, comments, and in CSV every
// other byte. A node of a range, or one that only an included file has, cannot be set.
func Set(path string, in []byte, id, key, value string) ([]byte, error) {
	if !slices.Contains(known, key) {
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
	// What was written has to read back as meant.
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
	return nil, fmt.Errorf("%s: %s.%s: cannot be set to %q here", path, id, key, value)
}

func setCSV(path, in, id, key, value string) ([]byte, error) {
	var header []string
	lines := strings.SplitAfter(in, "\n")
	for i, line := range lines {
		body := strings.TrimRight(line, "\r\n")
		if trimmed := strings.TrimSpace(body); trimmed == "" || trimmed[0] == '#' {
			continue
		}
		cells, err := split(body)
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
			return nil, fmt.Errorf("%s: there is no column %s", path, key)
		}
		edited, err := setCell(body, cells, column, value)
		if err != nil {
			return nil, fmt.Errorf("%s:%d:%w", path, i+1, err)
		}
		lines[i] = edited + line[len(body):]
		return []byte(strings.Join(lines, "")), nil
	}
	return nil, fmt.Errorf("%s: no row for %s", path, id)
}

// setCell replaces one cell of a line. A short line gets the cells that it lacks.
func setCell(line string, cells []cell, column int, value string) (string, error) {
	if strings.ContainsAny(value, ",\"\n") {
		return "", fmt.Errorf(" %q cannot stand in a cell without quotes", value)
	}
	for len(cells) <= column {
		line += ","
		cells = append(cells, cell{text: "", col: len(line) + 1})
	}
	c := cells[column]
	start := c.col - 1
	if start > 0 && start < len(line) && line[start] == '"' {
		return "", fmt.Errorf("%d: a quoted cell is not edited", c.col)
	}
	return line[:start] + value + line[start+len(c.text):], nil
}

// columnNames returns the names of the columns, with synonyms replaced.
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
		return nil, fmt.Errorf("%s: %s has no entry of its own", path, id)
	}
	setEntry(node, key, scalar(key, value))
	return encodeYAML(&doc)
}

// findHost returns the settings of a host, or nil. Missing settings become an empty mapping.
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

// findEntry returns the value of a key of a mapping of hosts, or nil.
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

// scalar returns the value of a setting: numbers as they are, everything else as a string.
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
