// Command measure runs the project's longer measurements on loopback and prints their results as Markdown tables. CI
// does not run it.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"
)

// program is the absolute path of the poppyarch binary.
var program string

func main() {
	root := &cobra.Command{
		Use: "measure", Short: "run one of the project's longer measurements", SilenceUsage: true, SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) (err error) {
			program, err = filepath.Abs(program)
			return err
		},
	}
	root.PersistentFlags().StringVar(&program, "program", "bin/poppyarch", "path of the poppyarch binary")
	root.AddCommand(fleetCommand(), incidentCommand(), nodesCommand(), recordCommand(), subsetCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}
