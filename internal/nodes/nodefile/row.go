package nodefile

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// States of a row.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateOut      = "out"
)

// maxNumber is the upper bound of cores and speed.
const maxNumber = 1e6

// maxIDLength is the maximum length of a node ID.
const maxIDLength = 64

// rowParser validates the settings of one node.
type rowParser struct {
	builder *builder
	raw     *rawRow
	row     Row
	faulty  bool
}

// row validates the settings of one node and reports whether they are valid. Every fault is recorded.
func (b *builder) row(r *rawRow) (Row, bool) {
	p := &rowParser{builder: b, raw: r}
	p.row = Row{ID: strings.TrimSpace(r.id.text), State: stateUp, Groups: r.groups, Pos: r.id.pos, StateMissing: r.stateMissing}
	if !validID(p.row.ID) {
		text := fmt.Sprintf("%q is not an ID of 1 to %d letters, digits, '-', '_', '.' or ':'", r.id.text, maxIDLength)
		b.fault(Fault{Pos: r.id.pos, Key: "id", Text: text})
		return p.row, false
	}
	for _, key := range knownKeys {
		f := r.vars[key]
		f.text = strings.TrimSpace(f.text)
		if f.text != "" {
			p.set(key, f)
		}
	}
	if p.row.Addr == "" && p.row.State == stateUp && !p.faulty {
		p.fault(r.id.pos, "addr", "missing")
	}
	if p.row.Cores > 0 {
		p.row.Capacity = p.row.Cores * cmp.Or(p.row.Speed, 1)
	}
	return p.row, !p.faulty
}

func (p *rowParser) fault(pos Pos, key, format string, args ...any) {
	p.faulty = true
	p.builder.fault(Fault{Pos: pos, Key: p.row.ID + "." + key, Text: fmt.Sprintf(format, args...), Node: p.row.ID})
}

// set validates one setting. It is called in the order of knownKeys, so that cores and speed override those of the
// kind.
func (p *rowParser) set(key string, f setting) {
	switch key {
	case "addr":
		p.row.Addr = p.address(key, f)
	case "objects":
		p.row.Objects = p.address(key, f)
	case "shard":
		p.row.Shard = p.shard(f)
	case "zone":
		p.row.Zone = f.text
	case "state":
		p.setState(f)
	case "kind":
		p.setKind(f)
	case "cores":
		p.row.Cores = p.number(key, f)
	case "speed":
		p.row.Speed = p.number(key, f)
	case "labels":
		p.row.Labels = p.labels(f)
	}
}

// address returns an address of the form HOST:PORT, or "" if it is invalid or not in the nets of the node's group.
func (p *rowParser) address(key string, f setting) string {
	host, port, err := net.SplitHostPort(f.text)
	if number, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || host == "" || number == 0 {
		p.fault(f.pos, key, "%q is not HOST:PORT", f.text)
		return ""
	}
	if p.raw.nets == nil {
		return f.text
	}
	if ip, err := netip.ParseAddr(host); err != nil || !p.raw.nets.Contains(ip) {
		p.fault(f.pos, key, "%s is not in the nets of group %s", host, p.raw.netsGroup)
		return ""
	}
	return f.text
}

func (p *rowParser) shard(f setting) int {
	shard, err := strconv.Atoi(f.text)
	if err != nil || shard < 0 {
		p.fault(f.pos, "shard", "%q is not an integer of at least 0", f.text)
	}
	return shard
}

func (p *rowParser) setState(f setting) {
	if !slices.Contains([]string{stateUp, stateDraining, stateOut}, f.text) {
		p.fault(f.pos, "state", "%q is not one of up, draining, out", f.text)
	}
	p.row.State = f.text
}

func (p *rowParser) setKind(f setting) {
	kind, defined := p.builder.kinds[f.text]
	if !defined && len(p.builder.kinds) > 0 {
		p.fault(f.pos, "kind", "kind %q is not defined", f.text)
	}
	p.row.Kind = f.text
	p.row.Cores = kind.Cores
	p.row.Speed = kind.Speed
}

func (p *rowParser) number(key string, f setting) float64 {
	v, err := strconv.ParseFloat(f.text, 64)
	if valid := err == nil && v > 0 && v <= maxNumber; !valid {
		p.fault(f.pos, key, "%q is not a number above 0 and up to %g", f.text, maxNumber)
	}
	return v
}

func (p *rowParser) labels(f setting) map[string]string {
	labels := map[string]string{}
	for _, pair := range strings.Split(f.text, ";") {
		key, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || key == "" {
			p.fault(f.pos, "labels", "%q is not of the form KEY=VALUE; KEY=VALUE", f.text)
			break
		}
		labels[key] = value
	}
	return labels
}

func validID(s string) bool {
	if s == "" || len(s) > maxIDLength {
		return false
	}
	for _, c := range s {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && !strings.ContainsRune("-_.:", c) {
			return false
		}
	}
	return true
}
