package main

import (
	"io"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/fleet/spec"
	"poppyarch/internal/fleet/state"
)

func (f *fleetFlags) nodesCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "nodes", Short: "Override what discovery reports about storage nodes",
		Long: "Node overrides go to every broker immediately and do not wait for a rollout. They can add a node that discovery does\n" +
			"not know, and drain or remove one that it knows; they never send requests to a node that discovery reports as\n" +
			"draining or removed.",
	}
	c.AddCommand(f.listNodesCommand(), f.addNodeCommand())
	c.AddCommand(f.overrideCommand("drain", "Stop sending new requests to nodes; open requests continue", spec.NodeDraining))
	remove := f.overrideCommand("remove", "Remove nodes, as if discovery had removed them", spec.NodeRemoved)
	remove.Aliases = []string{"out"} // the command's former name
	clear := f.overrideCommand("clear", "Clear the overrides of nodes, so that only discovery decides about them", "")
	clear.Aliases = []string{"back"} // the command's former name
	c.AddCommand(remove, clear)
	return c
}

func (f *fleetFlags) listNodesCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "Show the node overrides in force", Args: checkArgs(cobra.NoArgs),
		RunE: f.inSession(func(s *session) error {
			overview, err := s.client.Overview(s.ctx, nil, nil)
			if err != nil {
				return err
			}
			return s.print(overview.Nodes, func(out io.Writer) error { return printNodes(out, overview.Nodes) })
		}),
	}
}

func (f *fleetFlags) addNodeCommand() *cobra.Command {
	node := spec.NodeOverride{State: spec.NodeAdded}
	change := changeFlags{}
	c := &cobra.Command{
		Use: "add NODE", Short: "Make brokers use a node that discovery does not know", Args: checkArgs(cobra.ExactArgs(1)),
		RunE: f.inSession(func(s *session) error {
			override := node
			override.ID = s.args[0]
			return s.changeNodes("add", []state.NodeOverrideChange{{ID: override.ID, Override: &override}}, change)
		}),
	}
	c.Flags().StringVar(&node.Addr, "addr", "", "HOST:PORT of the node")
	c.Flags().StringVar(&node.ObjectAddr, "objects", "", "HOST:PORT of the node's object API, if it differs from --addr")
	c.Flags().StringVar(&node.Zone, "zone", "", "zone of the node")
	c.Flags().IntVar(&node.Shard, "shard", 0, "shard that the node stores")
	markRequired(c, "addr")
	change.addAll(c, "return when every broker has applied it")
	return c
}

// overrideCommand returns a command that overrides the state of nodes; an empty state clears their overrides.
func (f *fleetFlags) overrideCommand(name, short string, to spec.NodeOverrideState) *cobra.Command {
	change := changeFlags{}
	c := &cobra.Command{
		Use: name + " NODE...", Short: short, Args: checkArgs(cobra.MinimumNArgs(1)),
		RunE: f.inSession(func(s *session) error {
			var changes []state.NodeOverrideChange
			for _, id := range s.args {
				nodeChange := state.NodeOverrideChange{ID: id}
				if to != "" {
					nodeChange.Override = &spec.NodeOverride{ID: id, State: to}
				}
				changes = append(changes, nodeChange)
			}
			return s.changeNodes(name, changes, change)
		}),
	}
	change.addAll(c, "return when every broker has applied it")
	return c
}

// changeNodes sends changes of node overrides to the manager and, with --wait, waits until the fleet has settled.
func (s *session) changeNodes(name string, changes []state.NodeOverrideChange, f changeFlags) error {
	command, err := s.newCommand(f)
	if err != nil {
		return err
	}
	reply, err := s.client.ChangeNodes(s.ctx, &api.NodeOverridesRequest{Command: command, Changes: changes})
	if err != nil {
		return err
	}
	if err := s.printReply("nodes "+name, reply); err != nil {
		return err
	}
	if f.wait {
		return s.waitUntilSettled()
	}
	return nil
}
