package compat

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/broker/control"
	"poppyarch/internal/broker/limits"
	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/journal"
	"poppyarch/internal/fleet/reconcile"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/host/agent"
	"poppyarch/internal/host/inventory"
	"poppyarch/internal/host/process"
	"poppyarch/internal/lab/load"
	"poppyarch/internal/lab/model"
	"poppyarch/internal/lab/rules"
	"poppyarch/internal/lab/statistics"
	"poppyarch/internal/nodes/discovery"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/nodes/nodefile"
	"poppyarch/internal/observability/incident"
	"poppyarch/internal/observability/incident/collect"
	"poppyarch/internal/observability/record"
)

// jsonExamples has a value of each type that is stored, sent or printed as JSON, by the base name of its file under
// testdata. File names do not change when types are renamed. Zero values are filled before they are encoded.
var jsonExamples = map[string]any{
	"agent-changes":           &agent.ReloadResult{},
	"agent-reply":             &agent.Reply{},
	"agent-request":           &agent.Request{},
	"agent-status":            &agent.Status{},
	"api-apply":               &api.ApplyRequest{},
	"api-assign":              &api.AssignmentsRequest{},
	"api-assignments":         &api.Assignments{},
	"api-fault":               &api.ErrorResponse{},
	"api-figures":             &api.BrokerStats{},
	"api-history":             &api.History{},
	"api-nodes":               &api.NodeOverridesRequest{},
	"api-overview":            &api.Overview{},
	"api-registration":        &api.Registration{},
	"api-reply":               &api.Reply{},
	"api-report":              &api.ReportRequest{},
	"api-retire":              &api.RetireRequest{},
	"api-rollback":            &api.RollbackRequest{},
	"api-steer":               &api.SetPhaseRequest{},
	"config-control":          &config.ControlEndpoint{},
	"config-nodes":            &config.NodeFiles{},
	"config-object":           &config.ObjectFrontend{},
	"config-record":           &config.Recording{},
	"control-change":          &control.Change{},
	"control-effect":          &control.Effect{},
	"control-figures":         &control.Stats{},
	"control-outcome":         &control.Outcome{},
	"control-state":           &control.State{},
	"discovery-list":          &discovery.List{},
	"incident-analysis":       &incident.Analysis{},
	"incident-bound":          &incident.Bound{},
	"incident-change":         &incident.Change{},
	"incident-clock":          &incident.Clock{},
	"incident-found":          &collect.ReadReport{},
	"incident-impact":         &incident.Impact{},
	"incident-span":           &incident.Span{},
	"inventory-instance":      &inventory.Instance{},
	"journal-report":          &journal.RecoveryReport{},
	"lab-figure":              &statistics.Estimate{},
	"lab-result":              &model.Result{},
	"lab-violation":           &rules.Violation{},
	"limits":                  &limits.Limits{},
	"load-report":             &load.Report{},
	"membership-explanation":  &membership.Explanation{},
	"membership-fact":         &membership.Fact{},
	"nodefile-difference":     &nodefile.Difference{},
	"nodefile-fault":          &nodefile.Fault{},
	"nodefile-row":            &nodefile.Row{},
	"process-identity":        &process.Identity{},
	"reconcile-command":       &reconcile.Command{},
	"record-boot":             &record.Incarnation{},
	"record-heartbeat":        &record.Heartbeat{},
	"spec":                    &spec.Spec{},
	"spec-change":             &spec.Change{},
	"state-assignment":        &state.Assignment{},
	"state-plan":              &state.Plan{},
	"state-record":            &state.Record{},
	"state-result":            &state.Result{},
	"state-revision":          &state.Revision{},
	"state-rollout-status":    &state.RolloutStatus{},
	"state-instance-status":   &state.InstanceStatus{},
	"state-agent-status":      &state.AgentStatus{},
	"state-default-strategy":  ptr(state.DefaultStrategy()),
	"state-filled-strategy":   &state.Strategy{},
	"state-instance-report":   &state.Report{},
	"state-command":           &state.Command{},
	"state-node-change":       &state.NodeOverrideChange{},
	"state-revision-step":     &state.RevisionChange{},
	"state-revision-instance": &state.InstanceChange{},
}

// TestJSONEncodingsAreStable checks that each type is encoded to the same bytes as by an earlier version.
func TestJSONEncodingsAreStable(t *testing.T) {
	for name, example := range jsonExamples {
		t.Run(name, func(t *testing.T) {
			value := example
			if reflect.ValueOf(example).Elem().IsZero() {
				value = filled(example)
			}
			encoded, err := json.MarshalIndent(value, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			compareGolden(t, "json/"+name+".json", append(encoded, '\n'))
		})
	}
}

// TestStoredJSONDecodesWithoutLoss checks that the JSON that an earlier version wrote is the same after it has been
// decoded and encoded again.
func TestStoredJSONDecodesWithoutLoss(t *testing.T) {
	for name, target := range map[string]any{
		"api-apply":             &api.ApplyRequest{},
		"api-assignments":       &api.Assignments{},
		"api-overview":          &api.Overview{},
		"api-report":            &api.ReportRequest{},
		"control-change":        &control.Change{},
		"control-state":         &control.State{},
		"discovery-list":        &discovery.List{},
		"limits":                &limits.Limits{},
		"process-identity":      &process.Identity{},
		"reconcile-command":     &reconcile.Command{},
		"record-boot":           &record.Incarnation{},
		"record-heartbeat":      &record.Heartbeat{},
		"spec":                  &spec.Spec{},
		"state-assignment":      &state.Assignment{},
		"state-record":          &state.Record{},
		"state-filled-strategy": &state.Strategy{},
		"state-instance-report": &state.Report{},
		"lab-result":            &model.Result{},
	} {
		t.Run(name, func(t *testing.T) {
			stored := readFile(t, "testdata/json/"+name+".json")
			decoder := json.NewDecoder(bytes.NewReader(stored))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(target); err != nil {
				t.Fatal(err)
			}
			encoded, err := json.MarshalIndent(target, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(append(encoded, '\n'), stored) {
				t.Errorf("decoded and encoded again, the stored JSON differs:\n got: %s\nwant: %s", encoded, stored)
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }
