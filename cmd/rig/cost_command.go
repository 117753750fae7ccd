package main

import (
	"context"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
)

const (
	costWarmUp        = 6 * time.Second
	costAnswerTokens  = 4
	maxMeasuredTime   = time.Minute
	significantDigits = 3
	// calmChance is a Call.Chance at which a caller neither abandons its request nor
	// reads slowly.
	calmChance = 0.5
)

func costCommand() *cobra.Command {
	requests := 400
	command := &cobra.Command{
		Use:   "cost",
		Short: "Measure the latency that a front adds to a request, compared with a direct call to the server",
		RunE:  func(cmd *cobra.Command, _ []string) error { return measureCosts(cmd.Context(), requests) },
	}
	command.Flags().IntVar(&requests, "requests", requests, "sequential requests of each tenant, alternately direct and through a front")
	return command
}

func measureCosts(ctx context.Context, requests int) error {
	binary, remove, err := buildProgram()
	if err != nil {
		return err
	}
	defer remove()
	run, err := faultcase.Start(ctx, faultcase.Options{
		Spec:    fleet.FirstDeployment(),
		Tenants: loadgen.FirstTenants(),
		Binary:  binary,
		Seed:    1,
		Out:     os.Stdout,
	})
	if err != nil {
		return err
	}
	defer run.Close()
	run.Callers.SetLoadFactor("", 0)
	run.Wait(costWarmUp)
	for _, tenant := range loadgen.FirstTenants() {
		if tenant.Kind == history.KindPost {
			continue
		}
		if err := printJSON(measureCost(run, tenant, requests)); err != nil {
			return err
		}
	}
	return nil
}

// requestCost compares the time to the first byte at a server and through a front.
type requestCost struct {
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

// measureCost measures the requests of one tenant. The direct path and the path
// through a front both cross the server's fault proxy.
func measureCost(run *faultcase.Run, tenant loadgen.Tenant, requests int) requestCost {
	direct := hdrhistogram.New(1, maxMeasuredTime.Microseconds(), significantDigits)
	through := hdrhistogram.New(1, maxMeasuredTime.Microseconds(), significantDigits)
	cost := requestCost{
		Tenant:   tenant.Name,
		Kind:     tenant.Kind,
		Requests: requests,
	}
	server := "model1"
	if tenant.Kind != history.KindStream {
		server = "web1"
	}
	tenant.MaxTokens = costAnswerTokens
	for i := range requests {
		if run.Context().Err() != nil {
			break
		}
		call := loadgen.Call{
			Tenant:       tenant,
			Location:     run.Fleet.LocationOf(server),
			Prefix:       1,
			BehaviorDraw: calmChance,
			FrontAddress: run.Fleet.Nodes[3].CallerAddress,
			FrontIndex:   uint64(i),
		}
		cost.recordAttempt(direct, run.Callers.DoAtServer(call, run.Fleet.ServerAddress(server)))
		cost.recordAttempt(through, run.Callers.Do(run.Context(), call))
	}
	cost.DirectP50 = milliseconds(direct, 50)
	cost.DirectP95 = milliseconds(direct, 95)
	cost.ThroughP50 = milliseconds(through, 50)
	cost.ThroughP95 = milliseconds(through, 95)
	cost.AddedP50 = cost.ThroughP50 - cost.DirectP50
	return cost
}

func (c *requestCost) recordAttempt(histogram *hdrhistogram.Histogram, attempt history.Attempt) {
	if attempt.Outcome != history.Served {
		c.Failed++
		return
	}
	_ = histogram.RecordValue((attempt.First - attempt.Sent).Microseconds())
}

func milliseconds(histogram *hdrhistogram.Histogram, percent float64) float64 {
	return float64(histogram.ValueAtQuantile(percent)) / 1000
}
