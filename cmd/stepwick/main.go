// Command stepwick runs the processes of a fleet and an operator's commands.
package main

import (
	"os"

	"stepwick/internal/cli"
	"stepwick/internal/kernel"
	"stepwick/internal/node"
)

func main() {
	ctx, cancel := kernel.Signalled()
	code := cli.New(node.Run).Main(ctx, os.Args[1:])
	cancel()
	os.Exit(code)
}
