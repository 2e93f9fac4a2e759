package nodefile

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"poppyarch/internal/testkit/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.RunTests(m) }

const sampleYAML = `# nodes of the test lab
kinds:
  node-full: {cores: 2, speed: 1}
  node-slow: {cores: 2, speed: 0.6}
all:
  vars: {zone: olten-room}
  children:
    full:
      nets: [10.1.0.0/24, 10.2.0.1-10.2.0.9]
      vars: {kind: node-full}
      hosts:
        node-[01:04]: {addr: "10.1.0.[11:14]:6379", shard: "[0:3]"}
        node-05: {addr: "10.2.0.5:6379", shard: 4, labels: {rack: a}} # spare
    slow:
      vars: {kind: node-slow}
      hosts:
        slow-1:
          addr: 10.1.0.31:6379
          shard: 5
          state: draining
`

func rowIDs(d *Doc) (out []string) {
	for _, r := range d.Rows {
		out = append(out, r.ID)
	}
	return out
}

func faultTexts(d *Doc) (out []string) {
	for _, f := range d.Faults {
		out = append(out, f.Error())
	}
	return out
}

func TestYAML(t *testing.T) {
	d := Parse("n.yaml", []byte(sampleYAML))
	if len(d.Faults) > 0 || !d.Complete || !slices.Equal(rowIDs(d), []string{"node-01", "node-02", "node-03", "node-04", "node-05", "slow-1"}) {
		t.Fatalf("rows %v, faults %v", rowIDs(d), faultTexts(d))
	}
	r := d.Rows[2]
	if r.Addr != "10.1.0.13:6379" || r.Shard != 2 || r.Zone != "olten-room" || r.Kind != "node-full" || r.Capacity != 2 || r.Pos != (Pos{"n.yaml", 12, 9}) {
		t.Errorf("node-03: %+v", r)
	}
	if r := d.Rows[5]; r.State != "draining" || r.Capacity != 1.2 {
		t.Errorf("slow-1: %+v", r)
	}
	if r := d.Rows[4]; r.Labels["rack"] != "a" || !slices.Equal(r.Groups, []string{"full"}) {
		t.Errorf("node-05: %+v", r)
	}
}

// Every fault is reported with its position, and the valid rows are used.
func TestFaultsAreReportedAndValidRowsAreUsed(t *testing.T) {
	for _, x := range []struct {
		file, text, want string
		rows             int
		complete         bool
	}{
		{"n.csv", "id,addr,shard\na,10.0.0.1:1,0\nb,10.0.0.2:x,1\nc,10.0.0.3:1,2\n", `n.csv:3:3: b.addr: "10.0.0.2:x" is not HOST:PORT`, 2, true},
		{"n.csv", "id,addr,shard\na,10.0.0.1:1,0\n\"b,10.0.0.2:1,1\nc,10.0.0.3:1,2\n", `n.csv:3`, 2, true},
		{"n.csv", "id,addr,shard\na,10.0.0.1:1,0\na ,10.0.0.2:1,1\n", "n.csv:3:1: a: given twice, first at n.csv:2:1", 1, true},
		{"n.csv", "id,addr,shard\nnode-a,10.0.0.1:1,0\nNode-A,10.0.0.2:1,1\n", "n.csv:3:1: Node-A: differs from node-a in case only", 1, true},
		{"n.csv", "id,addr,shard\na,10.0.0.1:1,0\nb,10.0.0.1:1,1\n", "n.csv:3:3: b.addr: 10.0.0.1:1 is already used by a", 1, true},
		{"n.csv", "id,addr,shard\na,10.0.0.1:1,0\nb,10.0.0.2:1,0\n", "n.csv:3:14: b.shard: 0 is also a's: both are used", 2, true},
		{"n.csv", "id,addr,colour\n", "n.csv:1:9: colour: unknown column", 0, false},
		{"n.csv", "", "no header", 0, false},
		{"n.csv", "id,addr\na,10.0.0.1:1,7\n", "n.csv:2:14: more cells than columns", 0, true},
		{"n.csv", "id,addr,state\na,10.0.0.1:1,asleep\n", `n.csv:2:14: a.state: "asleep"`, 0, true},
		{"n.yaml", "g:\n  hosts:\n    a: {addr: \"10.0.0.1:1\"}\n    b: {addr: \"10.0.0.2:1\", colour: red}\n", "n.yaml:4:29: g.hosts.b.colour: unknown key", 2, true},
		{"n.yaml", "g:\n  nets: [10.0.0.0/8]\n  hosts:\n    a: {addr: \"11.0.0.1:1\"}\n    b: {addr: \"10.0.0.2:1\", shard: 1}\n", "n.yaml:4:15: a.addr: 11.0.0.1 is not in the nets of group g", 1, true},
		{"n.yaml", "g:\n  hosts:\n    a-[1:3]: {addr: \"10.0.0.[1:2]:1\"}\n    b: {addr: \"10.0.0.9:1\"}\n", "range of 2 values for 3 nodes", 1, true},
		{"n.yaml", "g:\n  hosts:\n    a: {addr: \"10.0.0.1:1\"\n", "n.yaml:", 0, false},
		{"n.yaml", "kinds: {full: {cores: 2}}\ng:\n  hosts:\n    a: {addr: \"10.0.0.1:1\", kind: big}\n", `a.kind: kind "big" is not defined`, 0, true},
		{"n.yaml", "g: {children: {h: {children: {g: {}}}}}\n", "contains itself", 0, false},
	} {
		d := Parse(x.file, []byte(x.text))
		if all := strings.Join(faultTexts(d), "\n"); !strings.Contains(all, x.want) || len(d.Rows) != x.rows || d.Complete != x.complete {
			t.Errorf("%q: %d rows, complete %v, faults %s", x.text, len(d.Rows), d.Complete, all)
		}
	}
}

// One faulty row among 10,000 is reported, and all others are used.
func TestOneFaultyRow(t *testing.T) {
	text := largeCSV(10_000)
	lines := strings.SplitAfter(text, "\n")
	lines[5000] = "n4999,nowhere,4999\n"
	d := Parse("n.csv", []byte(strings.Join(lines, "")))
	if len(d.Rows) != 9999 || len(d.Faults) != 1 || d.Faults[0].Pos != (Pos{"n.csv", 5001, 7}) || d.Faults[0].Node != "n4999" {
		t.Errorf("%d rows, faults %v", len(d.Rows), faultTexts(d))
	}
}

func largeCSV(n int) string {
	var b strings.Builder
	b.WriteString("id,addr,shard,kind\n")
	for k := range n {
		fmt.Fprintf(&b, "n%d,10.%d.%d.%d:6379,%d,node-full\n", k, k>>16, k>>8&255, k&255, k)
	}
	return b.String()
}

// Directories and includes are read; include cycles and missing files are reported.
func TestIncludes(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Mkdir(filepath.Join(dir, "more"), 0o700); err != nil {
		t.Fatal(err)
	}
	write("a.yaml", "include: [more, none.csv, a.yaml]\ng: {hosts: {a: {addr: \"10.0.0.1:1\"}}}\n")
	write("more/b.csv", "id,addr,shard\nb,10.0.0.2:1,1\n")
	write("more/c.yaml", "g: {hosts: {c: {addr: \"10.0.0.3:1\", shard: 2}, b: {addr: \"10.0.0.4:1\", shard: 3}}}\n")
	f := FileSystem{Read: os.ReadFile, List: func(d string) ([]string, error) {
		names, err := filepath.Glob(filepath.Join(d, "*"))
		if err != nil || len(names) == 0 {
			return nil, os.ErrNotExist
		}
		return names, nil
	}}
	d := Load(filepath.Join(dir, "a.yaml"), f)
	got := rowIDs(d)
	slices.Sort(got)
	all := strings.Join(faultTexts(d), "\n")
	if !slices.Equal(got, []string{"a", "b", "c"}) || d.Complete || !strings.Contains(all, "already included") || !strings.Contains(all, "none.csv") || !strings.Contains(all, "given twice") {
		t.Errorf("rows %v, complete %v, faults %s", got, d.Complete, all)
	}
}

func drawRows(t *rapid.T) []Row {
	var rows []Row
	for k := range rapid.IntRange(1, 8).Draw(t, "rows") {
		r := Row{
			ID:    fmt.Sprint("n", k),
			Addr:  fmt.Sprintf("10.0.0.%d:1", k),
			Shard: k,
			State: rapid.SampledFrom([]string{"up", "draining", "out"}).Draw(t, "state"),
			Zone:  rapid.SampledFrom([]string{"", "r1", "true", "07", "a: b"}).Draw(t, "zone"),
			Cores: float64(rapid.IntRange(0, 4).Draw(t, "cores")),
		}
		if rapid.Bool().Draw(t, "labels") {
			r.Labels = map[string]string{"k": "v", "a": ""}
		}
		if rapid.Bool().Draw(t, "group") {
			r.Groups = []string{"g1"}
		}
		r.Capacity = r.Cores
		rows = append(rows, r)
	}
	return rows
}

// checkRows compares rows, ignoring their positions and the group in which YAML places rows without a group.
func checkRows(t *rapid.T, got, want []Row) {
	t.Helper()
	byID := map[string]Row{}
	for _, r := range got {
		r.Pos = Pos{}
		if slices.Equal(r.Groups, []string{"nodes"}) {
			r.Groups = nil
		}
		byID[r.ID] = r
	}
	for _, r := range want {
		if !reflect.DeepEqual(byID[r.ID], r) {
			t.Fatalf("got\n%+v\nwant\n%+v", byID[r.ID], r)
		}
	}
}

func TestWrittenListsReadBackInEitherFormat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := drawRows(t)
		encodedYAML, err := YAML(rows)
		if err != nil {
			t.Fatal(err)
		}
		for file, text := range map[string][]byte{"n.csv": CSV(rows), "n.yaml": encodedYAML} {
			d := Parse(file, text)
			if len(d.Faults) > 0 || len(d.Rows) != len(rows) {
				t.Fatalf("%s: faults %v in\n%s", file, faultTexts(d), text)
			}
			checkRows(t, d.Rows, rows)
			if diff := Diff(rows, d.Rows); len(diff) > 0 {
				t.Fatalf("lists differ after reading back: %+v", diff)
			}
		}
	})
}

// Set changes one setting; comments, order and all other lines are preserved.
func TestSetPreservesOtherContent(t *testing.T) {
	csv := "# racks\nid, addr ,state\n\na, 10.0.0.1:1, up\n  # b is old\nb,10.0.0.2:1\nc,10.0.0.3:1,out"
	out, err := Set("n.csv", []byte(csv), "b", "state", "draining")
	if want := strings.Replace(csv, "b,10.0.0.2:1\n", "b,10.0.0.2:1,draining\n", 1); err != nil || string(out) != want {
		t.Errorf("state of b: error %v, text\n%s", err, out)
	}
	out, err = Set("n.csv", []byte(csv), "c", "state", "up")
	if want := strings.Replace(csv, "3:1,out", "3:1,up", 1); err != nil || string(out) != want {
		t.Errorf("state of c: error %v, text\n%s", err, out)
	}
	out, err = Set("n.yaml", []byte(sampleYAML), "node-05", "state", "out")
	if err != nil {
		t.Fatal(err)
	}
	for _, keep := range []string{"# nodes of the test lab", "# spare", "node-[01:04]", "nets: [10.1.0.0/24"} {
		if !strings.Contains(string(out), keep) {
			t.Errorf("%q is lost:\n%s", keep, out)
		}
	}
	if diff := Diff(Parse("n.yaml", []byte(sampleYAML)).Rows, Parse("n.yaml", out).Rows); len(diff) != 1 || diff[0].ID != "node-05" || !slices.Equal(diff[0].Keys, []string{"state"}) {
		t.Errorf("differences after setting the state of node-05: %+v", diff)
	}
	for _, x := range [][3]string{{"a", "colour", "red"}, {"z", "state", "up"}, {"a", "state", "asleep"}} {
		if _, err := Set("n.csv", []byte(csv), x[0], x[1], x[2]); err == nil {
			t.Errorf("Set accepted %v", x)
		}
	}
	if _, err := Set("n.yaml", []byte(sampleYAML), "node-02", "state", "out"); err == nil {
		t.Error("Set changed a node of a range")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(true, "id,addr,shard\na,10.0.0.1:1,0\n")
	f.Add(true, "id,\"addr\"\n\"a\"\"b\",x")
	f.Add(false, sampleYAML)
	f.Add(false, "g: &a {hosts: {x: *a}}\n")
	f.Fuzz(func(t *testing.T, csv bool, text string) {
		file := "n.yaml"
		if csv {
			file = "n.csv"
		}
		d := Parse(file, []byte(text))
		seen := map[string]bool{}
		for _, r := range d.Rows {
			if low := strings.ToLower(r.ID); seen[low] || !validID(r.ID) {
				t.Fatalf("ID %q is duplicate or invalid", r.ID)
			} else {
				seen[low] = true
			}
		}
	})
}

// Reading a changed list with a Reader gives the same result as parsing it from scratch.
func TestReaderMatchesParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := strings.SplitAfter(largeCSV(rapid.IntRange(1, 12).Draw(t, "rows")), "\n")
		var r Reader
		patches := 0
		for range 15 {
			text := strings.Join(lines, "")
			d, changed, patched := r.Read("n.csv", text)
			want := Parse("n.csv", []byte(text))
			if !reflect.DeepEqual(d.Rows, want.Rows) && len(d.Rows)+len(want.Rows) > 0 || !reflect.DeepEqual(d.Faults, want.Faults) || d.Complete != want.Complete {
				t.Fatalf("text %q:\ngot  %+v, faults %v\nwant %+v, faults %v", text, d.Rows, faultTexts(d), want.Rows, faultTexts(want))
			}
			if patched {
				patches++
				for _, c := range changed {
					if !slices.ContainsFunc(want.Rows, func(x Row) bool { return reflect.DeepEqual(x, c) }) {
						t.Fatalf("changed row %+v is not in the list", c)
					}
				}
			}
			i := rapid.IntRange(0, len(lines)-1).Draw(t, "line")
			switch rapid.IntRange(0, 6).Draw(t, "edit") {
			case 0, 1, 2:
				lines[i] = strings.Replace(lines[i], ":6379", fmt.Sprintf(":%d", 6000+rapid.IntRange(0, 3).Draw(t, "port")), 1)
			case 3:
				lines[i] = strings.Replace(lines[i], "10.0.0.1:", "10.0.0.2:", 1)
			case 4:
				lines = slices.Delete(lines, i, i+1)
				if len(lines) == 0 {
					return
				}
			case 5:
				lines[i] = "# " + lines[i]
			case 6:
				lines = slices.Insert(lines, i, lines[rapid.IntRange(0, len(lines)-1).Draw(t, "copy")])
			}
		}
	})
}

// BenchmarkReread reads a list in which one line has changed, by patching this line and by parsing the whole list.
func BenchmarkReread(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		before := largeCSV(n)
		after := strings.Replace(before, "n7,10.0.0.7:6379,7", "n7,10.0.0.7:6380,7", 1)
		b.Run(fmt.Sprintf("patch/%d", n), func(b *testing.B) {
			var r Reader
			r.Read("n.csv", before)
			for k := 1; b.Loop(); k++ {
				if _, _, patched := r.Read("n.csv", []string{before, after}[k%2]); !patched {
					b.Fatal("the whole list was parsed")
				}
			}
		})
		b.Run(fmt.Sprintf("full/%d", n), func(b *testing.B) {
			for k := 0; b.Loop(); k++ {
				Parse("n.csv", []byte([]string{before, after}[k%2]))
			}
		})
	}
}
