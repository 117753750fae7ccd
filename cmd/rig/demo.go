package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
	"stepwick/cmd/rig/report"
)

func demoCommand() *cobra.Command {
	length, seed, keep, folder := 15, uint64(1), "", ""
	c := &cobra.Command{Use: "demo", Short: "Serve the first deployment's load while operators submit changes",
		RunE: func(cmd *cobra.Command, _ []string) error { return demo(cmd.Context(), length, seed, keep, folder) }}
	c.Flags().IntVar(&length, "seconds", length, "how long to serve")
	c.Flags().Uint64Var(&seed, "seed", seed, "seed of the load")
	c.Flags().StringVar(&keep, "keep", keep, "folder for the ledger and the nodes' logs")
	c.Flags().StringVar(&folder, "report", folder, "folder for JSON lines and plots")
	return c
}

func demo(ctx context.Context, length int, seed uint64, keep, folder string) error {
	binary, remove, err := built()
	if err != nil {
		return err
	}
	defer remove()
	s, err := faultcase.Start(ctx, faultcase.Options{Spec: fleet.FirstDeployment(), Tenants: loadgen.FirstTenants(), Binary: binary, Seed: seed, Seconds: length, KeepDir: keep, Out: os.Stdout, PrintTable: true})
	if err != nil {
		return err
	}
	troubles := operate(s, length)
	versions := s.NodeVersions(5 * time.Second)
	l := s.Close()
	found := checker.Check(&l)
	faultcase.PrintViolations(os.Stdout, "demo", found)
	if folder != "" {
		if err := report.Write(folder, "demo", &l, found); err != nil {
			return err
		}
	}
	for _, t := range troubles {
		fmt.Println("TROUBLE", t)
	}
	_, newest := s.Operators.NewestKey()
	for node, version := range versions {
		if version != newest {
			troubles = append(troubles, node)
			fmt.Printf("TROUBLE node %s is not at the newest sheet epoch %d\n", node, newest)
		}
	}
	sum := faultcase.Summarize(&l, s.TrafficStart)
	sum.Violations, sum.Versions = len(found)+len(troubles), versions
	line, _ := json.Marshal(sum)
	fmt.Println(string(line))
	if sum.Violations > 0 {
		return errors.Errorf("%d violations", sum.Violations)
	}
	return nil
}

// operate submits 30 changes in a row, one race and one order whose answer is
// lost, while the fleet serves, and returns what did not go as it must.
func operate(s *faultcase.Run, length int) (troubles []string) {
	until := s.Recorder.Now() + time.Duration(length)*time.Second
	ctx, cancel := context.WithTimeout(s.Context(), time.Duration(length)*time.Second+20*time.Second)
	defer cancel()
	s.Wait(2 * time.Second)
	base, ok := s.Operators.SheetVersion(ctx, s.Fleet.Nodes)
	if !ok {
		return []string{"no node gave the sheet"}
	}
	for i := range 30 {
		told := s.Operators.Submit(ctx, s.Operators.Change("ade", base), s.Fleet.NodesFrom(i))
		if !told.Acknowledged() {
			return append(troubles, fmt.Sprintf("change %d: status %d code %d %s", i+1, told.Status, told.Code, told.Detail))
		}
		base = told.Version
	}
	racers := []*loadgen.Order{s.Operators.Change("ade", base), s.Operators.Change("bola", base)}
	told := make([]history.Order, 2)
	var both sync.WaitGroup
	for i, o := range racers {
		o.Race = "demo"
		both.Go(func() { told[i] = s.Operators.Submit(ctx, o, s.Fleet.NodesFrom(i*4)) })
	}
	both.Wait()
	if told[0].Acknowledged() == told[1].Acknowledged() {
		troubles = append(troubles, fmt.Sprintf("race: %d/%d and %d/%d", told[0].Status, told[0].Code, told[1].Status, told[1].Code))
	}
	_, base = s.Operators.NewestKey()
	lost := s.Operators.Change("bola", base)
	s.Operators.Send(lost, s.Fleet.Nodes[1], 5*time.Millisecond)
	first := s.Operators.Submit(ctx, lost, s.Fleet.NodesFrom(2))
	again := s.Operators.Submit(ctx, lost, s.Fleet.NodesFrom(5))
	if !first.Acknowledged() || !again.Acknowledged() || first.Version != again.Version {
		troubles = append(troubles, fmt.Sprintf("lost answer: %d/%d epoch %d, again %d/%d epoch %d", first.Status, first.Code, first.Version, again.Status, again.Code, again.Version))
	}
	if back, _ := s.Operators.ReadSheet(s.Fleet.Nodes[3], true); back.Status != 200 {
		troubles = append(troubles, fmt.Sprintf("read back: status %d code %d", back.Status, back.Code))
	}
	if left := until - s.Recorder.Now(); left > 0 {
		s.Wait(left)
	}
	return troubles
}
