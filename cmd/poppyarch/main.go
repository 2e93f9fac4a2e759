// Command poppyarch is the storage broker and the tools to run many of it.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "poppyarch:", err)
		os.Exit(code(err))
	}
}
