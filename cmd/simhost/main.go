// Command simhost hosts many instances of the decision module and speaks the simulator's wire on
// standard input and output. The instances share nothing.
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
