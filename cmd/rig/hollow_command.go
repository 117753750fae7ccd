package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"stepwick/cmd/rig/simnode"
)

// hollowRun holds the flags of the hollow command.
type hollowRun struct {
	fronts  []int
	tenants []int
	servers []int
	warmUp  int // seconds
	seconds int
	options simnode.Options // shared by all measurements
}

func hollowCommand() *cobra.Command {
	flags := &hollowRun{}
	command := &cobra.Command{
		Use:   "hollow",
		Short: "Measure the cost of the control plane per front and core as the fleet grows",
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd.Context()) },
	}
	command.Flags().IntSliceVar(&flags.fronts, "fronts", []int{10, 50, 100}, "numbers of fronts")
	command.Flags().IntSliceVar(&flags.tenants, "tenants", []int{5}, "numbers of tenants in the sheet")
	command.Flags().IntSliceVar(&flags.servers, "servers", []int{0}, "numbers of servers")
	command.Flags().StringToStringVar(&flags.options.Settings, "set", nil, "settings of every process, NAME=VALUE")
	command.Flags().StringVar(&flags.options.HeapProfile, "profile", "", "file for a heap profile of the fronts")
	command.Flags().BoolVar(&flags.options.RestartFronts, "herd", false, "finally stop all fronts and restart them at the same time")
	command.Flags().IntVar(&flags.options.Cores, "cores", 3, "number of cores")
	command.Flags().IntVar(&flags.warmUp, "warm", 10, "seconds before the measurement")
	command.Flags().IntVar(&flags.seconds, "seconds", 15, "seconds of the measurement")
	command.Flags().IntVar(&flags.options.Orders, "orders", 10, "changes submitted one after another after the measurement")
	return command
}

// run measures every combination of the given numbers of tenants, fronts and servers.
func (m *hollowRun) run(ctx context.Context) error {
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

func (m *hollowRun) measure(ctx context.Context, fronts, tenants, servers int) error {
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
