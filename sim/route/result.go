package route

import (
	"fmt"
	"slices"
	"time"
)

// Result counts what callers and servers observed.
type Result struct {
	Offered     int
	Served      int
	Refused     int // rejected with a retry delay
	Interrupted int // streams that a server's end interrupted
	Late        int // ended by the deadline
	Rejected    int // failed at as many servers as are tried

	Codes     map[string]int  // rejections by code
	TTFT      []time.Duration // times to the first token, ascending
	PerSecond []int           // served in each second of the run

	Hits    int // prefills that found their prefix cached
	Misses  int
	Servers []ServerReport
}

func newResult(length time.Duration) Result {
	return Result{
		Codes:     map[string]int{},
		PerSecond: make([]int, int(length/time.Second)+1),
	}
}

// complete adds the servers' reports.
func (r *Result) complete(servers []*server) {
	slices.Sort(r.TTFT)
	for _, s := range servers {
		r.Hits += s.report.Hits
		r.Misses += s.report.Misses
		r.Servers = append(r.Servers, s.report)
	}
}

func (r *Result) countServed(at time.Duration) {
	r.Served++
	if second := int(at / time.Second); second < len(r.PerSecond) {
		r.PerSecond[second]++
	}
}

// Quantile returns a quantile of the time to the first token.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.TTFT) == 0 {
		return 0
	}
	return r.TTFT[min(len(r.TTFT)-1, int(q*float64(len(r.TTFT))))]
}

// HitRatio returns the share of prefills that found their prefix cached.
func (r Result) HitRatio() float64 { return float64(r.Hits) / float64(max(1, r.Hits+r.Misses)) }

// String returns the result in one line.
func (r Result) String() string {
	return fmt.Sprintf("offered %d served %d refused %d cut %d late %d ttft p50 %dms p95 %dms hits %.3f", r.Offered, r.Served, r.Refused,
		r.Interrupted, r.Late, r.Quantile(0.5).Milliseconds(), r.Quantile(0.95).Milliseconds(), r.HitRatio())
}

// perSecond returns the mean number of requests served in a second of a span.
func (r Result) perSecond(from, to time.Duration) float64 {
	first, last := int(from/time.Second), int(to/time.Second)
	sum := 0
	for _, served := range r.PerSecond[max(0, first):last] {
		sum += served
	}
	return float64(sum) / float64(max(1, last-first))
}
