package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/loadgen"
	"stepwick/cmd/rig/report"
)

func proveCommand() *cobra.Command {
	var (
		list    bool
		names   []string
		seed    uint64
		seeds   int
		length  int
		keep    string
		folder  string
		binary  string
		older   string
		verbose bool
	)
	c := &cobra.Command{Use: "prove", Short: "Cause faults and judge from outside what came of them",
		Example: "  rig prove --list\n  rig prove --case force_core --seed 4\n  rig prove --seed 100 --seeds 20 --seconds 40",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if list {
				for _, p := range faultcase.Cases {
					fmt.Printf("%d  %-16s %3ds  %s\n", p.Group, p.Name, p.Seconds, p.Help)
				}
				rolling := faultcase.RollingUpgrade
				fmt.Printf("%d  %-16s %3ds  %s (not one of all)\n", rolling.Group, rolling.Name, rolling.Seconds, rolling.Help)
				fmt.Printf("-  %-16s %3ds  %s (the one without --case)\n", faultcase.Mix.Name, faultcase.Mix.Seconds, faultcase.Mix.Help)
				return nil
			}
			chosen := []faultcase.Case{faultcase.Mix}
			if len(names) > 0 {
				chosen = nil
				for _, name := range names {
					if name == "all" {
						chosen = append(chosen, faultcase.Cases...)
						continue
					}
					p, ok := faultcase.Find(name)
					if !ok {
						return errors.Errorf("no case %q; see --list", name)
					}
					chosen = append(chosen, p)
				}
			}
			if err := faultcase.CheckPreviousBinary(chosen, older); err != nil {
				return err
			}
			return proveAll(cmd.Context(), chosen, seed, seeds, length, run{keep, folder, binary, older, verbose})
		}}
	c.Flags().BoolVar(&list, "list", false, "list the cases")
	c.Flags().StringSliceVar(&names, "case", nil, "cases to run (all for every one); without it the seed draws a mix")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, from --seed on")
	c.Flags().IntVar(&length, "seconds", 0, "length of a case; 0 for its usual one")
	c.Flags().StringVar(&keep, "keep", "", "folder for ledgers and the nodes' logs")
	c.Flags().StringVar(&folder, "report", "", "folder for JSON lines and plots")
	c.Flags().StringVar(&binary, "binary", "", "a stepwick program that is built already")
	c.Flags().StringVar(&older, "older", "", "the stepwick program of a previous build, for the case roll")
	c.Flags().BoolVar(&verbose, "table", false, "print a line each second")
	return c
}

// run is what is kept and shown of each case.
type run struct {
	keep, folder, binary, previousBinary string
	table                                bool
}

type verdict struct {
	Case       string             `json:"case"`
	Seed       uint64             `json:"seed"`
	Violations int                `json:"violations"`
	Trouble    string             `json:"trouble,omitempty"`
	Served     int                `json:"served"`
	Refused    int                `json:"refused"`
	Failed     int                `json:"failed"`
	Orders     int                `json:"orders_won"`
	Worst      map[string]float64 `json:"worst_span,omitempty"`

	Rolling *faultcase.RollingSummary `json:"rolling,omitempty"`
}

func proveAll(ctx context.Context, chosen []faultcase.Case, seed uint64, seeds, length int, r run) error {
	if r.binary == "" {
		binary, remove, err := built()
		if err != nil {
			return err
		}
		defer remove()
		r.binary = binary
	}
	cases, violations := 0, 0
	for i := range seeds {
		for _, p := range chosen {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			cases++
			v := proveOne(ctx, p, seed+uint64(i), length, r)
			violations += v.Violations
			line, _ := json.Marshal(v)
			fmt.Println(string(line))
		}
	}
	line, _ := json.Marshal(map[string]int{"cases": cases, "violations": violations})
	fmt.Println(string(line))
	if violations > 0 {
		return errors.Errorf("%d violations", violations)
	}
	return nil
}

// proveOne runs one case. A case that could not do its work, such as an order
// that was never accepted, counts as a violation too.
func proveOne(ctx context.Context, p faultcase.Case, seed uint64, length int, r run) verdict {
	o := faultcase.Options{Spec: fleet.FirstDeployment(), Tenants: loadgen.FirstTenants(), Binary: r.binary, PreviousBinary: r.previousBinary, Seed: seed, Seconds: p.Seconds, Out: os.Stdout, PrintTable: r.table}
	if length > 0 {
		o.Seconds = length
	}
	if r.keep != "" {
		o.KeepDir = filepath.Join(r.keep, fmt.Sprintf("%s-%d", p.Name, seed))
	}
	if p.Configure != nil {
		p.Configure(&o)
	}
	v := verdict{Case: p.Name, Seed: seed}
	s, err := faultcase.Start(ctx, o)
	if err != nil {
		v.Trouble, v.Violations = err.Error(), 1
		fmt.Printf("TROUBLE case %s seed %d: %v\n", p.Name, seed, err)
		return v
	}
	s.Wait(2 * time.Second)
	err = p.Run(s)
	l := s.Close()
	found := checker.Check(&l)
	faultcase.PrintViolations(os.Stdout, p.Name, found)
	if r.folder != "" {
		name := fmt.Sprintf("%s-%d", p.Name, seed)
		if err := report.Write(filepath.Join(r.folder, name), name, &l, found); err != nil {
			fmt.Fprintln(os.Stderr, "rig:", err)
		}
	}
	v.Rolling = s.Rolling
	sum := faultcase.Summarize(&l, s.TrafficStart)
	v.Violations, v.Served, v.Refused, v.Failed, v.Orders = len(found), sum.Served, sum.Rejected, sum.Failed, sum.OrdersAcknowledged
	if p.ChecksQuotas() {
		v.Worst = map[string]float64{}
		for name := range l.Allowances {
			share, _ := checker.PeakQuotaUse(&l, name)
			v.Worst[name] = float64(int(share*1000)) / 1000
		}
	}
	if err != nil && ctx.Err() == nil {
		v.Trouble = err.Error()
		v.Violations++
		fmt.Printf("TROUBLE case %s seed %d: %v\n", p.Name, seed, err)
	}
	return v
}
