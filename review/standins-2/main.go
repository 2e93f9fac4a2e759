package main

import (
	"fmt"
	"os"
)

// plays holds the cases by name; each file of a case adds its own.
var plays = map[string]func(*bench){}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Println("usage: standins-2 CASE FOLDER, from the root of the repository")
		os.Exit(2)
	}
	plays[os.Args[1]](newBench(os.Args[2]))
}
