package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
	"poppyarch/internal/textoutput"
)

// printReply prints the manager's reply to a command.
func (s *session) printReply(command string, reply api.Reply) error {
	return s.print(reply, func(out io.Writer) error {
		p := textoutput.NewPrinter(out)
		if reply.Plan != nil {
			p.Section(func(out io.Writer) error { return printChanges(out, reply.Plan.Changes) })
			if command != "diff" {
				printWaves(p, reply.Plan)
			}
		}
		switch {
		case reply.Result.Text != "":
			p.Println(reply.Result.Text)
		case reply.Result.Repeated:
			p.Printf("%s: was done before, revision %d\n", command, reply.Result.Revision)
		default:
			p.Printf("%s: done, revision %d\n", command, reply.Result.Revision)
		}
		return p.Err()
	})
}

func printWaves(p *textoutput.Printer, plan *state.Plan) {
	if len(plan.Waves) == 0 {
		return
	}
	for i, wave := range plan.Waves {
		p.Printf("wave %d: %s\n", i+1, strings.Join(wave, " "))
	}
	if len(plan.WaitsFor) > 0 {
		p.Printf("waits for rollouts %v\n", plan.WaitsFor)
	}
}

func printChanges(out io.Writer, changes []spec.Change) error {
	t := textoutput.NewTable(out)
	for _, c := range changes {
		t.Printf("%s\t%s\t%s\n", c.Name, c.Kind, strings.Join(c.Fields, " "))
	}
	return t.Flush()
}

func printNodes(out io.Writer, nodes []spec.NodeOverride) error {
	if len(nodes) == 0 {
		_, err := fmt.Fprintln(out, "no node overrides are in force")
		return err
	}
	t := textoutput.NewTable(out, "NODE", "STATE", "ADDR", "SHARD", "ZONE")
	for _, n := range nodes {
		shard := "-"
		if n.Addr != "" {
			shard = strconv.Itoa(n.Shard)
		}
		t.Printf("%s\t%s\t%s\t%s\t%s\n", n.ID, n.State, dash(n.Addr), shard, dash(n.Zone))
	}
	return t.Flush()
}

func printOverview(out io.Writer, o api.Overview) error {
	p := textoutput.NewPrinter(out)
	p.Printf("revision %d, %d of %d enabled instances available", o.Revision, o.Enabled-o.Unavailable, o.Enabled)
	if o.Settled {
		p.Println(", settled")
	} else {
		p.Printf(", %d not as wanted\n", o.NotCurrent)
	}
	if o.JournalFault != "" {
		p.Println("the manager's journal:", o.JournalFault)
	}
	p.Section(func(out io.Writer) error { return printInstanceStatus(out, o.Instances) })
	for _, a := range o.Agents {
		if a.Silent {
			p.Printf("agent %s is silent, last contact %s ago; the state of its %d instances is unknown\n", a.Name, formatAge(a.Age), a.Instances)
		}
	}
	for _, r := range o.Rollouts {
		if r.Phase != state.Done && r.Phase != state.Aborted {
			p.Println(formatRollout(r))
		}
	}
	return p.Err()
}

func printInstanceStatus(out io.Writer, instances []state.InstanceStatus) error {
	t := textoutput.NewTable(out, "INSTANCE", "AGENT", "STATE", "REV", "HOLDS", "BOOT", "NODES", "AGE", "WHY")
	for _, i := range instances {
		t.Printf("%s\t%s\t%s\t%d\t%s\t%.8s\t%d\t%s\t%s\n", i.Name, i.Agent, i.ProcessText(), i.Revision, i.ConfigurationText(),
			dash(i.Report.Incarnation), i.Report.NodeCount, formatAge(i.Age), i.Reason)
	}
	return t.Flush()
}

func printAgents(out io.Writer, agents []state.AgentStatus) error {
	t := textoutput.NewTable(out, "AGENT", "STATE", "HEARD", "INSTANCES", "NOT AS WANTED")
	for _, a := range agents {
		contact := "heard"
		notCurrent := a.NotCurrent
		if a.Silent {
			contact = "silent"
			notCurrent = a.Instances
		}
		t.Printf("%s\t%s\t%s\t%d\t%d\n", a.Name, contact, formatAge(a.Age), a.Instances, notCurrent)
	}
	return t.Flush()
}

// formatRollout describes a rollout in one line.
func formatRollout(r state.RolloutStatus) string {
	text := fmt.Sprintf("rollout %d %s", r.Revision, r.Phase)
	if r.Phase == state.Active || r.Phase == state.Paused {
		text += fmt.Sprintf(": wave %d of %d, %d of %d released, %d as wanted", min(r.Wave+1, r.Waves), r.Waves, r.Released, r.Size, r.Current)
	}
	if r.Soaking > 0 {
		text += ", soaking"
	}
	if len(r.Waiting) > 0 {
		text += ", waiting for " + strings.Join(r.Waiting, " ")
	}
	if r.Blocked != "" {
		text += "; held: " + r.Blocked
	}
	if r.Reason != "" {
		text += "; " + r.Reason
	}
	return text
}

func printRollouts(out io.Writer, rollouts []state.RolloutStatus) error {
	p := textoutput.NewPrinter(out)
	if len(rollouts) == 0 {
		p.Println("no rollouts yet")
	}
	for _, r := range rollouts {
		p.Println(formatRollout(r))
		for _, name := range slices.Sorted(maps.Keys(r.Failed)) {
			p.Printf("  failed: %s: %s\n", name, r.Failed[name])
		}
	}
	return p.Err()
}

func printHistory(out io.Writer, history api.History) error {
	t := textoutput.NewTable(out, "REV", "WHEN", "BY", "WHAT", "NOTE")
	for _, revision := range history.Revisions {
		when := "-"
		if revision.At > 0 {
			when = time.UnixMicro(int64(revision.At)).UTC().Format(time.RFC3339)
		}
		t.Printf("%d\t%s\t%s\t%s\t%s\n", revision.Number, when, dash(revision.Author), describeRevision(&revision), revision.Note)
	}
	return t.Flush()
}

func describeRevision(revision *state.Revision) string {
	switch {
	case revision.IsRollback:
		return fmt.Sprintf("back to %d, %d instances", revision.RollbackTo, len(revision.Changes))
	case len(revision.Changes) == 0:
		return fmt.Sprintf("node changes, %d in force", len(revision.Nodes))
	}
	return fmt.Sprintf("%d instances", len(revision.Changes))
}
