package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
)

// labDraw returns a command that replaces this process by labplot, the program in the same folder that contains the
// drawing libraries.
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
				return fmt.Errorf("%s: the drawing program is missing; it is built with the others (go build -o bin/ ./cmd/...)", path)
			}
			return fmt.Errorf("%s: %w", path, err)
		}}
}
