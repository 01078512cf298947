// Command magnoliahill runs an entry host and provides the commands of operators.
package main

import (
	"os"

	"magnoliahill.example/magnoliahill/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args[1:], os.Stdout, os.Stderr))
}
