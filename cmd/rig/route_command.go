package main

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
)

const routeWarmUp = 5 * time.Second

// routeComparison holds the flags of the route command.
type routeComparison struct {
	seconds    int
	seed       uint64
	loadFactor float64
	strategies []string
}

func routeCommand() *cobra.Command {
	flags := &routeComparison{
		seconds:    20,
		seed:       1,
		loadFactor: 1,
		strategies: []string{"affinity", "round_robin", "least_loaded"},
	}
	command := &cobra.Command{
		Use:   "route",
		Short: "Compare prefix affinity with other routing strategies on long prompts with shared prefixes",
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd.Context()) },
	}
	command.Flags().IntVar(&flags.seconds, "seconds", flags.seconds, "duration of each measurement in seconds, after 5 s of warm-up")
	command.Flags().Uint64Var(&flags.seed, "seed", flags.seed, "seed of the load, the same for each strategy")
	command.Flags().Float64Var(&flags.loadFactor, "load", flags.loadFactor, "load as a multiple of 110 prompts per second")
	command.Flags().StringSliceVar(&flags.strategies, "strategies", flags.strategies, "strategies to compare")
	return command
}

// longPromptTenants returns tenants whose prefixes do not all fit into one
// server's cache.
func longPromptTenants() []loadgen.Tenant {
	largeAllowance := history.Allowance{Rate: 1e7, Burst: 1e7}
	return []loadgen.Tenant{
		{
			Name:          "press",
			Key:           "key-of-press",
			Service:       "digest",
			Kind:          history.KindStream,
			PerSecond:     60,
			Prefixes:      60,
			PrefixTokens:  3000,
			SessionTokens: 150,
			MaxTokens:     48,
			Deadline:      8 * time.Second,
			Allowance:     largeAllowance,
		},
		{
			Name:          "helpdesk",
			Key:           "key-of-helpdesk",
			Service:       "helpline",
			Kind:          history.KindStream,
			PerSecond:     50,
			Prefixes:      40,
			PrefixTokens:  2000,
			SessionTokens: 200,
			MaxTokens:     40,
			Deadline:      8 * time.Second,
			Allowance:     largeAllowance,
		},
	}
}

func (r *routeComparison) run(ctx context.Context) error {
	binary, remove, err := buildProgram()
	if err != nil {
		return err
	}
	defer remove()
	for _, strategy := range r.strategies {
		if err := r.measure(ctx, binary, strategy); err != nil {
			return err
		}
	}
	return nil
}

// strategySummary is the line of the output for one strategy.
type strategySummary struct {
	Strategy string `json:"strategy"`
	faultcase.Summary
}

func (r *routeComparison) measure(ctx context.Context, binary, strategy string) error {
	run, err := faultcase.Start(ctx, faultcase.Options{
		Spec:          fleet.FirstDeployment(),
		Tenants:       longPromptTenants(),
		Binary:        binary,
		Seed:          r.seed,
		Seconds:       r.seconds,
		Out:           os.Stdout,
		SheetSettings: map[string]string{"route.strategy": strategy},
	})
	if err != nil {
		return err
	}
	run.Callers.SetLoadFactor("", r.loadFactor)
	run.Wait(routeWarmUp)
	from := run.Recorder.Now()
	run.Wait(time.Duration(r.seconds) * time.Second)
	result := finishRun(run, strategy)
	return printJSON(strategySummary{strategy, result.summarize(from)})
}
