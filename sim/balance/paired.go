package balance

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is what one figure of a policy is above another policy's, under the
// same seeds: the mean, and half the width of its 95% interval.
type Difference struct {
	Figure string
	A, B   float64 // means
	Mean   float64 // of A less B
	Within float64 // 95% interval: Mean ± Within; 0 with a single seed
	Each   []float64
}

// confidence is of the intervals.
const confidence = 0.95

// Compare plays a site under two policies with the same seeds.
func Compare(site Site, a, b Policy, seeds []uint64) []Difference {
	var left, right []map[string]float64
	for _, seed := range seeds {
		left = append(left, Play(site, a, seed).Figures())
		right = append(right, Play(site, b, seed).Figures())
	}
	var all []Difference
	for _, figure := range FigureNames(site) {
		d := Difference{Figure: figure}
		var as, bs []float64
		for i := range seeds {
			as, bs = append(as, left[i][figure]), append(bs, right[i][figure])
			d.Each = append(d.Each, left[i][figure]-right[i][figure])
		}
		d.A, d.B, d.Mean = stat.Mean(as, nil), stat.Mean(bs, nil), stat.Mean(d.Each, nil)
		d.Within = halfWidth(d.Each)
		all = append(all, d)
	}
	return all
}

// halfWidth is half the width of the 95% interval of a mean, by Student's t.
func halfWidth(values []float64) float64 {
	n := float64(len(values))
	if n < 2 {
		return 0
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
	return t.Quantile(1-(1-confidence)/2) * stat.StdDev(values, nil) / math.Sqrt(n)
}

// Names of the figures of a run beside those of its kinds.
const (
	FigureWorth       = "worth"
	FigureWorst       = "worst windows"
	FigureReadAgain   = "1,000 tokens read again"
	FigureCrossed     = "MB between regions"
	FigureConnections = "connections"
	FigureExcluded    = "servers out for all"
)

// FigureNames lists the figures of a site's runs in the order of their print.
func FigureNames(site Site) []string {
	names := []string{FigureWorth, FigureWorst, FigureReadAgain, FigureCrossed, FigureConnections, FigureExcluded}
	for _, kind := range site.Kinds {
		names = append(names, kind.Name+" late", kind.Name+" largest tenth", kind.Name+" p50", kind.Name+" p99")
	}
	return names
}

// Figures returns a run's figures by name.
func (r Result) Figures() map[string]float64 {
	figures := map[string]float64{FigureWorth: r.Worth, FigureWorst: r.WorstWindow, FigureReadAgain: r.ReadAgain / 1e3,
		FigureCrossed: r.Crossed / 1e6, FigureConnections: float64(r.Connections), FigureExcluded: float64(r.Excluded)}
	for _, kind := range r.Kinds {
		figures[kind.Name+" late"] = float64(kind.Late) / math.Max(float64(kind.Asked), 1)
		figures[kind.Name+" largest tenth"] = kind.Large
		figures[kind.Name+" p50"] = kind.P50
		figures[kind.Name+" p99"] = kind.P99
	}
	return figures
}

// Scaled returns a site of so many times the fronts, servers, shared parts and
// requests.
func (s Site) Scaled(factor float64) Site {
	times := func(n int) int { return max(1, int(math.Round(float64(n)*factor))) }
	regions := make([]Region, len(s.Regions))
	for i, region := range s.Regions {
		regions[i] = Region{Name: region.Name, Fronts: times(region.Fronts), Servers: times(region.Servers)}
	}
	kinds := make([]Kind, len(s.Kinds))
	for i, kind := range s.Kinds {
		kind.PerSecond *= factor
		shared := make([]Shared, len(kind.Shared))
		for j, part := range kind.Shared {
			part.Things = times(part.Things)
			shared[j] = part
		}
		kind.Shared = shared
		kinds[i] = kind
	}
	s.Regions, s.Kinds = regions, kinds
	return s
}
