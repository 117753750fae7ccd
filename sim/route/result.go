package route

import (
	"fmt"
	"slices"
	"time"
)

// Result counts the requests of a run as the callers and the servers observed them.
type Result struct {
	Offered           int
	Served            int
	RejectedByFront   int // rejected by the front with a retry delay, see Codes
	Interrupted       int // response streams interrupted by a server's crash
	Late              int // not answered by the deadline
	AttemptsExhausted int // failed in all attempts

	Codes     map[string]int  // RejectedByFront by error code
	TTFT      []time.Duration // times from arrival to the first token, ascending
	PerSecond []int           // requests served in each second of the run

	Hits    int // prefills with a cached prefix
	Misses  int // prefills without a cached prefix
	Servers []ServerReport
}

func newResult(length time.Duration) Result {
	return Result{
		Codes:     map[string]int{},
		PerSecond: make([]int, int(length/time.Second)+1),
	}
}

// complete adds the servers' reports and sorts TTFT.
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

// Quantile returns the q-quantile of the time to the first token, 0 <= q <= 1, or 0 if no
// request received a token.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.TTFT) == 0 {
		return 0
	}
	return r.TTFT[min(len(r.TTFT)-1, int(q*float64(len(r.TTFT))))]
}

// HitRatio returns the fraction of prefills with a cached prefix.
func (r Result) HitRatio() float64 { return float64(r.Hits) / float64(max(1, r.Hits+r.Misses)) }

// String returns the main values in one line.
func (r Result) String() string {
	return fmt.Sprintf("offered %d served %d rejected %d interrupted %d late %d ttft p50 %dms p95 %dms hits %.3f", r.Offered, r.Served, r.RejectedByFront,
		r.Interrupted, r.Late, r.Quantile(0.5).Milliseconds(), r.Quantile(0.95).Milliseconds(), r.HitRatio())
}

// perSecond returns the mean number of requests served per second between two instants.
func (r Result) perSecond(from, to time.Duration) float64 {
	first, last := int(from/time.Second), int(to/time.Second)
	sum := 0
	for _, served := range r.PerSecond[max(0, first):last] {
		sum += served
	}
	return float64(sum) / float64(max(1, last-first))
}
