package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"stepwick/cmd/rig/simnode"
)

// controlCost is the flags of the hollow command.
type controlCost struct {
	fronts  []int
	tenants []int
	servers []int
	warmUp  int // seconds
	seconds int
	options simnode.Options // what all measurements share
}

func hollowCommand() *cobra.Command {
	flags := &controlCost{}
	command := &cobra.Command{
		Use:   "hollow",
		Short: "Measure what control costs a node and a core as the fleet grows",
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd.Context()) },
	}
	command.Flags().IntSliceVar(&flags.fronts, "fronts", []int{10, 50, 100}, "numbers of fronts")
	command.Flags().IntSliceVar(&flags.tenants, "tenants", []int{5}, "numbers of tenants in the sheet")
	command.Flags().IntSliceVar(&flags.servers, "servers", []int{0}, "numbers of servers")
	command.Flags().StringToStringVar(&flags.options.Settings, "set", nil, "settings of every process, NAME=VALUE")
	command.Flags().StringVar(&flags.options.HeapProfile, "profile", "", "file for a heap profile of the fronts")
	command.Flags().BoolVar(&flags.options.RestartFronts, "herd", false, "last, stop all fronts and start them anew at once")
	command.Flags().IntVar(&flags.options.Cores, "cores", 3, "number of cores")
	command.Flags().IntVar(&flags.warmUp, "warm", 10, "seconds before the measurement")
	command.Flags().IntVar(&flags.seconds, "seconds", 15, "seconds of the measurement")
	command.Flags().IntVar(&flags.options.Orders, "orders", 10, "changes put in force after it")
	return command
}

// run measures every combination of the numbers given.
func (m *controlCost) run(ctx context.Context) error {
	binary, remove, err := buildProgram()
	if err != nil {
		return err
	}
	defer remove()
	m.options.Binary = binary
	m.options.WarmUp = time.Duration(m.warmUp) * time.Second
	m.options.Duration = time.Duration(m.seconds) * time.Second
	for _, tenants := range m.tenants {
		for _, fronts := range m.fronts {
			for _, servers := range m.servers {
				if err := m.measure(ctx, fronts, tenants, servers); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (m *controlCost) measure(ctx context.Context, fronts, tenants, servers int) error {
	dir, err := os.MkdirTemp("", "stepwick-hollow-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	options := m.options
	options.Dir = dir
	options.Fronts = fronts
	options.Tenants = tenants
	options.Servers = servers
	result, err := simnode.Measure(ctx, options)
	if err != nil {
		return err
	}
	return printJSON(result)
}
