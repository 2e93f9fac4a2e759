package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"poppyarch/internal/nodes/filewatch"
	"poppyarch/internal/nodes/nodefile"
	"poppyarch/internal/textoutput"
)

// nodeFiles reads node lists from disk.
var nodeFiles = nodefile.FileSystem{Read: os.ReadFile, List: filewatch.ListFiles}

// inventoryFlags are the flags that all inventory commands share.
type inventoryFlags struct {
	asJSON bool
}

// inventoryCommand returns `poppyarch inventory`.
func inventoryCommand() *cobra.Command {
	f := &inventoryFlags{}
	c := &cobra.Command{
		Use:   "inventory",
		Short: "Check, compare, convert and edit lists of storage nodes; query a broker about them",
		Long: "Lists are .csv, .yaml or .yml files, or folders of such files. explain, live and accept talk to a running\n" +
			"broker through its control endpoint.",
	}
	c.PersistentFlags().BoolVar(&f.asJSON, "json", false, "print JSON, for scripts")
	c.AddCommand(f.checkCommand(), f.showCommand(), f.diffCommand(), convertCommand(), setCommand())
	c.AddCommand(f.explainCommand(), f.liveCommand(), f.acceptCommand())
	return c
}

// printFaults prints a list's faults and warnings to standard error and returns the number of faults.
func printFaults(cmd *cobra.Command, doc *nodefile.Doc) int {
	faults := 0
	for _, fault := range doc.Faults {
		severity := "warning"
		if !fault.IsWarning {
			severity = "fault"
			faults++
		}
		cmd.PrintErrf("%s: %s\n", severity, fault.Error())
	}
	return faults
}

// loadComplete reads a list and reports whether it was read completely and has no faults.
func loadComplete(cmd *cobra.Command, path string) (*nodefile.Doc, bool) {
	doc := nodefile.Load(path, nodeFiles)
	faults := printFaults(cmd, doc)
	return doc, faults == 0 && doc.Complete
}

func (f *inventoryFlags) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check LIST...",
		Short: "Report every fault in the lists; exit code 2 if there is one",
		Args:  checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, paths []string) error {
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			faults := 0
			docs := map[string]*nodefile.Doc{}
			for _, path := range paths {
				doc := nodefile.Load(path, nodeFiles)
				docs[path] = doc
				count := printFaults(cmd, doc)
				faults += count
				if !f.asJSON {
					out.Printf("%s: %d nodes, %d faults\n", path, len(doc.Rows), count)
				}
			}
			if f.asJSON {
				out.Section(func(w io.Writer) error { return printJSON(w, docs) })
			}
			if out.Err() != nil {
				return out.Err()
			}
			if faults > 0 {
				return &exitError{exitUsage, fmt.Errorf("%d faults in %d lists", faults, len(paths))}
			}
			return nil
		},
	}
}

func (f *inventoryFlags) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show LIST",
		Short: "Show the nodes with all inherited settings resolved",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc := nodefile.Load(args[0], nodeFiles)
			printFaults(cmd, doc)
			if f.asJSON {
				return printJSON(cmd.OutOrStdout(), doc.Rows)
			}
			t := textoutput.NewTable(cmd.OutOrStdout(), "NODE", "STATE", "ADDR", "SHARD", "ZONE", "KIND", "CAPACITY", "GROUPS", "AT")
			for _, r := range doc.Rows {
				t.Printf("%s\t%s\t%s\t%d\t%s\t%s\t%.3g\t%s\t%s\n", r.ID, r.State, dash(r.Addr), r.Shard, dash(r.Zone),
					dash(r.Kind), r.Capacity, dash(strings.Join(r.Groups, ",")), r.Pos)
			}
			return t.Flush()
		},
	}
}

func (f *inventoryFlags) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff LIST1 LIST2",
		Short: "Compare two lists, in any format; exit code 4 if they differ",
		Args:  checkArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			first, firstComplete := loadComplete(cmd, args[0])
			second, secondComplete := loadComplete(cmd, args[1])
			if !firstComplete || !secondComplete {
				return &exitError{exitUsage, fmt.Errorf("%s and %s are not compared: at least one of them is faulty or incomplete", args[0], args[1])}
			}
			differences := nodefile.Diff(first.Rows, second.Rows)
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			if f.asJSON {
				out.Section(func(w io.Writer) error { return printJSON(w, differences) })
			} else {
				for _, d := range differences {
					out.Println(d.ID, d.What, strings.Join(d.Keys, " "))
				}
			}
			if out.Err() != nil {
				return out.Err()
			}
			if len(differences) > 0 {
				return &exitError{exitUnhealthy, fmt.Errorf("%d nodes differ", len(differences))}
			}
			return nil
		},
	}
}

func convertCommand() *cobra.Command {
	var format string
	c := &cobra.Command{
		Use:   "convert LIST --to csv|yaml",
		Short: "Write a list in the other format",
		Args:  checkArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, complete := loadComplete(cmd, args[0])
			if !complete {
				return &exitError{exitUsage, fmt.Errorf("%s is not converted: it is faulty or incomplete, and rows would be lost", args[0])}
			}
			text, err := encodeRows(doc.Rows, format)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
	c.Flags().StringVar(&format, "to", "yaml", "output format: csv or yaml")
	return c
}

// encodeRows encodes the rows of a list as csv or yaml.
func encodeRows(rows []nodefile.Row, format string) ([]byte, error) {
	switch format {
	case "csv":
		return nodefile.CSV(rows), nil
	case "yaml":
		return nodefile.YAML(rows)
	}
	return nil, &exitError{exitUsage, fmt.Errorf("--to: %q is neither csv nor yaml", format)}
}

func setCommand() *cobra.Command {
	var dryRun bool
	c := &cobra.Command{
		Use:   "set LIST NODE KEY=VALUE",
		Short: "Change one setting of one node; order and comments are preserved",
		Args:  checkArgs(cobra.ExactArgs(3)),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, node := args[0], args[1]
			key, value, ok := strings.Cut(args[2], "=")
			if !ok {
				return &exitError{exitUsage, fmt.Errorf("setting %q is not of the form KEY=VALUE", args[2])}
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			changed, err := nodefile.Set(path, text, node, key, value)
			if err != nil {
				return &exitError{exitUsage, err}
			}
			if dryRun {
				_, err := cmd.OutOrStdout().Write(changed)
				return err
			}
			return replaceFile(path, changed)
		},
	}
	c.Flags().BoolVar(&dryRun, "dry-run", false, "write the changed list to standard output instead of the file")
	return c
}

// replaceFile replaces a file's content atomically, so that a watcher never reads a partly written file. It keeps the
// file's mode.
func replaceFile(path string, content []byte) error {
	if target, err := filepath.EvalSymlinks(path); err == nil {
		path = target
	}
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), ".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(tmp.Name()) }() // fails after the rename, when the file no longer exists
	_, err = tmp.Write(content)
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
