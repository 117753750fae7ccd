package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/gatewaysoak"
)

func gatewaySoakCommand() *cobra.Command {
	options := gatewaysoak.Options{Machines: 9, Servers: 9, Clients: 6}
	var seeds int
	var keepDir string
	command := &cobra.Command{
		Use:     "gateway-soak",
		Short:   "Restart a fleet behind the platform's gateway while clients keep their connections",
		Example: "  rig gateway-soak --seed 7 --seconds 40\n  rig gateway-soak --seed 100 --seeds 50 --seconds 12\n  rig gateway-soak --machines 60 --clients 4",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if options.Machines < 3 {
				return errors.Errorf("--machines is %d; at least 3 are needed", options.Machines)
			}
			return runGatewaySoaks(cmd.Context(), options, seeds, keepDir)
		},
	}
	command.Flags().Uint64Var(&options.Seed, "seed", 1, "seed")
	command.Flags().IntVar(&seeds, "seeds", 1, "number of consecutive seeds, starting at --seed")
	command.Flags().IntVar(&options.Seconds, "seconds", 30, "length of the schedule in seconds")
	command.Flags().IntVar(&options.Machines, "machines", options.Machines, "machines with a front; the first three also have a core")
	command.Flags().IntVar(&options.Servers, "servers", options.Servers, "servers")
	command.Flags().IntVar(&options.Clients, "clients", options.Clients, "clients of each front, with one connection each")
	command.Flags().StringVar(&options.Binary, "binary", "", "path of an existing stepwick program; built if empty")
	command.Flags().StringVar(&keepDir, "keep", "", "folder for the processes' settings, data and logs")
	return command
}

// runGatewaySoaks runs the soaks of consecutive seeds and prints a line for each.
func runGatewaySoaks(ctx context.Context, options gatewaysoak.Options, seeds int, keepDir string) error {
	if options.Binary == "" {
		binary, remove, err := buildProgram()
		if err != nil {
			return err
		}
		defer remove()
		options.Binary = binary
	}
	binary, err := filepath.Abs(options.Binary)
	if err != nil {
		return errors.WithStack(err)
	}
	options.Binary = binary
	problems := 0
	for i := range seeds {
		seeded := options
		seeded.Seed = options.Seed + uint64(i)
		if keepDir != "" {
			seeded.KeepDir = filepath.Join(keepDir, fmt.Sprintf("gateway-soak-%d", seeded.Seed))
		}
		summary, err := gatewaysoak.Run(ctx, seeded)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seeded.Seed)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		problems += len(summary.Problems)
		for _, problem := range summary.Problems {
			fmt.Fprintf(os.Stderr, "seed %d: %s\n", seeded.Seed, problem)
		}
		if err := printJSON(summary); err != nil {
			return err
		}
	}
	return violationError(problems)
}
