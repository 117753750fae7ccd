package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
)

const (
	demoChanges        = 30
	demoOperatorsGrace = 20 * time.Second // extra time for orders after the demo's duration
	demoLossDelay      = 5 * time.Millisecond
	demoVersionTimeout = 5 * time.Second
)

// demo holds the flags of the demo command.
type demo struct {
	seconds int
	seed    uint64
	keepDir string
	report  string // directory of the report; empty for none
}

func demoCommand() *cobra.Command {
	flags := &demo{seconds: 15, seed: 1}
	command := &cobra.Command{
		Use:   "demo",
		Short: "Serve the first deployment's load while operators submit changes",
		RunE:  func(cmd *cobra.Command, _ []string) error { return flags.run(cmd.Context()) },
	}
	command.Flags().IntVar(&flags.seconds, "seconds", flags.seconds, "duration of the load in seconds")
	command.Flags().Uint64Var(&flags.seed, "seed", flags.seed, "seed of the load")
	command.Flags().StringVar(&flags.keepDir, "keep", flags.keepDir, "folder for the ledger and the nodes' logs")
	command.Flags().StringVar(&flags.report, "report", flags.report, "folder for JSON lines and plots")
	return command
}

func (d *demo) run(ctx context.Context) error {
	binary, remove, err := buildProgram()
	if err != nil {
		return err
	}
	defer remove()
	run, err := faultcase.Start(ctx, faultcase.Options{
		Spec:       fleet.FirstDeployment(),
		Tenants:    loadgen.FirstTenants(),
		Binary:     binary,
		Seed:       d.seed,
		Seconds:    d.seconds,
		KeepDir:    d.keepDir,
		Out:        os.Stdout,
		PrintTable: true,
	})
	if err != nil {
		return err
	}
	problems := runOperatorChecks(run, d.seconds)
	versions := run.NodeVersions(demoVersionTimeout)
	result := finishRun(run, "demo")
	if err := result.writeReport(d.report, "demo"); err != nil {
		return err
	}
	_, newest := run.Operators.NewestKey()
	for node, version := range versions {
		if version != newest {
			problems = append(problems, fmt.Sprintf("node %s is not at the newest sheet epoch %d", node, newest))
		}
	}
	for _, problem := range problems {
		fmt.Println("TROUBLE", problem)
	}
	summary := result.summarize(run.TrafficStart)
	summary.Violations += len(problems)
	summary.Versions = versions
	if err := printJSON(summary); err != nil {
		return err
	}
	return violationError(summary.Violations)
}

// runOperatorChecks submits a series of changes, two concurrent changes on one base and an
// order whose answer is lost while the fleet serves requests. It returns the problems
// found.
func runOperatorChecks(run *faultcase.Run, length int) []string {
	duration := time.Duration(length) * time.Second
	trafficEnd := run.Recorder.Now() + duration
	ctx, cancel := context.WithTimeout(run.Context(), duration+demoOperatorsGrace)
	defer cancel()
	run.Wait(2 * time.Second)
	base, ok := run.Operators.SheetVersion(ctx, run.Fleet.Nodes)
	if !ok {
		return []string{"no node returned the sheet"}
	}
	base, problem := submitInRow(ctx, run, base)
	if problem != "" {
		return []string{problem}
	}
	var problems []string
	for _, check := range []string{
		raceOnBase(ctx, run, base),
		resendAfterLostAnswer(ctx, run),
		readBackOnce(run),
	} {
		if check != "" {
			problems = append(problems, check)
		}
	}
	if remaining := trafficEnd - run.Recorder.Now(); remaining > 0 {
		run.Wait(remaining)
	}
	return problems
}

// submitInRow submits changes one after another and returns the base version for the
// next change. Like the checks below, it returns a description of the problem found,
// or an empty string.
func submitInRow(ctx context.Context, run *faultcase.Run, base uint64) (next uint64, problem string) {
	for i := range demoChanges {
		answer := run.Operators.Submit(ctx, run.Operators.Patch("ade", base), run.Fleet.NodesStartingAt(i))
		if !answer.Acknowledged() {
			return base, fmt.Sprintf("change %d: status %d code %d %s", i+1, answer.Status, answer.Code, answer.Detail)
		}
		base = answer.Version
	}
	return base, ""
}

// raceOnBase submits two changes on one base concurrently: exactly one must be
// acknowledged.
func raceOnBase(ctx context.Context, run *faultcase.Run, base uint64) (problem string) {
	orders := []*loadgen.Order{run.Operators.Patch("ade", base), run.Operators.Patch("bola", base)}
	answers := make([]history.Order, len(orders))
	var submissions sync.WaitGroup
	for i, order := range orders {
		order.Race = "demo"
		submissions.Go(func() { answers[i] = run.Operators.Submit(ctx, order, run.Fleet.NodesStartingAt(i*4)) })
	}
	submissions.Wait()
	first, second := answers[0], answers[1]
	if first.Acknowledged() == second.Acknowledged() {
		return fmt.Sprintf("race: %d/%d and %d/%d", first.Status, first.Code, second.Status, second.Code)
	}
	return ""
}

// resendAfterLostAnswer sends one order three times and loses the answer to the
// first: the other two answers must be the same.
func resendAfterLostAnswer(ctx context.Context, run *faultcase.Run) (problem string) {
	_, base := run.Operators.NewestKey()
	order := run.Operators.Patch("bola", base)
	run.Operators.Send(order, run.Fleet.Nodes[1], demoLossDelay)
	firstAnswer := run.Operators.Submit(ctx, order, run.Fleet.NodesStartingAt(2))
	repeatedAnswer := run.Operators.Submit(ctx, order, run.Fleet.NodesStartingAt(5))
	if !firstAnswer.Acknowledged() || !repeatedAnswer.Acknowledged() || firstAnswer.Version != repeatedAnswer.Version {
		return fmt.Sprintf("lost answer: %d/%d epoch %d, again %d/%d epoch %d",
			firstAnswer.Status, firstAnswer.Code, firstAnswer.Version, repeatedAnswer.Status, repeatedAnswer.Code, repeatedAnswer.Version)
	}
	return ""
}

func readBackOnce(run *faultcase.Run) (problem string) {
	read, _ := run.Operators.ReadSheet(run.Fleet.Nodes[3], true)
	if read.Status != http.StatusOK {
		return fmt.Sprintf("read back: status %d code %d", read.Status, read.Code)
	}
	return ""
}
