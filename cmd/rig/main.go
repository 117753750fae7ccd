// Command rig tests stepwick from outside: it runs whole fleets as real processes
// on loopback addresses, injects faults, and checks what callers, servers,
// operators and the platform observed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{
		Use:           "rig",
		Short:         "Test stepwick from outside",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		demoCommand(),
		proveCommand(),
		soakCommand(),
		gatewaySoakCommand(),
		evacuationSoakCommand(),
		membershipSoakCommand(),
		routeCommand(),
		costCommand(),
		scenarioCommand(),
		standInsCommand(),
		pagesCommand(),
		hollowCommand(),
		slopesCommand(),
		experimentCommand(),
		upCommand(),
	)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		stop()
		os.Exit(1)
	}
}
