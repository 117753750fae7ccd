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

// platformSoak is a soak of the platform's path with the flags of its command.
type platformSoak struct {
	name    string // of the folders that are kept
	options gatewaysoak.Options
	seeds   int
	keepDir string
	// run runs the soak of one seed. It returns its summary and the problems in it.
	run func(ctx context.Context, options gatewaysoak.Options) (summary any, problems []string, err error)
}

func gatewaySoakCommand() *cobra.Command {
	soak := &platformSoak{
		name:    "gateway-soak",
		options: gatewaysoak.Options{Machines: 9, Servers: 9, Clients: 6},
		run: func(ctx context.Context, options gatewaysoak.Options) (any, []string, error) {
			summary, err := gatewaysoak.Run(ctx, options)
			return summary, summary.Problems, err
		},
	}
	return soak.command("Restart a fleet behind the platform's gateway while clients keep their connections",
		"  rig gateway-soak --seed 7 --seconds 40\n  rig gateway-soak --seed 100 --seeds 50 --seconds 12\n  rig gateway-soak --machines 60 --clients 4")
}

func evacuationSoakCommand() *cobra.Command {
	soak := &platformSoak{
		name:    "evacuation-soak",
		options: gatewaysoak.Options{Machines: 9, Servers: 9, Clients: 4},
		run: func(ctx context.Context, options gatewaysoak.Options) (any, []string, error) {
			summary, err := gatewaysoak.RunEvacuations(ctx, options)
			return summary, summary.Problems, err
		},
	}
	return soak.command("Evacuate zones in series while machines are frozen, killed and restarted",
		"  rig evacuation-soak --seed 7 --seconds 40\n  rig evacuation-soak --seed 100 --seeds 50 --seconds 30\n  rig evacuation-soak --machines 60 --clients 2")
}

func membershipSoakCommand() *cobra.Command {
	soak := &platformSoak{
		name:    "membership-soak",
		options: gatewaysoak.Options{Machines: 9, Servers: 9, Clients: 2},
		run: func(ctx context.Context, options gatewaysoak.Options) (any, []string, error) {
			summary, err := gatewaysoak.RunMembership(ctx, options)
			return summary, summary.Problems, err
		},
	}
	return soak.command("Send orders in series while machines leave, are lost, freeze and come back, and links are cut",
		"  rig membership-soak --seed 7 --seconds 60\n  rig membership-soak --seed 100 --seeds 50 --seconds 60\n  rig membership-soak --machines 60 --clients 1")
}

func (s *platformSoak) command(short, example string) *cobra.Command {
	command := &cobra.Command{
		Use:     s.name,
		Short:   short,
		Example: example,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if s.options.Machines < 3 {
				return errors.Errorf("--machines is %d; at least 3 are needed", s.options.Machines)
			}
			return s.runSeeds(cmd.Context())
		},
	}
	command.Flags().Uint64Var(&s.options.Seed, "seed", 1, "seed")
	command.Flags().IntVar(&s.seeds, "seeds", 1, "number of consecutive seeds, starting at --seed")
	command.Flags().IntVar(&s.options.Seconds, "seconds", 30, "length of the schedule in seconds")
	command.Flags().IntVar(&s.options.Machines, "machines", s.options.Machines, "machines with a front; the first three also have a core")
	command.Flags().IntVar(&s.options.Servers, "servers", s.options.Servers, "servers")
	command.Flags().IntVar(&s.options.Clients, "clients", s.options.Clients, "clients of each front, with one connection each")
	command.Flags().StringVar(&s.options.Binary, "binary", "", "path of an existing stepwick program; built if empty")
	command.Flags().StringVar(&s.options.OlderBinary, "older", "", "path of an older stepwick program with which processes start first")
	command.Flags().StringVar(&s.keepDir, "keep", "", "folder for the processes' settings, data and logs")
	return command
}

// runSeeds runs the soaks of consecutive seeds and prints a summary of each.
func (s *platformSoak) runSeeds(ctx context.Context) error {
	if s.options.Binary == "" {
		binary, remove, err := buildProgram()
		if err != nil {
			return err
		}
		defer remove()
		s.options.Binary = binary
	}
	for _, path := range []*string{&s.options.Binary, &s.options.OlderBinary} {
		if *path == "" {
			continue
		}
		absolute, err := filepath.Abs(*path)
		if err != nil {
			return errors.WithStack(err)
		}
		*path = absolute
	}
	found := 0
	for i := range s.seeds {
		seeded := s.options
		seeded.Seed = s.options.Seed + uint64(i)
		if s.keepDir != "" {
			seeded.KeepDir = filepath.Join(s.keepDir, fmt.Sprintf("%s-%d", s.name, seeded.Seed))
		}
		summary, problems, err := s.run(ctx, seeded)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seeded.Seed)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		found += len(problems)
		for _, problem := range problems {
			fmt.Fprintf(os.Stderr, "seed %d: %s\n", seeded.Seed, problem)
		}
		if err := printJSON(summary); err != nil {
			return err
		}
	}
	return violationError(found)
}
