package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"poppyarch/internal/fleet/api"
	"poppyarch/internal/observability/console"
)

// consoleCommand returns `poppyarch fleet console`.
func (f *fleetFlags) consoleCommand() *cobra.Command {
	var every time.Duration
	c := &cobra.Command{
		Use: "console", Short: "Show the fleet live in the terminal",
		Long: "Shows instances, nodes, volumes, classes and rollouts, each figure with its age. Only brokers whose configuration has a " +
			"record key report figures. Set NO_COLOR to turn colours off.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := f.load()
			if err != nil {
				return err
			}
			client := api.NewClient(s.Fleet.Manager)
			defer client.Close()
			m := console.New(func(ctx context.Context) (api.Overview, error) { return client.Overview(ctx, nil, nil) }, every, os.Getenv("NO_COLOR") == "")
			return console.Run(cmd.Context(), m)
		},
	}
	c.Flags().DurationVar(&every, "every", time.Second, "interval between two refreshes")
	return c
}
