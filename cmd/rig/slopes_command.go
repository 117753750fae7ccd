package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"stepwick/cmd/rig/simnode"
)

func slopesCommand() *cobra.Command {
	var servers, tenants []int
	c := &cobra.Command{Use: "slopes", Short: "Measure what state costs as servers and tenants grow",
		RunE: func(*cobra.Command, []string) error {
			show := func(slope simnode.StateCost) error {
				line, err := json.Marshal(slope)
				fmt.Println(string(line))
				return err
			}
			for _, n := range servers {
				if err := show(simnode.MeasureServerState(n)); err != nil {
					return err
				}
			}
			for _, n := range tenants {
				slope, err := simnode.MeasureTenantState(n)
				if err != nil {
					return err
				}
				if err := show(slope); err != nil {
					return err
				}
			}
			return nil
		}}
	c.Flags().IntSliceVar(&servers, "servers", []int{21, 200, 1000, 12000}, "numbers of servers")
	c.Flags().IntSliceVar(&tenants, "tenants", []int{5, 100, 1000, 14000}, "numbers of tenants")
	return c
}
