package yamltree

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"go.yaml.in/yaml/v3"
)

func TestEachPairReportsFaultsAndContinues(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       []string
	}{
		{"pairs in order", "b: 1\na: 2\n", []string{"b=1", "a=2"}},
		{"null", "~\n", nil},
		{"list", "[1]\n", []string{"fault 0 in line 1"}},
		{"repeated key", "a: 1\na: 2\nb: 3\n", []string{"a=1", "fault 2 in line 2 a", "b=3"}},
		{"merge key", "<<: {a: 1}\nb: 3\n", []string{"fault 1 in line 1", "b=3"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var doc yaml.Node
			if err := yaml.Unmarshal([]byte(tc.text), &doc); err != nil {
				t.Fatal(err)
			}
			var got []string
			err := EachPair(doc.Content[0], Visitor{
				Pair: func(key string, _, value *yaml.Node) error {
					got = append(got, key+"="+value.Value)
					return nil
				},
				Fault: func(f Fault, at *yaml.Node, key string) error {
					text := fmt.Sprintf("fault %d in line %d", f, at.Line)
					if key != "" {
						text += " " + key
					}
					got = append(got, text)
					return nil
				},
			})
			if err != nil || !slices.Equal(got, tc.want) {
				t.Errorf("got %q, %v; want %q", got, err, tc.want)
			}
		})
	}
}

func TestEachPairStopsAtFirstError(t *testing.T) {
	var doc yaml.Node
	if err := yaml.Unmarshal([]byte("a: 1\nb: 2\n"), &doc); err != nil {
		t.Fatal(err)
	}
	stop := errors.New("stop")
	calls := 0
	err := EachPair(doc.Content[0], Visitor{Pair: func(string, *yaml.Node, *yaml.Node) error {
		calls++
		return stop
	}})
	if !errors.Is(err, stop) || calls != 1 {
		t.Errorf("got %v after %d calls, want %v after 1 call", err, calls, stop)
	}
}

func TestErrorLine(t *testing.T) {
	for text, want := range map[string]int{"a: b: c\n": 1, "x: 1\ny: [\n": 2} {
		var doc yaml.Node
		err := yaml.Unmarshal([]byte(text), &doc)
		if err == nil {
			t.Fatalf("%q: parsed without an error", text)
		}
		if got := ErrorLine(err); got != want {
			t.Errorf("%q: line %d, want %d (%v)", text, got, want, err)
		}
	}
}
