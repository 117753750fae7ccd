package main

import (
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/simnode"
)

func slopesCommand() *cobra.Command {
	var servers, tenants []int
	command := &cobra.Command{
		Use:   "slopes",
		Short: "Measure the memory, size and time that state takes as servers and tenants grow",
		RunE:  func(*cobra.Command, []string) error { return printStateCosts(servers, tenants) },
	}
	command.Flags().IntSliceVar(&servers, "servers", []int{21, 200, 1000, 12000}, "numbers of servers")
	command.Flags().IntSliceVar(&tenants, "tenants", []int{5, 100, 1000, 14000}, "numbers of tenants")
	return command
}

// printStateCosts prints one line of JSON for each number of servers and of tenants.
func printStateCosts(servers, tenants []int) error {
	for _, count := range servers {
		if err := printJSON(simnode.MeasureServerState(count)); err != nil {
			return err
		}
	}
	for _, count := range tenants {
		cost, err := simnode.MeasureTenantState(count)
		if err != nil {
			return err
		}
		if err := printJSON(cost); err != nil {
			return err
		}
	}
	return nil
}
