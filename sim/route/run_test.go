package route

import (
	"os"
	"reflect"
	"strconv"
	"testing"
	"time"

	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/route"
)

const (
	fullCap = 20
	maxPeak = 2 * fullCap
)

var modelServer = ServerConfig{Slots: 16, Queue: 8, Prefill: 12000, Decode: 1600, DecodePerRequest: 120, CacheTokens: 120_000, ColdAnswers: 10, ColdSpeed: 0.5}

func baseConfig(seed uint64) Config {
	return Config{Seed: seed, Strategy: route.Affinity, Fronts: 9, Servers: 18, Server: modelServer, Length: 60 * time.Second, Rate: 150,
		Prefixes: 200, Skew: 0.9, PrefixTokens: 3000, SessionTokens: 200, OutputTokens: 100, Deadline: 15 * time.Second, StartWarm: true}
}

// seeds gives the fixed seeds of CI, or 1 to STEPWICK_SEEDS.
func seeds(n int) []uint64 {
	if asked, err := strconv.Atoi(os.Getenv("STEPWICK_SEEDS")); err == nil {
		n = asked
	}
	var all []uint64
	for i := range n {
		all = append(all, uint64(i+1))
	}
	return all
}

func crash(at int, server int) Fault { return Fault{time.Duration(at) * time.Second, server, Crash} }
func cold(at int, server int) Fault {
	return Fault{time.Duration(at) * time.Second, server, RestartCold}
}

func TestCapsHoldUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Config)
		from   int
	}{
		{"all start cold", func(c *Config) { c.StartWarm = false }, 12},
		{"cold return and second loss", func(c *Config) { c.Faults = []Fault{crash(20, 3), cold(30, 3), crash(33, 5)} }, 45},
		{"the same in a crowd, with no bound at the servers", func(c *Config) {
			c.Server.Queue = 10000
			c.Surge, c.SurgeFrom, c.SurgeTo = 10, 20*time.Second, 30*time.Second
			c.Faults = []Fault{crash(15, 3), cold(22, 3), crash(25, 5)}
		}, 37},
		{"a crowd of long answers", func(c *Config) {
			c.Server.Queue = 10000
			c.OutputTokens, c.PrefixTokens = 400, 500
			c.Surge, c.SurgeFrom, c.SurgeTo = 10, 20*time.Second, 30*time.Second
			c.Faults = []Fault{crash(25, 5)}
		}, 37},
		{"all replaced in turn", func(c *Config) {
			for i := range 18 {
				c.Faults = append(c.Faults, Fault{time.Duration(10+i*2) * time.Second, i, Drain}, crash(13+i*2, i),
					Fault{time.Duration(14+i*2) * time.Second, i, Undrain}, cold(14+i*2, i))
			}
		}, 57},
		{"half lost at once and back cold", func(c *Config) {
			for i := range 9 {
				c.Faults = append(c.Faults, crash(20, i*2), cold(25, i*2))
			}
		}, 37},
		{"all clients at one zone's fronts", func(c *Config) { c.FrontWeights = []float64{1, 0, 0, 1, 0, 0, 1, 0, 0} }, 12},
		{"all clients at one front", func(c *Config) { c.FrontWeights = []float64{1, 0, 0, 0, 0, 0, 0, 0, 0} }, 12},
		{"one prefix in three requests of five", func(c *Config) { c.Skew = 2 }, 12},
		{"eight prefixes", func(c *Config) { c.Prefixes = 8 }, 12},
	}
	for _, c := range cases {
		for _, seed := range seeds(2) {
			config := baseConfig(seed)
			c.change(&config)
			result := Run(config)
			peak := 0
			for _, report := range result.Servers {
				peak = max(peak, report.Peak)
			}
			t.Logf("%s, seed %d: %v peak %d %v", c.name, seed, result, peak, result.Codes)
			for _, v := range Check(config, result, maxPeak, time.Duration(c.from)*time.Second) {
				t.Errorf("%s, seed %d: %s", c.name, seed, v)
			}
		}
	}
}

// TestRestartBeforeDetection crashes servers that restart, cold, before any health
// check has found them down. Until their new status arrives the fronts know of it only
// by refused connections, so that the bound of slow start may be exceeded, but by few.
func TestRestartBeforeDetection(t *testing.T) {
	const maxExcess = 8
	worst := 0
	for _, seed := range seeds(4) {
		config := baseConfig(seed)
		for i := range 6 {
			config.Faults = append(config.Faults, crash(20+4*i, 3*i), Fault{time.Duration(20+4*i)*time.Second + 200*time.Millisecond, 3 * i, RestartCold})
		}
		for _, report := range Run(config).Servers {
			worst = max(worst, report.MaxExcess)
			if report.MaxExcess > maxExcess {
				t.Errorf("seed %d: %s had %d in flight beyond its ramp", seed, report.Server, report.MaxExcess)
			}
		}
	}
	t.Logf("at most %d beyond the ramp", worst)
}

func TestCheckerFindsFloods(t *testing.T) {
	config := baseConfig(1)
	config.Faults = []Fault{crash(20, 3), cold(22, 3)}
	config.Policy = plan.Policy{SlowStartCap: fullCap}
	if len(Check(config, Run(config), maxPeak, 45*time.Second)) == 0 {
		t.Error("a server without a ramp was not seen to be flooded")
	}
	config = baseConfig(1)
	config.Server.Queue = 10000
	config.Surge, config.SurgeFrom, config.SurgeTo = 10, 20*time.Second, 30*time.Second
	config.Policy = plan.Policy{QueueFraction: 10}
	if len(Check(config, Run(config), maxPeak, 45*time.Second)) == 0 {
		t.Error("servers without a cap were not seen to be flooded")
	}
	config = baseConfig(1)
	for i := range 18 {
		config.Faults = append(config.Faults, crash(30, i))
	}
	if len(Check(config, Run(config), maxPeak, 45*time.Second)) == 0 {
		t.Error("a fleet without servers was not seen to serve nothing")
	}
}

func TestAffinityBeatsBaselines(t *testing.T) {
	for _, rate := range []float64{60, 150} {
		for _, seed := range seeds(2) {
			results := map[route.Strategy]Result{}
			for _, strategy := range []route.Strategy{route.Affinity, route.RoundRobin, route.LeastLoaded} {
				config := baseConfig(seed)
				config.Strategy, config.Rate = strategy, rate
				results[strategy] = Run(config)
				t.Logf("%.0f/s seed %d %s: %v", rate, seed, strategy, results[strategy])
			}
			for _, base := range []route.Strategy{route.RoundRobin, route.LeastLoaded} {
				a, b := results[route.Affinity], results[base]
				if a.HitRatio() <= b.HitRatio() || a.Quantile(0.5) > b.Quantile(0.5) || a.Quantile(0.95) >= b.Quantile(0.95) || a.Served < b.Served {
					t.Errorf("%.0f/s seed %d: affinity %v, %s %v", rate, seed, a, base, b)
				}
			}
		}
	}
}

func TestEqualRunsAreEqual(t *testing.T) {
	config := baseConfig(1)
	config.Faults = []Fault{crash(20, 3), cold(30, 3)}
	if !reflect.DeepEqual(Run(config), Run(config)) {
		t.Error("equal runs differ")
	}
}
