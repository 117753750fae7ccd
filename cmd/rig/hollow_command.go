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
	m := &controlCost{}
	c := &cobra.Command{
		Use:   "hollow",
		Short: "Measure what control costs a node and a core as the fleet grows",
		RunE:  func(cmd *cobra.Command, _ []string) error { return m.run(cmd.Context()) },
	}
	c.Flags().IntSliceVar(&m.fronts, "fronts", []int{10, 50, 100}, "numbers of fronts")
	c.Flags().IntSliceVar(&m.tenants, "tenants", []int{5}, "numbers of tenants in the sheet")
	c.Flags().IntSliceVar(&m.servers, "servers", []int{0}, "numbers of servers")
	c.Flags().StringToStringVar(&m.options.Settings, "set", nil, "settings of every process, NAME=VALUE")
	c.Flags().StringVar(&m.options.HeapProfile, "profile", "", "file for a heap profile of the fronts")
	c.Flags().BoolVar(&m.options.RestartFronts, "herd", false, "last, stop all fronts and start them anew at once")
	c.Flags().IntVar(&m.options.Cores, "cores", 3, "number of cores")
	c.Flags().IntVar(&m.warmUp, "warm", 10, "seconds before the measurement")
	c.Flags().IntVar(&m.seconds, "seconds", 15, "seconds of the measurement")
	c.Flags().IntVar(&m.options.Orders, "orders", 10, "changes put in force after it")
	return c
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
