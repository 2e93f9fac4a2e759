// Command simhost hosts instances of the decision module for the platform's simulator. It reads the simulator's
// messages from standard input and writes the responses to standard output. The instances share no state.
package main

import (
	"fmt"
	"os"

	"poppyarch/internal/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
