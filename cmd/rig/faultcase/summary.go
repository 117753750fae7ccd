package faultcase

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

const (
	maxLatency        = 2 * time.Minute // upper bound of the histograms
	latencyDigits     = 3               // significant figures
	maxPrintedPerRule = 5               // violations of each rule that are printed in full
)

// Summary is the result of a run. Goodput is the number of attempts served per second.
type Summary struct {
	Served             int               `json:"served"`
	Rejected           int               `json:"refused"`
	Failed             int               `json:"failed"`
	Unsent             int               `json:"unsent"`
	Violations         int               `json:"violations"`
	Goodput            float64           `json:"goodput"`
	TTFTP50            float64           `json:"ttft_p50_ms"` // time to the first event of a stream
	TTFTP95            float64           `json:"ttft_p95_ms"`
	OneShotP50         float64           `json:"one_shot_p50_ms"`
	OneShotP95         float64           `json:"one_shot_p95_ms"`
	CacheHitRatio      float64           `json:"kv_hit_share"`
	ByCode             map[string]int    `json:"by_code,omitempty"`
	OrdersAcknowledged int               `json:"orders_won"`
	Versions           map[string]uint64 `json:"epochs,omitempty"`
}

// Summarize summarizes the attempts of a recording that were sent at or after an
// instant, and all of its orders.
func Summarize(recording *history.Recording, from history.Instant) Summary {
	summary := Summary{ByCode: map[string]int{}}
	firstEvents := newLatencies()
	oneShots := newLatencies()
	last := from
	for _, attempt := range recording.Attempts {
		if attempt.Sent < from {
			continue
		}
		last = max(last, attempt.Sent)
		summary.count(attempt)
		if attempt.First == 0 || attempt.Outcome != history.Served {
			continue
		}
		if attempt.Kind == history.KindStream {
			firstEvents.record(attempt.First - attempt.Sent)
		} else {
			oneShots.record(attempt.First - attempt.Sent)
		}
	}
	if last > from {
		summary.Goodput = oneDecimal(float64(summary.Served) / (last - from).Seconds())
	}
	summary.CacheHitRatio = cacheHitRatio(recording, from)
	summary.OrdersAcknowledged = acknowledgedOrders(recording)
	summary.TTFTP50 = firstEvents.percentile(50)
	summary.TTFTP95 = firstEvents.percentile(95)
	summary.OneShotP50 = oneShots.percentile(50)
	summary.OneShotP95 = oneShots.percentile(95)
	return summary
}

func (s *Summary) count(attempt history.Attempt) {
	switch attempt.Outcome {
	case history.Served, history.Abandoned:
		s.Served++
	case history.Rejected:
		s.Rejected++
	case history.Unsent:
		s.Unsent++
	default:
		s.Failed++
	}
	if attempt.Code != 0 {
		s.ByCode[apierror.Code(attempt.Code).String()]++
	} else if attempt.Outcome != history.Served {
		s.ByCode[string(attempt.Outcome)]++
	}
}

// latencies is a histogram of durations, in microseconds.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

func (l latencies) record(d time.Duration) { _ = l.histogram.RecordValue(d.Microseconds()) }

// percentile returns the latency at a percentile, in milliseconds.
func (l latencies) percentile(percent float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percent)) / 1000
}

// cacheHitRatio returns the fraction of prompts whose prefix was in the cache of the
// model server.
func cacheHitRatio(recording *history.Recording, from history.Instant) float64 {
	prompts, hits := 0, 0
	for _, run := range recording.Runs {
		if run.Kind != history.KindModel || !run.Ran || run.Arrived < from {
			continue
		}
		prompts++
		if run.CacheHit {
			hits++
		}
	}
	return ratio(hits, prompts)
}

// acknowledgedOrders returns the number of distinct orders that were acknowledged.
func acknowledgedOrders(recording *history.Recording) int {
	acknowledged := map[string]bool{}
	for _, order := range recording.Orders {
		if order.Acknowledged() {
			acknowledged[order.ID] = true
		}
	}
	return len(acknowledged)
}

// ratio returns part/total, truncated to three decimals, or 0 if total is 0.
func ratio(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(part*1000/total) / 1000
}

// oneDecimal truncates a number to one decimal.
func oneDecimal(number float64) float64 { return float64(int(number*10)) / 10 }

// PrintViolations prints at most maxPrintedPerRule violations of each rule in full, and
// the total for rules that have more.
func PrintViolations(out io.Writer, name string, violations []checker.Violation) {
	counts := map[string]int{}
	for _, violation := range violations {
		counts[violation.Rule]++
		if counts[violation.Rule] <= maxPrintedPerRule {
			_, _ = fmt.Fprintf(out, "VIOLATION case %s seed %d [%s] %s\n    point: %s\n",
				name, violation.Seed, violation.Rule, violation.Evidence, violation.Point)
		}
	}
	var rules []string
	for rule := range counts {
		rules = append(rules, rule)
	}
	sort.Strings(rules)
	for _, rule := range rules {
		if counts[rule] > maxPrintedPerRule {
			_, _ = fmt.Fprintf(out, "    … %d violations of rule %s in total\n", counts[rule], rule)
		}
	}
}
