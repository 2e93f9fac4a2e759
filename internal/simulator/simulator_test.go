package simulator

import (
	"errors"
	"strings"
	"testing"
)

const settingsLine = `configure entropy=5 profile_data={"balancers":2,"unknown":{"x":1},"classes":[{"aim_ns":1000000000,` +
	`"give_up_ns":4000000000,"importance":2,"name":"r","repeat":"retryable"}],"limits":{"send_cap":3},` +
	`"policies":[{"shares":1,"usual_rate":5,"floor_rate":2,"value_factor":1}],"tick_ns":2000000}` + "\n"

// opening configures instance 3 with one node, target_a.
const opening = "mark t_ns=1000 frame=1\ntarget_instance initiator_id=3\n" + settingsLine +
	"roster roster_id=0 records=1\nrow zone=0 readiness=ready target=target_a flavor=0 weight=1 pod=0\n" +
	"discovery rev=1 scope=C roster_id=0\nover_to_you\n"

// arrival sends request 77 to instance 3.
const arrival = "mark t_ns=2000 frame=2\ntarget_instance initiator_id=3\ningress call=77 due_ns=4000002000 lies_in=0 " +
	"service_level=0 weight=2 disk=d cls=0 item=k mounts=1\nover_to_you\n"

// run calls Serve on the input and returns the output.
func run(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestArrivingRequestIsForwarded(t *testing.T) {
	out, err := run(opening + arrival)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out, "for initiator_id=3\nroute call=77 target=target_a cap_ns=1000000000\n") ||
		!strings.HasSuffix(out, "next frame=2\n") {
		t.Fatalf("got %q", out)
	}
}

func TestEmptyBatchGetsAReply(t *testing.T) {
	if out, err := run("mark t_ns=1 frame=9\nover_to_you\n"); err != nil || out != "next frame=9\n" {
		t.Fatalf("got %q, %v", out, err)
	}
}

func TestRosterIDMayBeReusedWithinABatch(t *testing.T) {
	batch := "mark t_ns=3000 frame=2\nroster roster_id=0 records=1\nrow readiness=gone target=target_a pod=0\n" +
		"target_instance initiator_id=3\ndiscovery rev=2 scope=D roster_id=0\n" +
		"roster roster_id=0 records=1\nrow readiness=ready target=target_b pod=0\ndiscovery rev=3 scope=D roster_id=0\n" +
		strings.SplitN(arrival, "\n", 3)[2]
	out, err := run(opening + batch)
	if err != nil || !strings.Contains(out, "route call=77 target=target_b") {
		t.Fatalf("got %q, %v", out, err)
	}
}

func TestInstanceMayBeReplacedWithinABatch(t *testing.T) {
	batch := "mark t_ns=3000 frame=3\ntarget_instance initiator_id=3\nexpired call=77\ndown\n" + settingsLine +
		"roster roster_id=1 records=0\ndiscovery rev=1 scope=C roster_id=1\nover_to_you\n"
	out, err := run(opening + arrival + batch)
	if err != nil || !strings.HasSuffix(out, "next frame=3\n") {
		t.Fatalf("got %q, %v", out, err)
	}
}

func TestInvalidInputIsReportedWithItsLineNumber(t *testing.T) {
	for in, part := range map[string]string{
		"what\n":                           "line 1: \"what\" outside a batch",
		"mark t_ns=x frame=1\n":            "line 1: t_ns=\"x\"",
		"mark t_ns=1 frame=1\nodd a=1\n":   "line 2: unknown message",
		"mark t_ns=1 frame=1\nexpired x\n": "line 2: malformed field",
		"mark t_ns=1 frame=1\n":            "ends inside a batch",
		opening + "mark t_ns=1 frame=2\ntarget_instance initiator_id=3\nfinished call=1 rc=odd\n":   "unknown rc",
		opening + "mark t_ns=1 frame=2\ntarget_instance initiator_id=9\nexpired call=1\n":           "not configured",
		"mark t_ns=1 frame=1\ntarget_instance initiator_id=1\nconfigure entropy=1 profile_data={\n": "settings",
		strings.Replace(opening, `"retryable"`, `"maybe"`, 1):                                       "classes[0].repeat",
		strings.Replace(opening, `"usual_rate":5`, `"usual_rate":-5`, 1):                            "settings.policies[0].usual_rate",
	} {
		_, err := run(in)
		if err == nil || !strings.Contains(err.Error(), part) {
			t.Errorf("%q: got %v, want %q", truncate(in), err, part)
		}
		var line *LineError
		if !errors.As(err, &line) || line.Line < 1 {
			t.Errorf("%q: %#v is not a LineError with a line number", truncate(in), err)
		}
	}
}

// FuzzServe checks that no input makes Serve panic or run without end.
func FuzzServe(f *testing.F) {
	for _, seed := range []string{"", opening, opening + arrival, opening + arrival +
		"mark t_ns=9000 frame=3\ntarget_instance initiator_id=3\nfinished call=77 seq_no=0 target=target_a rc=turned_away\n" +
		"fired label=1\nexpired call=78\nprobe_result target=target_a rc=served gauge=backlog:3\ndown\nover_to_you\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, in string) {
		_, _ = run(in) // invalid input may return any error
	})
}
