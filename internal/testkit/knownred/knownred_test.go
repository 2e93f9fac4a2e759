package knownred

import (
	"strings"
	"testing"
)

func TestParse(t *testing.T) {
	const a = "poppyarch/policy TestA: stays open (issue 21)"
	for _, x := range []struct {
		name, text string
		tests      int
		err        string
	}{
		{"empty", "", 0, ""},
		{"comments", "# none\n\n", 0, ""},
		{"one", a + "\n", 1, ""},
		{"three", a + "\nx TestB: b (issue 1)\nx FuzzC: c (issue 2)", 3, ""},
		{"four", a + "\nx TestB: b (issue 1)\nx TestC: c (issue 2)\nx TestD: d (issue 2)", 0, "line 4: more than 3"},
		{"twice", a + "\n" + a, 0, "line 2: poppyarch/policy TestA is listed twice"},
		{"no cause", "poppyarch/policy TestA:  (issue 21)", 0, "line 1: not in the form"},
		{"no issue", "\npoppyarch/policy TestA: stays open", 0, "line 2: not in the form"},
		{"a subtest", "poppyarch/policy TestA/b: stays open (issue 21)", 0, "line 1: not in the form"},
		{"no test", "poppyarch/policy: stays open (issue 21)", 0, "line 1: not in the form"},
	} {
		list, err := Parse(x.text)
		if len(list) != x.tests || (err == nil) != (x.err == "") || err != nil && !strings.Contains(err.Error(), x.err) {
			t.Errorf("%s: %v, %v", x.name, list, err)
		}
	}
	list, err := Parse(a)
	if err != nil || list[0].String() != a {
		t.Errorf("%v, %v", list, err)
	}
}
