package inventory

import (
	"errors"
	"strings"
	"testing"
)

const nestedGroups = `
all:
  vars: {config: base.json, memory_mb: 128, log: warn}
  hosts:
    n9: {listen: "127.0.0.1:7009"}
  children:
    olten:
      vars: {memory_mb: 192, cores: 2, discovery: "127.0.0.1:8500"}
      hosts:
        n1: {listen: "127.0.0.1:7001"}
        n2: {listen: "127.0.0.1:7002", memory_mb: 64}
      children:
        proof:
          vars: {cores: 0.5, log: debug}
          hosts:
            n1:
spare:
  vars: {enabled: false, log: error}
  hosts:
    n3: {listen: "127.0.0.1:7003"}
    n1: {}
`

func TestYAMLSettingsOfInnerGroupsOverrideOuterOnes(t *testing.T) {
	list, err := Parse("/etc/p/inv.yaml", []byte(nestedGroups))
	if err != nil {
		t.Fatal(err)
	}
	want := []Instance{
		// n1 is in olten, in its child proof, and in spare: proof is deeper than spare and overrides it.
		{Name: "n1", Config: "/etc/p/base.json", Listen: "127.0.0.1:7001", Discovery: "127.0.0.1:8500", Log: "debug", Cores: 0.5, MemoryMB: 192, Groups: "olten,spare,proof"},
		{Name: "n2", Config: "/etc/p/base.json", Listen: "127.0.0.1:7002", Discovery: "127.0.0.1:8500", Log: "warn", Cores: 2, MemoryMB: 64, Enabled: true, Groups: "olten"},
		{Name: "n3", Config: "/etc/p/base.json", Listen: "127.0.0.1:7003", Log: "error", MemoryMB: 128, Groups: "spare"},
		{Name: "n9", Config: "/etc/p/base.json", Listen: "127.0.0.1:7009", Log: "warn", MemoryMB: 128, Enabled: true},
	}
	if len(list) != len(want) {
		t.Fatalf("got %d instances, want %d: %+v", len(list), len(want), list)
	}
	for i := range want {
		if list[i] != want[i] {
			t.Errorf("got  %+v\nwant %+v", list[i], want[i])
		}
	}
}

func TestCSVRowsAreSortedAndEmptyCellsLeaveSettingsUnset(t *testing.T) {
	list, err := Parse("inv.csv", []byte("name, listen,config,memory_mb,enabled\nb,127.0.0.1:2,/c.json,,false\n# spare\na,127.0.0.1:1,c.json,64,\n"))
	if err != nil {
		t.Fatal(err)
	}
	if len(list) != 2 || list[0] != (Instance{Name: "a", Config: "c.json", Listen: "127.0.0.1:1", MemoryMB: 64, Enabled: true}) ||
		list[1] != (Instance{Name: "b", Config: "/c.json", Listen: "127.0.0.1:2"}) {
		t.Errorf("got %+v", list)
	}
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, x := range []struct{ file, text, want string }{
		{"i.csv", "", "i.csv:1: no header"},
		{"i.csv", "listen\n127.0.0.1:1\n", "i.csv:1: name: column missing"},
		{"i.csv", "name,colour\n", "i.csv:1: colour: unknown key"},
		{"i.csv", "name,listen,listen\n", "i.csv:1: listen: column given twice"},
		{"i.csv", "name,listen,config\na,127.0.0.1:1,c\na,127.0.0.1:2,c\n", "i.csv:3: a: instance given twice"},
		{"i.csv", "name,listen,config\na,127.0.0.1:1,c\nb,127.0.0.1:1,c\n", "i.csv:3: b.listen: address 127.0.0.1:1 is already used by a"},
		{"i.csv", "name,listen,config\na,127.0.0.1,c\n", `i.csv:2: a.listen: "127.0.0.1" is not HOST:PORT`},
		{"i.csv", "name,listen\na,127.0.0.1:1,c\n", "i.csv:2: wrong number of fields"},
		{"i.csv", "name,listen\na,127.0.0.1:1\n", "i.csv:2: a.config: missing"},
		{"i.csv", "name,listen,config\n../a,127.0.0.1:1,c\n", "i.csv:2: ../a: a name is"},
		{"i.yml", "all:\n  hosts:\n    a: {listen: 'x:1', config: c, memory_mb: lots}\n", `i.yml:3: a.memory_mb: "lots" is not a whole number`},
		{"i.yml", "all:\n  hosts:\n    a: {size: 3}\n", "i.yml:3: all.hosts.a.size: unknown key"},
		{"i.yml", "all:\n  colour: red\n", "i.yml:2: all.colour: unknown key"},
		{"i.yml", "all:\n  hosts:\n    a: {log: info, log: warn}\n", "i.yml:3: all.hosts.a.log: key given twice"},
		{"i.yml", "g:\n  hosts:\n    a: {log: info}\nh:\n  hosts:\n    a: {log: warn}\n", "i.yml:6: h.hosts.a.log: set twice, first in line 3"},
		{"i.yml", "all:\n  children:\n    g:\n      children:\n        g:\n", "g: the group contains itself"},
		{"i.yml", "all: [1]\n", "i.yml:1: all: must be a mapping"},
		{"i.yml", "all:\n  vars: {listen: [1]}\n", "i.yml:2: all.vars.listen: must be a single value"},
		{"i.yml", "a: b: c\n", "i.yml:1: "},
		{"i.yml", "", "i.yml: the file is empty"},
		{"i.yml", "all:\n", "i.yml: no instances"},
		{"i.txt", "", "i.txt: an inventory ends in"},
	} {
		_, err := Parse(x.file, []byte(x.text))
		var inventoryErr *Error
		if !errors.As(err, &inventoryErr) || inventoryErr.File != x.file {
			t.Errorf("%q: got %v, want an Error for the file %s", x.text, err, x.file)
		}
		if err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%q: got %v, want %s", x.text, err, x.want)
		}
	}
}
