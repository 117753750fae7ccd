// Command stepwick runs the processes of a fleet and an operator's commands.
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
	app.Processes = append(app.Processes, platform.Command(app.Serve))
	code := app.Main(ctx, os.Args[1:])
	cancel()
	os.Exit(code)
}
