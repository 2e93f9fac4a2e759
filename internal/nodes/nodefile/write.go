package nodefile

import (
	"bytes"
	"cmp"
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

// YAML writes rows as a list of its own, a group for each innermost one, in the order in which they come.
func YAML(rows []Row) ([]byte, error) {
	text := func(s string) *yaml.Node {
		n := &yaml.Node{}
		n.SetString(s)
		return n
	}
	mapping := func() *yaml.Node { return &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"} }
	put := func(m *yaml.Node, key string, v *yaml.Node) { m.Content = append(m.Content, text(key), v) }
	root := mapping()
	hosts := map[string]*yaml.Node{}
	for i := range rows {
		r := &rows[i]
		name := "nodes"
		if len(r.Groups) > 0 {
			name = r.Groups[len(r.Groups)-1]
		}
		if hosts[name] == nil {
			hosts[name] = mapping()
			g := mapping()
			put(g, "hosts", hosts[name])
			put(root, name, g)
		}
		h := mapping()
		h.Style = yaml.FlowStyle
		v := r.values()
		for _, key := range known {
			if v[key] != "" && (key != "state" || v[key] != "up") {
				x := text(v[key])
				if key == "shard" || key == "cores" || key == "speed" {
					x = &yaml.Node{Kind: yaml.ScalarNode, Value: v[key]}
				}
				put(h, key, x)
			}
		}
		put(hosts[name], r.ID, h)
	}
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(root); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
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
	for k, l := range lines {
		body := strings.TrimRight(l, "\r\n")
		if t := strings.TrimSpace(body); t == "" || t[0] == '#' {
			continue
		}
		cells, err := split(body)
		if err != nil {
			continue
		}
		if header == nil {
			for _, c := range cells {
				if c.text == "name" || c.text == "node" || c.text == "uid" {
					c.text = "id"
				}
				header = append(header, c.text)
			}
			continue
		}
		at, ids := slices.Index(header, key), slices.Index(header, "id")
		if ids < 0 || ids >= len(cells) || cells[ids].text != id {
			continue
		}
		if at < 0 {
			return nil, fmt.Errorf("%s: there is no column %s", path, key)
		}
		if strings.ContainsAny(value, ",\"\n") {
			return nil, fmt.Errorf("%q cannot stand in a cell without quotes", value)
		}
		for len(cells) <= at { // a short line gets the cells it lacks
			body += ","
			cells = append(cells, cell{"", len(body) + 1})
		}
		c := cells[at]
		end := c.col - 1 + len(c.text)
		if c.col-1 > 0 && c.col <= len(body) && body[c.col-1] == '"' {
			return nil, fmt.Errorf("%s:%d:%d: a quoted cell is not edited", path, k+1, c.col)
		}
		lines[k] = body[:c.col-1] + value + body[end:] + l[len(strings.TrimRight(l, "\r\n")):]
		return []byte(strings.Join(lines, "")), nil
	}
	return nil, fmt.Errorf("%s: no row for %s", path, id)
}

func setYAML(path string, in []byte, id, key, value string) ([]byte, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(in, &doc); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	var found *yaml.Node
	var walk func(n *yaml.Node, hosts bool)
	walk = func(n *yaml.Node, hosts bool) {
		if n.Kind == yaml.DocumentNode {
			for _, c := range n.Content {
				walk(c, false)
			}
			return
		}
		if n.Kind != yaml.MappingNode {
			return
		}
		for i := 0; i+1 < len(n.Content); i += 2 {
			k, v := n.Content[i], n.Content[i+1]
			if hosts && k.Value == id && found == nil {
				found = v
				if v.Kind == yaml.ScalarNode && v.Tag == "!!null" {
					*v = yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Style: yaml.FlowStyle}
				}
				continue
			}
			if !hosts {
				walk(v, k.Value == "hosts")
			}
		}
	}
	walk(&doc, false)
	if found == nil || found.Kind != yaml.MappingNode {
		return nil, fmt.Errorf("%s: %s has no entry of its own", path, id)
	}
	x := &yaml.Node{Kind: yaml.ScalarNode, Value: value}
	if key != "shard" && key != "cores" && key != "speed" {
		x.SetString(value)
	}
	done := false
	for i := 0; i+1 < len(found.Content); i += 2 {
		if found.Content[i].Value == key {
			x.HeadComment, x.LineComment, x.FootComment = found.Content[i+1].HeadComment, found.Content[i+1].LineComment, found.Content[i+1].FootComment
			found.Content[i+1], done = x, true
		}
	}
	if !done {
		found.Content = append(found.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key}, x)
	}
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(&doc); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Difference is what one list has and another has not.
type Difference struct {
	ID   string   `json:"id"`
	What string   `json:"what"` // added, removed, changed
	Keys []string `json:"keys,omitempty"`
}

// Diff compares two lists by id.
func Diff(a, b []Row) (out []Difference) {
	by := func(rows []Row) map[string]*Row {
		m := make(map[string]*Row, len(rows))
		for i := range rows {
			m[rows[i].ID] = &rows[i]
		}
		return m
	}
	x, y := by(a), by(b)
	for id, r := range x {
		o := y[id]
		if o == nil {
			out = append(out, Difference{ID: id, What: "removed"})
			continue
		}
		v, w := r.values(), o.values()
		var keys []string
		for _, k := range known {
			if v[k] != w[k] {
				keys = append(keys, k)
			}
		}
		if len(keys) > 0 {
			out = append(out, Difference{id, "changed", keys})
		}
	}
	for id := range y {
		if x[id] == nil {
			out = append(out, Difference{ID: id, What: "added"})
		}
	}
	slices.SortFunc(out, func(p, q Difference) int { return cmp.Compare(p.ID, q.ID) })
	return out
}
