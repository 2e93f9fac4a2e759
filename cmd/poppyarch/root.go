package main

import (
	"github.com/spf13/cobra"
)

// root is the command line.
func root() *cobra.Command {
	c := &cobra.Command{
		Use: "poppyarch", Short: "Storage broker, and the agent that runs many of it",
		SilenceErrors: true, SilenceUsage: true,
	}
	c.AddCommand(serveCommand())
	return c
}

// code is the exit code for an error.
func code(error) int { return 1 }
