package balance

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Difference is the difference of one figure between two policies under the same
// seeds: its mean with the 95% confidence interval.
type Difference struct {
	Figure    string
	A, B      float64   // means under each policy
	Mean      float64   // of A minus B
	HalfWidth float64   // 95% confidence interval: Mean ± Within; 0 with a single seed
	Each      []float64 // difference under each seed
}

// confidence is the confidence level of the intervals.
const confidence = 0.95

// Compare simulates a site under two policies with the same seeds, and returns the
// difference of each figure.
func Compare(site Site, a, b Policy, seeds []uint64) []Difference {
	var left, right []map[string]float64
	for _, seed := range seeds {
		left = append(left, Simulate(site, a, seed).Figures())
		right = append(right, Simulate(site, b, seed).Figures())
	}
	var all []Difference
	for _, figure := range FigureNames(site) {
		d := Difference{Figure: figure}
		var aValues, bValues []float64
		for i := range seeds {
			aValues, bValues = append(aValues, left[i][figure]), append(bValues, right[i][figure])
			d.Each = append(d.Each, left[i][figure]-right[i][figure])
		}
		d.A, d.B, d.Mean = stat.Mean(aValues, nil), stat.Mean(bValues, nil), stat.Mean(d.Each, nil)
		d.HalfWidth = halfWidth(d.Each)
		all = append(all, d)
	}
	return all
}

// halfWidth returns half the width of the 95% confidence interval of a mean, by
// Student's t-distribution.
func halfWidth(values []float64) float64 {
	n := float64(len(values))
	if n < 2 {
		return 0
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}
	return t.Quantile(1-(1-confidence)/2) * stat.StdDev(values, nil) / math.Sqrt(n)
}

// Names of the figures of a run, except those of each kind of request.
const (
	FigureWorth       = "worth"
	FigureWorst       = "worst windows"
	FigureReadAgain   = "1,000 tokens read again"
	FigureCrossed     = "MB between regions"
	FigureConnections = "connections"
	FigureExcluded    = "servers out for all"
)

// FigureNames returns the names of all figures of a site's runs, in print order.
func FigureNames(site Site) []string {
	names := []string{FigureWorth, FigureWorst, FigureReadAgain, FigureCrossed, FigureConnections, FigureExcluded}
	for _, kind := range site.Kinds {
		names = append(names, kind.Name+" late", kind.Name+" largest tenth", kind.Name+" p50", kind.Name+" p99")
	}
	return names
}

// Figures returns the figures of a run by name.
func (r Result) Figures() map[string]float64 {
	figures := map[string]float64{FigureWorth: r.Worth, FigureWorst: r.WorstWindow, FigureReadAgain: r.SharedTokensReadAgain / 1e3,
		FigureCrossed: r.CrossRegionBytes / 1e6, FigureConnections: float64(r.Connections), FigureExcluded: float64(r.Exclusions)}
	for _, kind := range r.Kinds {
		figures[kind.Name+" late"] = float64(kind.Late) / math.Max(float64(kind.Requests), 1)
		figures[kind.Name+" largest tenth"] = kind.LargestTenthWorth
		figures[kind.Name+" p50"] = kind.P50
		figures[kind.Name+" p99"] = kind.P99
	}
	return figures
}

// Scaled returns a copy of the site in which the numbers of fronts, servers and shared
// parts and the request rates are multiplied by factor.
func (s Site) Scaled(factor float64) Site {
	scale := func(n int) int { return max(1, int(math.Round(float64(n)*factor))) }
	regions := make([]Region, len(s.Regions))
	for i, region := range s.Regions {
		regions[i] = Region{Name: region.Name, Fronts: scale(region.Fronts), Servers: scale(region.Servers)}
	}
	kinds := make([]Kind, len(s.Kinds))
	for i, kind := range s.Kinds {
		kind.PerSecond *= factor
		shared := make([]Shared, len(kind.Shared))
		for j, part := range kind.Shared {
			part.Parts = scale(part.Parts)
			shared[j] = part
		}
		kind.Shared = shared
		kinds[i] = kind
	}
	s.Regions, s.Kinds = regions, kinds
	return s
}
