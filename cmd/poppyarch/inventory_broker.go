package main

import (
	"context"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/broker/control"
	"poppyarch/internal/nodes/membership"
	"poppyarch/internal/textoutput"
)

// controlFlags are the flags of commands that call a broker's control endpoint.
type controlFlags struct {
	addr    string
	timeout time.Duration
}

func (f *controlFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.addr, "control", "", "unix:PATH or HOST:PORT of the broker's control endpoint")
	c.Flags().DurationVar(&f.timeout, "timeout", 5*time.Second, "give up after this time")
	markRequired(c, "control")
}

// call calls run with a client of the endpoint and a context that ends after --timeout.
func (f *controlFlags) call(ctx context.Context, run func(context.Context, *control.Client) error) error {
	client, err := control.Dial(f.addr)
	if err != nil {
		return &exitError{exitUsage, err}
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	if err := run(ctx, client); err != nil {
		return &exitError{exitUnavailable, err}
	}
	return nil
}

func (f *inventoryFlags) explainCommand() *cobra.Command {
	endpoint := &controlFlags{}
	c := &cobra.Command{
		Use:   "explain NODE",
		Short: "Show each fact that a broker knows about a node, with its source",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return endpoint.call(cmd.Context(), func(ctx context.Context, client *control.Client) error {
				var node membership.Explanation
				if err := client.Nodes(ctx, args[0], &node); err != nil {
					return err
				}
				if f.asJSON {
					return printJSON(cmd.OutOrStdout(), node)
				}
				out := textoutput.NewPrinter(cmd.OutOrStdout())
				printExplanation(out, &node)
				return out.Err()
			})
		},
	}
	endpoint.add(c)
	return c
}

func printExplanation(out *textoutput.Printer, node *membership.Explanation) {
	out.Printf("%s is %s (%s)\n", node.ID, node.State, node.Phase)
	for _, fact := range node.Facts {
		held := ""
		if fact.HeldBack {
			held = ", held back: it says nothing any more"
		}
		out.Printf("  %s says %s  %s%s\n", fact.Source, fact.Statement, fact.Origin, held)
	}
	for _, note := range node.Notes {
		out.Println("  note:", note)
	}
}

// liveNodes is the response of a broker's control endpoint to a query for all nodes.
type liveNodes struct {
	Epoch        uint64                   `json:"epoch"`
	HeldRemovals []string                 `json:"held"`
	HeldReason   string                   `json:"why"`
	Nodes        []membership.Explanation `json:"nodes"`
}

func (f *inventoryFlags) liveCommand() *cobra.Command {
	endpoint := &controlFlags{}
	c := &cobra.Command{
		Use:   "live",
		Short: "Show the nodes as a broker uses them, with the state that each source reports",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return endpoint.call(cmd.Context(), func(ctx context.Context, client *control.Client) error {
				var live liveNodes
				if err := client.Nodes(ctx, "", &live); err != nil {
					return err
				}
				if f.asJSON {
					return printJSON(cmd.OutOrStdout(), live)
				}
				out := textoutput.NewPrinter(cmd.OutOrStdout())
				t := textoutput.NewTable(cmd.OutOrStdout(), "NODE", "PHASE", "DISCOVERY", "FILES", "OPERATORS", "WHERE")
				for i := range live.Nodes {
					printLiveNode(t, &live.Nodes[i])
				}
				if err := t.Flush(); err != nil {
					return err
				}
				if live.HeldReason != "" {
					out.Println(live.HeldReason)
				}
				return out.Err()
			})
		},
	}
	endpoint.add(c)
	return c
}

// printLiveNode prints a node with the state that each source reports for it.
func printLiveNode(t *textoutput.Table, node *membership.Explanation) {
	bySource := map[string]string{}
	origin := ""
	for _, fact := range node.Facts {
		state, _, _ := strings.Cut(fact.Statement, " ")
		bySource[fact.Source] = strings.TrimRight(state, ",")
		if fact.Origin != "" {
			origin = fact.Origin
		}
	}
	t.Printf("%s\t%s\t%s\t%s\t%s\t%s\n", node.ID, node.Phase, dash(bySource["discovery"]), dash(bySource["files"]),
		dash(bySource["operators"]), origin)
}

func (f *inventoryFlags) acceptCommand() *cobra.Command {
	endpoint := &controlFlags{}
	c := &cobra.Command{
		Use:   "accept",
		Short: "Make a broker apply the removals of nodes that it holds back",
		Args:  checkArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return endpoint.call(cmd.Context(), func(ctx context.Context, client *control.Client) error {
				changed, err := client.AcceptRemovals(ctx)
				if err != nil {
					return err
				}
				out := textoutput.NewPrinter(cmd.OutOrStdout())
				out.Printf("%d nodes changed\n", changed)
				return out.Err()
			})
		},
	}
	endpoint.add(c)
	return c
}
