package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// labDraw hands a command on to labplot, which stands beside this program and has what it takes to draw.
func labDraw(use, short string) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, DisableFlagParsing: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			path := filepath.Join(filepath.Dir(self), "labplot")
			err = syscall.Exec(path, append([]string{path, cmd.Name()}, args...), os.Environ())
			if errors.Is(err, os.ErrNotExist) {
				return fmt.Errorf("%s: the program that draws is not there; it is built with the others (go build -o bin/ ./cmd/...)", path)
			}
			return fmt.Errorf("%s: %w", path, err)
		}}
}
