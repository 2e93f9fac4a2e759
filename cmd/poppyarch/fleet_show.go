package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
)

// print writes v for scripts, or calls show for people.
func (f *fleetFlags) print(cmd *cobra.Command, v any, show func()) error {
	if f.asJSON {
		return printJSON(cmd.OutOrStdout(), v)
	}
	show()
	return nil
}

// show prints a command's reply.
func (f *fleetFlags) show(cmd *cobra.Command, what string, r api.Reply) error {
	return f.print(cmd, r, func() {
		w := cmd.OutOrStdout()
		if r.Plan != nil {
			showChanges(w, r.Plan.Changes)
			if what != "diff" && len(r.Plan.Waves) > 0 {
				for n, wave := range r.Plan.Waves {
					fmt.Fprintf(w, "wave %d: %s\n", n+1, strings.Join(wave, " "))
				}
				if len(r.Plan.WaitsFor) > 0 {
					fmt.Fprintf(w, "waits for rollouts %v\n", r.Plan.WaitsFor)
				}
			}
		}
		switch {
		case r.Result.Text != "":
			fmt.Fprintln(w, r.Result.Text)
		case r.Result.Repeated:
			fmt.Fprintf(w, "%s: was done before, revision %d\n", what, r.Result.Revision)
		default:
			fmt.Fprintf(w, "%s: done, revision %d\n", what, r.Result.Revision)
		}
	})
}

func showChanges(w io.Writer, list []spec.Change) {
	if len(list) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, c := range list {
		fmt.Fprintf(t, "%s\t%s\t%s\n", c.Name, c.Kind, strings.Join(c.Fields, " "))
	}
	t.Flush()
}

func showNodes(w io.Writer, list []spec.NodeOverride) {
	if len(list) == 0 {
		fmt.Fprintln(w, "no node changes are in force")
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "NODE\tSTATE\tADDR\tSHARD\tZONE")
	for _, n := range list {
		shard := "-"
		if n.Addr != "" {
			shard = fmt.Sprint(n.Shard)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", n.ID, n.State, dash(n.Addr), shard, dash(n.Zone))
	}
	t.Flush()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// age words how old a figure is.
func age(us int64) string {
	if us < 0 {
		return "never"
	}
	return (time.Duration(us) * time.Microsecond).Round(100 * time.Millisecond).String()
}

func showOverview(w io.Writer, o api.Overview) {
	fmt.Fprintf(w, "revision %d, %d of %d enabled instances available", o.Rev, o.Enabled-o.Unavailable, o.Enabled)
	if o.Settled {
		fmt.Fprintln(w, ", settled")
	} else {
		fmt.Fprintf(w, ", %d not as wanted\n", o.Differing)
	}
	if o.Journal != "" {
		fmt.Fprintln(w, "the manager's journal:", o.Journal)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "INSTANCE\tAGENT\tSTATE\tREV\tHOLDS\tBOOT\tNODES\tAGE\tWHY")
	for _, i := range o.Instances {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%.8s\t%d\t%s\t%s\n", i.Name, i.Agent, i.ProcessText(), i.Revision, i.ConfigurationText(), dash(i.Report.Incarnation), i.Report.NodeCount,
			age(i.Age), i.Reason)
	}
	t.Flush()
	for _, a := range o.Agents {
		if a.Silent {
			fmt.Fprintf(w, "agent %s is silent, last heard of %s ago; nothing is known of its %d instances\n", a.Name, age(a.Age), a.Instances)
		}
	}
	for _, r := range o.Rollouts {
		if r.Phase != state.Done && r.Phase != state.Aborted {
			fmt.Fprintln(w, line(r))
		}
	}
}

func showAgents(w io.Writer, list []state.AgentStatus) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "AGENT\tSTATE\tHEARD\tINSTANCES\tNOT AS WANTED")
	for _, a := range list {
		st, differ := "heard", fmt.Sprint(a.NotCurrent)
		if a.Silent {
			st, differ = "silent", fmt.Sprint(a.Instances)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", a.Name, st, age(a.Age), a.Instances, differ)
	}
	t.Flush()
}

// line words a rollout.
func line(r state.RolloutStatus) string {
	s := fmt.Sprintf("rollout %d %s", r.Revision, r.Phase)
	if r.Phase == state.Active || r.Phase == state.Paused {
		s += fmt.Sprintf(": wave %d of %d, %d of %d released, %d as wanted", min(r.Wave+1, r.Waves), r.Waves, r.Released, r.Size, r.Current)
	}
	if r.Soaking > 0 {
		s += ", soaking"
	}
	if len(r.Waiting) > 0 {
		s += ", waiting for " + strings.Join(r.Waiting, " ")
	}
	if r.Blocked != "" {
		s += "; held: " + r.Blocked
	}
	if r.Reason != "" {
		s += "; " + r.Reason
	}
	return s
}

func showRollouts(w io.Writer, list []state.RolloutStatus) {
	if len(list) == 0 {
		fmt.Fprintln(w, "no rollouts yet")
	}
	for _, r := range list {
		fmt.Fprintln(w, line(r))
		for _, name := range slices.Sorted(maps.Keys(r.Failed)) {
			fmt.Fprintf(w, "  failed: %s: %s\n", name, r.Failed[name])
		}
	}
}

func showHistory(w io.Writer, h api.History) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "REV\tWHEN\tBY\tWHAT\tNOTE")
	for _, v := range h.Revisions {
		what := fmt.Sprintf("%d instances", len(v.Changes))
		switch {
		case v.IsRollback:
			what = fmt.Sprintf("back to %d, %d instances", v.RollbackTo, len(v.Changes))
		case len(v.Changes) == 0:
			what = fmt.Sprintf("node changes, %d in force", len(v.Nodes))
		}
		when := "-"
		if v.At > 0 {
			when = time.UnixMicro(v.At).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", v.Number, when, dash(v.Author), what, v.Note)
	}
	t.Flush()
}

// wait follows a rollout, or the whole fleet with rev 0, and tells its progress.
func (f *fleetFlags) wait(cmd *cobra.Command, ctx context.Context, client *api.Client, rev uint64) error {
	last := ""
	for {
		step := 500 * time.Millisecond
		list, settled, err := client.Wait(ctx, rev, step)
		if err != nil {
			if ctx.Err() != nil {
				return &exit{exitRollout, errors.New("not ended in time")}
			}
			return err
		}
		for _, r := range list {
			if rev > 0 && r.Revision != rev || rev == 0 && (r.Phase == state.Done || r.Phase == state.Aborted) {
				continue
			}
			if text := line(r); text != last && !f.asJSON {
				fmt.Fprintln(cmd.ErrOrStderr(), text)
				last = text
			}
			switch {
			case r.Phase == state.Paused:
				return &exit{exitRollout, fmt.Errorf("rollout %d is paused: %s", r.Revision, r.Reason)}
			case r.Phase == state.Aborted:
				return &exit{exitRollout, fmt.Errorf("rollout %d was aborted: %s", r.Revision, r.Reason)}
			case r.Phase == state.Done:
				return f.print(cmd, r, func() {})
			}
		}
		if rev == 0 && settled {
			return f.print(cmd, struct {
				Settled bool `json:"settled"`
			}{true}, func() { fmt.Fprintln(cmd.OutOrStdout(), "settled") })
		}
		if ctx.Err() != nil {
			return &exit{exitRollout, errors.New("not ended in time")}
		}
	}
}
