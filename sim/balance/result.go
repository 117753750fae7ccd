package balance

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// windowMS is the length of the windows of which the worst count.
const windowMS = 2000

// Result is the result of a run.
type Result struct {
	Worth       float64 // earned of what was owed
	WorstWindow float64 // of the mean of the two worst windows of two seconds
	Kinds       []KindResult
	Read        float64 // tokens of shared parts
	ReadAgain   float64 // of them that another server had read of late
	Crossed     float64 // bytes between regions
	Connections int
	Suspicions  int // servers found silent
	Excluded    int // times that a server was out for all fronts

	asked []answered
}

// KindResult is the result of one kind of requests. Times are milliseconds to the
// first token.
type KindResult struct {
	Name     string
	Asked    int
	Late     int
	Paused   int // late by a pause alone
	P50, P99 float64
	Large    float64 // worth of the largest tenth
}

type answered struct {
	kind   string
	came   float64
	took   float64
	owed   float64
	earned float64
	size   float64
	late   bool
	paused bool
}

// outcome is the end of a request.
type outcome struct {
	served bool
	took   float64 // ms to the first token
	pause  float64 // ms, the longest between two events
}

func (r *Result) ended(q *request, end outcome) {
	size := q.own + 10*q.out
	for _, p := range q.chain {
		size += p.tokens
	}
	one := answered{kind: q.kind.Name, came: q.came, took: end.took, owed: q.kind.Worth, size: size}
	switch {
	case end.served && one.took <= q.kind.Objective && end.pause <= q.kind.Pause:
		one.earned = q.kind.Worth
	case end.served:
		one.earned, one.late = q.kind.LateWorth, true
		one.paused = one.took <= q.kind.Objective
	default:
		one.late = true
	}
	r.asked = append(r.asked, one)
}

// finished computes the figures.
func (r Result) finished(site Site) Result {
	r.weigh(site)
	earned, owed := 0.0, 0.0
	windows := map[int][2]float64{}
	for _, a := range r.asked {
		earned += a.earned
		owed += a.owed
		w := windows[int(a.came/windowMS)]
		windows[int(a.came/windowMS)] = [2]float64{w[0] + a.earned, w[1] + a.owed}
	}
	r.Worth = earned / math.Max(owed, 1)
	var shares []float64
	for _, w := range windows {
		shares = append(shares, w[0]/w[1])
	}
	slices.Sort(shares)
	r.WorstWindow = stat.Mean(shares[:min(2, len(shares))], nil)
	for _, kind := range site.Kinds {
		r.Kinds = append(r.Kinds, r.ofKind(kind))
	}
	r.asked = nil
	return r
}

// weigh makes what a request is owed grow with its size, around the mean of its
// kind.
func (r *Result) weigh(site Site) {
	for _, kind := range site.Kinds {
		total, count := 0.0, 0.0
		for _, a := range r.asked {
			if a.kind == kind.Name {
				total += a.size
				count++
			}
		}
		for i := range r.asked {
			if a := &r.asked[i]; a.kind == kind.Name {
				weight := math.Min(sizeFloor+(1-sizeFloor)*a.size*count/total, sizeMost)
				a.owed *= weight
				a.earned *= weight
			}
		}
	}
}

const (
	sizeFloor = 0.3 // of its kind's worth that the smallest request has
	sizeMost  = 4
)

func (r *Result) ofKind(kind Kind) KindResult {
	result := KindResult{Name: kind.Name}
	var took, sizes []float64
	for _, a := range r.asked {
		if a.kind != kind.Name {
			continue
		}
		result.Asked++
		if a.late {
			result.Late++
		}
		if a.paused {
			result.Paused++
		}
		took = append(took, a.took)
		sizes = append(sizes, a.size)
	}
	if len(took) == 0 {
		return result
	}
	slices.Sort(took)
	slices.Sort(sizes)
	result.P50 = stat.Quantile(0.5, stat.Empirical, took, nil)
	result.P99 = stat.Quantile(0.99, stat.Empirical, took, nil)
	large := stat.Quantile(0.9, stat.Empirical, sizes, nil)
	earned, owed := 0.0, 0.0
	for _, a := range r.asked {
		if a.kind == kind.Name && a.size >= large {
			earned += a.earned
			owed += a.owed
		}
	}
	result.Large = earned / owed
	return result
}
