package main

import (
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/faultcase"
)

func soakCommand() *cobra.Command {
	flags := &proveRun{}
	size := faultcase.SmallSoak()
	command := &cobra.Command{
		Use:     "soak",
		Short:   "Inject overlapping series of faults into a fleet while clients keep their connections",
		Example: "  rig soak --seed 7 --seconds 60\n  rig soak --seed 100 --seeds 50 --seconds 10\n  rig soak --fronts 100 --cores 5 --clients 200",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.runAll(cmd.Context(), []faultcase.Case{faultcase.Soak(size)})
		},
	}
	flags.addRunFlags(command)
	command.Flags().IntVar(&size.Cores, "cores", size.Cores, "nodes with a disk: 1, 3, 5 or 7")
	command.Flags().IntVar(&size.Fronts, "fronts", size.Fronts, "nodes without a disk")
	command.Flags().IntVar(&size.Models, "models", size.Models, "model servers")
	command.Flags().IntVar(&size.Webs, "webs", size.Webs, "web servers")
	command.Flags().IntVar(&size.Clients, "clients", size.Clients, "clients with one persistent connection each")
	return command
}
