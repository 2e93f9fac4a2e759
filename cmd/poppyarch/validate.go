package main

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"poppyarch/internal/broker/config"
	"poppyarch/internal/fleet/settings"
	"poppyarch/internal/host/inventory"
	"poppyarch/internal/textoutput"
)

// validation is the result of checking one file.
type validation struct {
	File      string               `json:"file"`
	OK        bool                 `json:"ok"`
	Error     string               `json:"error,omitempty"`
	Instances []inventory.Instance `json:"instances,omitempty"`
}

// validateCommand returns the command that checks files without starting anything.
func validateCommand() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "validate FILE...", Short: "Check inventories (.csv, .yaml, .yml), configurations (.json) and fleet settings (.toml)",
		Args: checkArgs(cobra.MinimumNArgs(1)),
		RunE: func(cmd *cobra.Command, files []string) error {
			var results []validation
			faulty := 0
			out := textoutput.NewPrinter(cmd.OutOrStdout())
			for _, file := range files {
				result := validate(file)
				results = append(results, result)
				if !result.OK {
					faulty++
				}
				switch {
				case asJSON:
				case result.OK:
					out.Printf("%s: ok\n", file)
				default:
					cmd.PrintErrln(result.Error)
				}
			}
			if asJSON {
				out.Section(func(w io.Writer) error { return printJSON(w, results) })
			}
			if out.Err() != nil {
				return out.Err()
			}
			if faulty > 0 {
				return &exitError{exitUsage, fmt.Errorf("%d of %d files are faulty", faulty, len(files))}
			}
			return nil
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON, for scripts")
	return c
}

// validate checks one file; the extension of its name says which kind of file it is.
func validate(file string) validation {
	result := validation{File: file}
	var err error
	switch strings.ToLower(filepath.Ext(file)) {
	case ".toml":
		_, err = settings.Load(file, defaultRunDir())
	case ".json":
		_, err = config.Load(func(key string) string {
			if key == "LB_CONFIG" {
				return file
			}
			return ""
		})
	default:
		result.Instances, err = loadInventory(file)
	}
	if err != nil {
		result.Error = err.Error()
	}
	result.OK = err == nil
	return result
}
