package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/nodes/filewatch"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/nodes/nodefile"
)

// nodeFiles reads lists from disk.
var nodeFiles = nodefile.Files{Read: os.ReadFile, List: filewatch.Lists}

// inventoryCommand is `poppyarch inventory`.
func inventoryCommand() *cobra.Command {
	c := &cobra.Command{Use: "inventory", Short: "Check, compare, convert and edit lists of storage nodes; ask a broker about them",
		Long: "Lists are .csv, .yaml or .yml files, or folders of such. explain, live and accept talk to a running broker by its control endpoint."}
	var asJSON bool
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "for scripts")
	faults := func(cmd *cobra.Command, d *nodefile.Doc) (bad int) {
		for _, f := range d.Faults {
			word := "fault"
			if f.Warn {
				word = "warning"
			} else {
				bad++
			}
			fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s\n", word, f.Error())
		}
		return bad
	}
	check := &cobra.Command{
		Use: "check LIST...", Short: "Name every fault; exit code 2 if there is one", Args: usage(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			bad := 0
			docs := map[string]*nodefile.Doc{}
			for _, path := range args {
				d := nodefile.Load(path, nodeFiles)
				docs[path] = d
				n := faults(cmd, d)
				bad += n
				if !asJSON {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: %d nodes, %d faults\n", path, len(d.Rows), n)
				}
			}
			if asJSON {
				if err := printJSON(cmd.OutOrStdout(), docs); err != nil {
					return err
				}
			}
			if bad > 0 {
				return &exit{exitUsage, fmt.Errorf("%d faults", bad)}
			}
			return nil
		},
	}
	show := &cobra.Command{
		Use: "show LIST", Short: "Show the nodes with all their settings worked out", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			d := nodefile.Load(args[0], nodeFiles)
			faults(cmd, d)
			if asJSON {
				return printJSON(cmd.OutOrStdout(), d.Rows)
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(t, "NODE\tSTATE\tADDR\tSHARD\tZONE\tKIND\tCAPACITY\tGROUPS\tAT")
			for _, r := range d.Rows {
				fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%.3g\t%s\t%s\n", r.ID, r.State, dash(r.Addr), r.Shard, dash(r.Zone), dash(r.Kind), r.Capacity,
					dash(strings.Join(r.Groups, ",")), r.Pos)
			}
			return t.Flush()
		},
	}
	diff := &cobra.Command{
		Use: "diff LIST1 LIST2", Short: "Compare two lists, in whatever forms; exit code 4 if they differ", Args: usage(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, b := nodefile.Load(args[0], nodeFiles), nodefile.Load(args[1], nodeFiles)
			if faults(cmd, a)+faults(cmd, b) > 0 || !a.Whole || !b.Whole {
				return &exit{exitUsage, errors.New("a faulty list cannot be compared")}
			}
			list := nodefile.Diff(a.Rows, b.Rows)
			if asJSON {
				if err := printJSON(cmd.OutOrStdout(), list); err != nil {
					return err
				}
			} else {
				for _, x := range list {
					fmt.Fprintln(cmd.OutOrStdout(), x.ID, x.What, strings.Join(x.Keys, " "))
				}
			}
			if len(list) > 0 {
				return &exit{exitUnhealthy, fmt.Errorf("%d nodes differ", len(list))}
			}
			return nil
		},
	}
	var to string
	convert := &cobra.Command{
		Use: "convert LIST --to csv|yaml", Short: "Write a list in the other form", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			d := nodefile.Load(args[0], nodeFiles)
			if faults(cmd, d) > 0 || !d.Whole {
				return &exit{exitUsage, errors.New("a faulty list is not converted: rows would be lost")}
			}
			text := nodefile.CSV(d.Rows)
			if to == "yaml" {
				var err error
				if text, err = nodefile.YAML(d.Rows); err != nil {
					return err
				}
			} else if to != "csv" {
				return &exit{exitUsage, fmt.Errorf("--to: %q is neither csv nor yaml", to)}
			}
			_, err := cmd.OutOrStdout().Write(text)
			return err
		},
	}
	convert.Flags().StringVar(&to, "to", "yaml", "csv or yaml")
	var dry bool
	set := &cobra.Command{
		Use: "set LIST NODE KEY=VALUE", Short: "Change one setting; order and comments stay", Args: usage(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			key, value, ok := strings.Cut(args[2], "=")
			if !ok {
				return &exit{exitUsage, fmt.Errorf("%q is not KEY=VALUE", args[2])}
			}
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			out, err := nodefile.Set(args[0], text, args[1], key, value)
			if err != nil {
				return &exit{exitUsage, err}
			}
			if dry {
				_, err := cmd.OutOrStdout().Write(out)
				return err
			}
			return replace(args[0], out)
		},
	}
	set.Flags().BoolVar(&dry, "dry-run", false, "write to standard output instead")
	var addr string
	var timeout time.Duration
	broker := func(f func(context.Context, *control.Client) error) error {
		cl, err := control.Dial(addr)
		if err != nil {
			return &exit{exitUsage, err}
		}
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		if err := f(ctx, cl); err != nil {
			return &exit{exitNoAgent, err}
		}
		return nil
	}
	explain := &cobra.Command{
		Use: "explain NODE", Short: "Ask a broker where each fact about a node comes from", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return broker(func(ctx context.Context, cl *control.Client) error {
				var x membership.Explanation
				if err := cl.Nodes(ctx, args[0], &x); err != nil {
					return err
				}
				if asJSON {
					return printJSON(cmd.OutOrStdout(), x)
				}
				w := cmd.OutOrStdout()
				fmt.Fprintf(w, "%s is %s (%s)\n", x.ID, x.State, x.Phase)
				for _, f := range x.Facts {
					held := ""
					if f.HeldBack {
						held = ", held back: it says nothing any more"
					}
					fmt.Fprintf(w, "  %s says %s  %s%s\n", f.Source, f.Statement, f.Origin, held)
				}
				for _, n := range x.Notes {
					fmt.Fprintln(w, "  note:", n)
				}
				return nil
			})
		},
	}
	live := &cobra.Command{
		Use: "live", Short: "Show the nodes as a broker uses them, and who says so", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return broker(func(ctx context.Context, cl *control.Client) error {
				var x struct {
					Epoch uint64                   `json:"epoch"`
					Held  []string                 `json:"held"`
					Why   string                   `json:"why"`
					Nodes []membership.Explanation `json:"nodes"`
				}
				if err := cl.Nodes(ctx, "", &x); err != nil {
					return err
				}
				if asJSON {
					return printJSON(cmd.OutOrStdout(), x)
				}
				t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
				fmt.Fprintln(t, "NODE\tPHASE\tDISCOVERY\tFILES\tOPERATORS\tWHERE")
				for _, n := range x.Nodes {
					by, where := map[string]string{}, ""
					for _, f := range n.Facts {
						word, _, _ := strings.Cut(f.Statement, " ")
						by[f.Source] = strings.TrimRight(word, ",")
						if f.Origin != "" {
							where = f.Origin
						}
					}
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", n.ID, n.Phase, dash(by["discovery"]), dash(by["files"]), dash(by["operators"]), where)
				}
				if err := t.Flush(); err != nil {
					return err
				}
				if x.Why != "" {
					fmt.Fprintln(cmd.OutOrStdout(), x.Why)
				}
				return nil
			})
		},
	}
	accept := &cobra.Command{
		Use: "accept", Short: "Have a broker believe the omissions that it holds back", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return broker(func(ctx context.Context, cl *control.Client) error {
				n, err := cl.AcceptRemovals(ctx)
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%d nodes changed\n", n)
				}
				return err
			})
		},
	}
	for _, x := range []*cobra.Command{explain, live, accept} {
		x.Flags().StringVar(&addr, "control", "", "unix:PATH or HOST:PORT of the broker's control endpoint")
		x.Flags().DurationVar(&timeout, "timeout", 5*time.Second, "give up after this")
		x.MarkFlagRequired("control")
	}
	c.AddCommand(check, show, diff, convert, set, explain, live, accept)
	return c
}

// replace puts a text in a file's place at once, with the file's mode, so that a watcher never sees half of it.
func replace(path string, text []byte) error {
	if real, err := filepath.EvalSymlinks(path); err == nil {
		path = real
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(tmp.Name())
	_, err = tmp.Write(text)
	if err == nil {
		err = tmp.Chmod(info.Mode().Perm())
	}
	if err == nil {
		err = tmp.Sync()
	}
	if err := errors.Join(err, tmp.Close()); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}
