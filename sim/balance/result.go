package balance

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// windowMS is the length, in milliseconds, of the windows of Result.WorstWindow.
const windowMS = 2000

// Result contains the figures of a run.
type Result struct {
	Worth                 float64 // share of the attainable worth that was earned
	WorstWindow           float64 // mean Worth of the two worst windows of 2 s
	Kinds                 []KindResult
	SharedTokensRead      float64 // tokens of shared parts that were read
	SharedTokensReadAgain float64 // those read or used on any server within Site.ReuseWindow before
	CrossRegionBytes      float64 // bytes transferred between regions
	Connections           int
	Stalls                int // times that a front found a server stalled
	Exclusions            int // times that a server was excluded for all fronts

	requests []finishedRequest
}

// KindResult contains the figures of one kind of request. P50 and P99 are the time to
// the first token in milliseconds.
type KindResult struct {
	Name              string
	Requests          int
	Late              int
	LateByGap         int // late only because of a gap between events
	P50, P99          float64
	LargestTenthWorth float64 // Worth of the largest tenth of the requests
}

type finishedRequest struct {
	kind             string
	arrivedAt        float64
	timeToFirstToken float64
	attainable       float64
	earned           float64
	size             float64
	late             bool
	paused           bool
}

// outcome describes how a request ended.
type outcome struct {
	served           bool
	timeToFirstToken float64 // ms
	maxEventGap      float64 // ms, longest time between two events
}

func (r *Result) record(q *request, end outcome) {
	size := q.unsharedTokens + 10*q.outputTokens
	for _, p := range q.chain {
		size += p.tokens
	}
	finished := finishedRequest{kind: q.kind.Name, arrivedAt: q.arrivedAt, timeToFirstToken: end.timeToFirstToken, attainable: q.kind.Worth, size: size}
	switch {
	case end.served && finished.timeToFirstToken <= q.kind.Objective && end.maxEventGap <= q.kind.MaxEventGap:
		finished.earned = q.kind.Worth
	case end.served:
		finished.earned, finished.late = q.kind.LateWorth, true
		finished.paused = finished.timeToFirstToken <= q.kind.Objective
	default:
		finished.late = true
	}
	r.requests = append(r.requests, finished)
}

// summarize computes the figures from the finished requests.
func (r Result) summarize(site Site) Result {
	r.weightBySize(site)
	earned, attainable := 0.0, 0.0
	windows := map[int][2]float64{}
	for _, a := range r.requests {
		earned += a.earned
		attainable += a.attainable
		w := windows[int(a.arrivedAt/windowMS)]
		windows[int(a.arrivedAt/windowMS)] = [2]float64{w[0] + a.earned, w[1] + a.attainable}
	}
	r.Worth = earned / math.Max(attainable, 1)
	var shares []float64
	for _, w := range windows {
		shares = append(shares, w[0]/w[1])
	}
	slices.Sort(shares)
	r.WorstWindow = stat.Mean(shares[:min(2, len(shares))], nil)
	for _, kind := range site.Kinds {
		r.Kinds = append(r.Kinds, r.summarizeKind(kind))
	}
	r.requests = nil
	return r
}

// weightBySize weights the worth of each request by its size relative to the mean
// size of its kind.
func (r *Result) weightBySize(site Site) {
	for _, kind := range site.Kinds {
		total, count := 0.0, 0.0
		for _, a := range r.requests {
			if a.kind == kind.Name {
				total += a.size
				count++
			}
		}
		for i := range r.requests {
			if a := &r.requests[i]; a.kind == kind.Name {
				weight := math.Min(minSizeWeight+(1-minSizeWeight)*a.size*count/total, maxSizeWeight)
				a.attainable *= weight
				a.earned *= weight
			}
		}
	}
}

const (
	minSizeWeight = 0.3 // lower bound of the weight, as a share of the kind's worth
	maxSizeWeight = 4   // upper bound of the weight
)

func (r *Result) summarizeKind(kind Kind) KindResult {
	result := KindResult{Name: kind.Name}
	var firstTokenTimes, sizes []float64
	for _, a := range r.requests {
		if a.kind != kind.Name {
			continue
		}
		result.Requests++
		if a.late {
			result.Late++
		}
		if a.paused {
			result.LateByGap++
		}
		firstTokenTimes = append(firstTokenTimes, a.timeToFirstToken)
		sizes = append(sizes, a.size)
	}
	if len(firstTokenTimes) == 0 {
		return result
	}
	slices.Sort(firstTokenTimes)
	slices.Sort(sizes)
	result.P50 = stat.Quantile(0.5, stat.Empirical, firstTokenTimes, nil)
	result.P99 = stat.Quantile(0.99, stat.Empirical, firstTokenTimes, nil)
	large := stat.Quantile(0.9, stat.Empirical, sizes, nil)
	earned, attainable := 0.0, 0.0
	for _, a := range r.requests {
		if a.kind == kind.Name && a.size >= large {
			earned += a.earned
			attainable += a.attainable
		}
	}
	result.LargestTenthWorth = earned / attainable
	return result
}
