package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"poppyarch/internal/lab/fit"
	"poppyarch/internal/textoutput"
)

// labFit returns the command that derives a scenario from brokers' records.
func labFit() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "fit RECORDS... -o SCENARIO", Args: checkArgs(cobra.MinimumNArgs(1)),
		Short: "Derive a scenario from brokers' records, and list what the records do not contain",
		RunE: func(cmd *cobra.Command, args []string) error {
			trace, err := fit.Read(args...)
			if err != nil {
				return &exitError{exitUsage, err}
			}
			for _, fault := range trace.Faults {
				cmd.PrintErrln(fault)
			}
			scenario, work, notes, err := trace.Scenario(strings.TrimSuffix(filepath.Base(out), filepath.Ext(out)))
			if err != nil {
				return err
			}
			text, err := toml.Marshal(scenario)
			if err != nil {
				return err
			}
			head := fmt.Sprintf("# Fitted to %d requests of %d brokers. Work: %s, from %d of %d attempts that were alone at their nodes; it differs from them by %.3f at most.\n# Not recorded:\n",
				len(trace.Asked), scenario.Brokers, work.Spread, work.N, work.Of, work.Distance)
			for _, note := range notes {
				head += "# " + note + "\n"
			}
			if err := os.WriteFile(out, append([]byte(head), text...), 0o644); err != nil {
				return err
			}
			output := textoutput.NewPrinter(cmd.OutOrStdout())
			output.Printf("%s", strings.ReplaceAll(head, "# ", ""))
			return output.Err()
		}}
	c.Flags().StringVarP(&out, "out", "o", "", "the scenario")
	markRequired(c, "out")
	return c
}
