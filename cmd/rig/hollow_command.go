package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"stepwick/cmd/rig/simnode"
)

func hollowCommand() *cobra.Command {
	var fronts, tenants, servers []int
	var settings map[string]string
	var cores, warm, span, orders int
	var profile string
	var herd bool
	c := &cobra.Command{Use: "hollow", Short: "Measure what control costs a node and a core as the fleet grows",
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, remove, err := built()
			if err != nil {
				return err
			}
			defer remove()
			for _, t := range tenants {
				for _, n := range fronts {
					for _, m := range servers {
						dir, err := os.MkdirTemp("", "stepwick-hollow-")
						if err != nil {
							return err
						}
						result, err := simnode.Measure(cmd.Context(), simnode.Options{Binary: binary, Dir: dir, Fronts: n, Cores: cores, Tenants: t, Servers: m,
							WarmUp: time.Duration(warm) * time.Second, Duration: time.Duration(span) * time.Second, Orders: orders, Settings: settings, HeapProfile: profile, RestartFronts: herd})
						os.RemoveAll(dir)
						if err != nil {
							return err
						}
						line, err := json.Marshal(result)
						if err != nil {
							return err
						}
						fmt.Println(string(line))
					}
				}
			}
			return nil
		}}
	c.Flags().IntSliceVar(&fronts, "fronts", []int{10, 50, 100}, "numbers of fronts")
	c.Flags().IntSliceVar(&tenants, "tenants", []int{5}, "numbers of tenants in the sheet")
	c.Flags().IntSliceVar(&servers, "servers", []int{0}, "numbers of servers")
	c.Flags().StringToStringVar(&settings, "set", nil, "settings of every process, NAME=VALUE")
	c.Flags().StringVar(&profile, "profile", "", "file for a heap profile of the fronts")
	c.Flags().BoolVar(&herd, "herd", false, "last, stop all fronts and start them anew at once")
	c.Flags().IntVar(&cores, "cores", 3, "number of cores")
	c.Flags().IntVar(&warm, "warm", 10, "seconds before the measurement")
	c.Flags().IntVar(&span, "seconds", 15, "seconds of the measurement")
	c.Flags().IntVar(&orders, "orders", 10, "changes put in force after it")
	return c
}
