package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/loadgen"
)

func scenarioCommand() *cobra.Command {
	seed := uint64(1)
	reportDir := ""
	command := &cobra.Command{
		Use:     "scenario FILE",
		Short:   "Run an experiment from a YAML file: fleet, load phases and timed faults",
		Args:    cobra.ExactArgs(1),
		Example: "  rig scenario cmd/rig/scenarios/two-faults.yaml --report /tmp/two-faults",
		RunE: func(cmd *cobra.Command, args []string) error {
			return runScenario(cmd.Context(), args[0], seed, reportDir)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", seed, "seed of the load")
	command.Flags().StringVar(&reportDir, "report", reportDir, "folder for JSON lines and plots")
	return command
}

func runScenario(ctx context.Context, path string, seed uint64, reportDir string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read scenario")
	}
	scenario, err := faultcase.ParseScenario(data)
	if err != nil {
		return err
	}
	binary, remove, err := buildProgram()
	if err != nil {
		return err
	}
	defer remove()
	options := scenario.Options()
	options.Tenants = loadgen.FirstTenants()
	options.Binary = binary
	options.Seed = seed
	options.Out = os.Stdout
	options.PrintTable = true
	run, err := faultcase.Start(ctx, options)
	if err != nil {
		return err
	}
	scenarioErr := scenario.Run(run)
	result := finishRun(run, path)
	if err := result.writeReport(reportDir, path); err != nil {
		return err
	}
	summary := result.summarize(run.TrafficStart)
	if err := printJSON(summary); err != nil {
		return err
	}
	if scenarioErr != nil {
		return scenarioErr
	}
	return violationError(summary.Violations)
}
