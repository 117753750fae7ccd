package quota

import (
	"sort"
	"time"

	"stepwick/internal/apierror"
)

const (
	span           = 8 * time.Second // length of the spans that are checked
	spanStep       = 20 * time.Millisecond
	underLimit     = 0.8 // offers of at most this part of the limit must not be refused
	regions        = 2
	notMeasured    = -1.0
	exactTolerance = 0.5 // part of a request that the exact log admits beyond the limit
)

// Result measures a run. Tokens are fractions of the tenant's limit.
type Result struct {
	Max         float64       // most tokens admitted in any span
	MaxAt       time.Duration // start of that span
	Min         float64       // least tokens admitted in a span of steady excess demand; -1 when there was none
	MinAt       time.Duration // start of that span
	Refused     float64       // refused share of the tokens offered while the offer was under the limit
	Offered     float64       // tokens so offered
	Wait        time.Duration // longest time until an admitted request was answered
	MinByRegion [regions]float64
	Mean        float64 // tokens admitted in a span of steady excess demand, over the whole run
}

// admission is an admitted request at the instant of its answer.
type admission struct {
	at     time.Duration
	tokens float64
	region int
}

// Check measures every span of 8 s. Only spans within the steady excess demand,
// from one instant until another, count for Min, MinByRegion and Mean. Tokens
// offered while the offer of the 8 s before and of the 8 s after was at most 0.8
// of the limit count for Refused.
func Check(requests []Request, firstRegion int, from, until time.Duration) Result {
	result := Result{Min: notMeasured, MinByRegion: [regions]float64{notMeasured, notMeasured}}
	admissions := admitted(requests, firstRegion)
	for _, r := range requests {
		if r.Decision.Allowed {
			result.Wait = max(result.Wait, r.Answered-r.At)
		}
	}
	result.measureRefusals(requests)
	result.measureMax(admissions)
	if until-from >= span {
		result.measureExcess(admissions, from, until)
	}
	return result
}

// admitted returns the admitted requests by the instant of their answer.
func admitted(requests []Request, firstRegion int) []admission {
	var admissions []admission
	for _, r := range requests {
		if !r.Decision.Allowed {
			continue
		}
		region := 0
		if r.Front >= firstRegion {
			region = 1
		}
		admissions = append(admissions, admission{at: r.Answered, tokens: r.Tokens, region: region})
	}
	sort.SliceStable(admissions, func(i, j int) bool { return admissions[i].at < admissions[j].at })
	return admissions
}

// measureRefusals slides one span that ends and one that begins at each request.
func (result *Result) measureRefusals(requests []Request) {
	before, after, refused := 0.0, 0.0, 0.0
	oldest, newest := 0, 0
	for _, r := range requests {
		for before += r.Tokens; requests[oldest].At <= r.At-span; oldest++ {
			before -= requests[oldest].Tokens
		}
		for ; newest < len(requests) && requests[newest].At < r.At+span; newest++ {
			after += requests[newest].Tokens
		}
		under := before <= underLimit && after <= underLimit
		after -= r.Tokens
		if !under {
			continue
		}
		result.Offered += r.Tokens
		if !r.Decision.Allowed && r.Decision.Code != 0 {
			refused += r.Tokens
		}
	}
	if result.Offered > 0 {
		result.Refused = refused / result.Offered
	}
}

// measureMax slides a span over the admissions.
func (result *Result) measureMax(admissions []admission) {
	inSpan, last := 0.0, 0
	for first, start := range admissions {
		if first > 0 {
			inSpan -= admissions[first-1].tokens
		}
		for ; last < len(admissions) && admissions[last].at < start.at+span; last++ {
			inSpan += admissions[last].tokens
		}
		if inSpan > result.Max {
			result.Max, result.MaxAt = inSpan, start.at
		}
	}
}

// measureExcess looks at the spans of steady excess demand.
func (result *Result) measureExcess(admissions []admission, from, until time.Duration) {
	total := 0.0
	for _, a := range admissions {
		if a.at >= from && a.at < until {
			total += a.tokens
		}
	}
	result.Mean = total / ((until - from).Seconds() / span.Seconds())
	for start := from; start+span <= until; start += spanStep {
		sums := sumByRegion(admissions, start)
		if all := sums[0] + sums[1]; result.Min < 0 || all < result.Min {
			result.Min, result.MinAt = all, start
		}
		for region, sum := range sums {
			if least := &result.MinByRegion[region]; *least < 0 || sum < *least {
				*least = sum
			}
		}
	}
}

// sumByRegion returns the tokens admitted in the span from start on.
func sumByRegion(admissions []admission, start time.Duration) (sums [regions]float64) {
	first := sort.Search(len(admissions), func(i int) bool { return admissions[i].at >= start })
	for _, a := range admissions[first:] {
		if a.at >= start+span {
			break
		}
		sums[a.region] += a.tokens
	}
	return sums
}

// Exact decides the same requests by one exact log of the last 8 s, as the best
// limiter with the same bound and without a network would.
func Exact(requests []Request) []Request {
	exact := make([]Request, len(requests))
	sum, oldest := 0.0, 0
	for i, r := range requests {
		for ; requests[oldest].At <= r.At-span; oldest++ {
			if exact[oldest].Decision.Allowed {
				sum -= exact[oldest].Tokens
			}
		}
		exact[i] = Request{At: r.At, Answered: r.At, Front: r.Front, Tokens: r.Tokens}
		exact[i].Decision.Code = apierror.QuotaExceeded
		if sum+exactTolerance*r.Tokens <= 1 {
			sum += r.Tokens
			exact[i].Decision.Allowed = true
		}
	}
	return exact
}
