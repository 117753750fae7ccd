package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/loadgen"
	"stepwick/cmd/rig/report"
)

func scenarioCommand() *cobra.Command {
	seed, folder := uint64(1), ""
	c := &cobra.Command{Use: "scenario FILE", Short: "Play an experiment from a YAML file: fleet, load phases, faults at times", Args: cobra.ExactArgs(1),
		Example: "  rig scenario cmd/rig/scenarios/two-faults.yaml --report /tmp/two-faults",
		RunE: func(cmd *cobra.Command, args []string) error {
			data, err := os.ReadFile(args[0])
			if err != nil {
				return errors.Wrap(err, "scenario")
			}
			sc, err := faultcase.ParseScenario(data)
			if err != nil {
				return err
			}
			binary, remove, err := built()
			if err != nil {
				return err
			}
			defer remove()
			o := sc.Options()
			o.Tenants, o.Binary, o.Seed, o.Out, o.PrintTable = loadgen.FirstTenants(), binary, seed, os.Stdout, true
			s, err := faultcase.Start(cmd.Context(), o)
			if err != nil {
				return err
			}
			trouble := sc.Run(s)
			l := s.Close()
			found := checker.Check(&l)
			faultcase.PrintViolations(os.Stdout, args[0], found)
			if folder != "" {
				if err := report.Write(folder, args[0], &l, found); err != nil {
					return err
				}
			}
			sum := faultcase.Summarize(&l, s.TrafficStart)
			sum.Violations = len(found)
			line, _ := json.Marshal(sum)
			fmt.Println(string(line))
			if trouble == nil && len(found) > 0 {
				trouble = errors.Errorf("%d violations", len(found))
			}
			return trouble
		}}
	c.Flags().Uint64Var(&seed, "seed", seed, "seed of the load")
	c.Flags().StringVar(&folder, "report", folder, "folder for JSON lines and plots")
	return c
}
