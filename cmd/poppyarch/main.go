// Command poppyarch is a storage broker, with the tools to run a fleet of brokers.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "poppyarch:", err)
		os.Exit(exitCode(err))
	}
}
