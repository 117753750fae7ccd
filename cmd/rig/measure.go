package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
)

// longPrompts are tenants whose prefixes do not all fit into one server's cache.
func longPrompts() []loadgen.Tenant {
	plenty := history.Allowance{Rate: 1e7, Burst: 1e7}
	return []loadgen.Tenant{
		{Name: "press", Key: "key-of-press", Service: "digest", Kind: "stream", PerSecond: 60, Prefixes: 60, PrefixTokens: 3000, SessionTokens: 150, MaxTokens: 48, Deadline: 8 * time.Second, Allowance: plenty},
		{Name: "helpdesk", Key: "key-of-helpdesk", Service: "helpline", Kind: "stream", PerSecond: 50, Prefixes: 40, PrefixTokens: 2000, SessionTokens: 200, MaxTokens: 40, Deadline: 8 * time.Second, Allowance: plenty},
	}
}

func built() (binary string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "stepwick-build-")
	if err != nil {
		return "", nil, errors.Wrap(err, "temp folder")
	}
	if binary, err = fleet.Build(dir); err != nil {
		os.RemoveAll(dir)
		return "", nil, err
	}
	return binary, func() { os.RemoveAll(dir) }, nil
}

func routeCommand() *cobra.Command {
	length, seed, factor := 20, uint64(1), 1.0
	strategies := []string{"affinity", "round_robin", "least_loaded"}
	c := &cobra.Command{Use: "route", Short: "Compare prefix affinity with the baselines on long prompts with shared prefixes",
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, remove, err := built()
			if err != nil {
				return err
			}
			defer remove()
			for _, strategy := range strategies {
				s, err := faultcase.Start(cmd.Context(), faultcase.Options{Spec: fleet.FirstDeployment(), Tenants: longPrompts(), Binary: binary, Seed: seed, Seconds: length, Out: os.Stdout,
					SheetSettings: map[string]string{"route.strategy": strategy}})
				if err != nil {
					return err
				}
				s.Callers.SetLoadFactor("", factor)
				s.Wait(5 * time.Second)
				from := s.Recorder.Now()
				s.Wait(time.Duration(length) * time.Second)
				l := s.Close()
				found := checker.Check(&l)
				faultcase.PrintViolations(os.Stdout, strategy, found)
				sum := faultcase.Summarize(&l, from)
				sum.Violations = len(found)
				line, _ := json.Marshal(struct {
					Strategy string `json:"strategy"`
					faultcase.Summary
				}{strategy, sum})
				fmt.Println(string(line))
			}
			return nil
		}}
	c.Flags().IntVar(&length, "seconds", length, "how long to measure each strategy, after 5 s")
	c.Flags().Uint64Var(&seed, "seed", seed, "seed of the load, the same for each")
	c.Flags().Float64Var(&factor, "load", factor, "load as a factor of 110 prompts a second")
	c.Flags().StringSliceVar(&strategies, "strategies", strategies, "strategies to compare")
	return c
}

func costCommand() *cobra.Command {
	count := 400
	c := &cobra.Command{Use: "cost", Short: "Measure what a front adds to a request against calling the server itself",
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, remove, err := built()
			if err != nil {
				return err
			}
			defer remove()
			s, err := faultcase.Start(cmd.Context(), faultcase.Options{Spec: fleet.FirstDeployment(), Tenants: loadgen.FirstTenants(), Binary: binary, Seed: 1, Out: os.Stdout})
			if err != nil {
				return err
			}
			s.Callers.SetLoadFactor("", 0)
			s.Wait(6 * time.Second)
			for _, t := range loadgen.FirstTenants() {
				if t.Kind == "post" {
					continue
				}
				line, _ := json.Marshal(cost(s, t, count))
				fmt.Println(string(line))
			}
			s.Close()
			return nil
		}}
	c.Flags().IntVar(&count, "requests", count, "requests of each kind, one after another, direct and through a front in turns")
	return c
}

type costs struct {
	Tenant     string  `json:"tenant"`
	Kind       string  `json:"kind"`
	Requests   int     `json:"requests"`
	DirectP50  float64 `json:"direct_p50_ms"`
	DirectP95  float64 `json:"direct_p95_ms"`
	ThroughP50 float64 `json:"through_front_p50_ms"`
	ThroughP95 float64 `json:"through_front_p95_ms"`
	AddedP50   float64 `json:"added_p50_ms"`
	Failed     int     `json:"failed"`
}

// cost measures to the first byte of the answer; both ways pass one relay.
func cost(s *faultcase.Run, t loadgen.Tenant, count int) costs {
	direct, through := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	c := costs{Tenant: t.Name, Kind: t.Kind, Requests: count}
	server := "model1"
	if t.Kind != "stream" {
		server = "web1"
	}
	t.MaxTokens = 4
	for i := range count {
		if s.Context().Err() != nil {
			break
		}
		call := loadgen.Call{Tenant: t, Location: s.Fleet.LocationOf(server), Prefix: 1, Chance: .5, FrontAddress: s.Fleet.Nodes[3].CallerAddress, FrontIndex: uint64(i)}
		for _, way := range []*hdrhistogram.Histogram{direct, through} {
			var a history.Attempt
			if way == direct {
				a = s.Callers.DoAtServer(call, s.Fleet.ServerAddress(server))
			} else {
				a = s.Callers.Do(s.Context(), call)
			}
			if a.Outcome != history.Served {
				c.Failed++
				continue
			}
			_ = way.RecordValue((a.First - a.Sent).Microseconds())
		}
	}
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	c.DirectP50, c.DirectP95, c.ThroughP50, c.ThroughP95 = ms(direct, 50), ms(direct, 95), ms(through, 50), ms(through, 95)
	c.AddedP50 = c.ThroughP50 - c.DirectP50
	return c
}
