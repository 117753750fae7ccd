// Command stepwick runs the node processes of a fleet and provides the operators'
// commands.
package main

import (
	"os"

	"stepwick/internal/cli"
	"stepwick/internal/node"
	"stepwick/internal/signals"
	"stepwick/platform"
)

func main() {
	ctx, cancel := signals.NotifyContext()
	app := cli.New(node.Run)
	app.ProcessCommands = append(app.ProcessCommands, platform.Command(app.Serve))
	code := app.Main(ctx, os.Args[1:])
	cancel()
	os.Exit(code)
}
