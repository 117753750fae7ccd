package quota

import (
	"sort"
	"time"

	"stepwick/internal/apierror"
)

const (
	checkedSpan        = 8 * time.Second       // length of every measured span
	spanStep           = 20 * time.Millisecond // distance between the starts of two spans of steady excess demand
	underLimitFraction = 0.8                   // demand of at most this fraction of the limit must not be refused
	regionCount        = 2
	notMeasured        = -1.0
	exactTolerance     = 0.5 // fraction of a request's tokens by which DecideWithExactLog may exceed the limit
)

// Result holds the measurements of one run. Amounts of tokens are fractions of the tenant's limit.
type Result struct {
	MaxAdmitted         float64              // maximum of the tokens admitted in a span
	MaxAdmittedAt       time.Duration        // start of that span
	MinAdmitted         float64              // minimum of the tokens admitted in a span of steady excess demand; -1 if there was no such span
	MinAdmittedAt       time.Duration        // start of that span
	RefusedFraction     float64              // fraction of OfferedUnderLimit that was refused
	OfferedUnderLimit   float64              // tokens offered while demand was under the limit, see Check
	MaxWait             time.Duration        // longest time from the arrival of an admitted request to its decision
	MinAdmittedByRegion [regionCount]float64 // as MinAdmitted, for each region
	MeanAdmitted        float64              // mean of the tokens admitted in a span of steady excess demand
}

// admission is an admitted request.
type admission struct {
	answeredAt time.Duration
	tokens     float64
	region     int
}

// Check measures the requests of a run over spans of 8 s. MinAdmitted,
// MinAdmittedByRegion and MeanAdmitted cover only the spans of steady excess demand,
// between from and until. OfferedUnderLimit covers the requests for which the tokens
// offered in the preceding 8 s and in the following 8 s are each at most 0.8 of the
// limit. Fronts below firstRegion belong to the first region.
func Check(requests []Request, firstRegion int, from, until time.Duration) Result {
	result := Result{MinAdmitted: notMeasured, MinAdmittedByRegion: [regionCount]float64{notMeasured, notMeasured}}
	admissions := collectAdmissions(requests, firstRegion)
	for _, r := range requests {
		if r.Decision.Allowed {
			result.MaxWait = max(result.MaxWait, r.AnsweredAt-r.ArrivedAt)
		}
	}
	result.measureRefusals(requests)
	result.measureMax(admissions)
	if until-from >= checkedSpan {
		result.measureSteadyExcess(admissions, from, until)
	}
	return result
}

// collectAdmissions returns the admitted requests, sorted by the time of the decision.
func collectAdmissions(requests []Request, firstRegion int) []admission {
	var admissions []admission
	for _, r := range requests {
		if !r.Decision.Allowed {
			continue
		}
		region := 0
		if r.Front >= firstRegion {
			region = 1
		}
		admissions = append(admissions, admission{answeredAt: r.AnsweredAt, tokens: r.Tokens, region: region})
	}
	sort.SliceStable(admissions, func(i, j int) bool { return admissions[i].answeredAt < admissions[j].answeredAt })
	return admissions
}

// measureRefusals sums the offered tokens of the span that ends and of the span that
// begins at each request.
func (result *Result) measureRefusals(requests []Request) {
	offeredBefore, offeredAfter, refusedTokens := 0.0, 0.0, 0.0
	oldest, newest := 0, 0
	for _, r := range requests {
		for offeredBefore += r.Tokens; requests[oldest].ArrivedAt <= r.ArrivedAt-checkedSpan; oldest++ {
			offeredBefore -= requests[oldest].Tokens
		}
		for ; newest < len(requests) && requests[newest].ArrivedAt < r.ArrivedAt+checkedSpan; newest++ {
			offeredAfter += requests[newest].Tokens
		}
		isUnderLimit := offeredBefore <= underLimitFraction && offeredAfter <= underLimitFraction
		offeredAfter -= r.Tokens
		if !isUnderLimit {
			continue
		}
		result.OfferedUnderLimit += r.Tokens
		if !r.Decision.Allowed && r.Decision.Code != 0 {
			refusedTokens += r.Tokens
		}
	}
	if result.OfferedUnderLimit > 0 {
		result.RefusedFraction = refusedTokens / result.OfferedUnderLimit
	}
}

// measureMax finds the span with the most admitted tokens. It suffices to check the
// spans that begin at an admission.
func (result *Result) measureMax(admissions []admission) {
	inSpan, last := 0.0, 0
	for first, start := range admissions {
		if first > 0 {
			inSpan -= admissions[first-1].tokens
		}
		for ; last < len(admissions) && admissions[last].answeredAt < start.answeredAt+checkedSpan; last++ {
			inSpan += admissions[last].tokens
		}
		if inSpan > result.MaxAdmitted {
			result.MaxAdmitted, result.MaxAdmittedAt = inSpan, start.answeredAt
		}
	}
}

// measureSteadyExcess measures the spans between from and until.
func (result *Result) measureSteadyExcess(admissions []admission, from, until time.Duration) {
	total := 0.0
	for _, a := range admissions {
		if a.answeredAt >= from && a.answeredAt < until {
			total += a.tokens
		}
	}
	result.MeanAdmitted = total / ((until - from).Seconds() / checkedSpan.Seconds())
	for start := from; start+checkedSpan <= until; start += spanStep {
		sums := tokensByRegion(admissions, start)
		if spanTotal := sums[0] + sums[1]; result.MinAdmitted < 0 || spanTotal < result.MinAdmitted {
			result.MinAdmitted, result.MinAdmittedAt = spanTotal, start
		}
		for region, sum := range sums {
			if regionMin := &result.MinAdmittedByRegion[region]; *regionMin < 0 || sum < *regionMin {
				*regionMin = sum
			}
		}
	}
}

// tokensByRegion returns the tokens admitted in the span that begins at start.
func tokensByRegion(admissions []admission, start time.Duration) (sums [regionCount]float64) {
	first := sort.Search(len(admissions), func(i int) bool { return admissions[i].answeredAt >= start })
	for _, a := range admissions[first:] {
		if a.answeredAt >= start+checkedSpan {
			break
		}
		sums[a.region] += a.tokens
	}
	return sums
}

// DecideWithExactLog decides the same requests by one exact log of the last 8 s, as the best
// limiter with the same bound and without a network would.
func DecideWithExactLog(requests []Request) []Request {
	exact := make([]Request, len(requests))
	sum, oldest := 0.0, 0
	for i, r := range requests {
		for ; requests[oldest].ArrivedAt <= r.ArrivedAt-checkedSpan; oldest++ {
			if exact[oldest].Decision.Allowed {
				sum -= exact[oldest].Tokens
			}
		}
		exact[i] = Request{ArrivedAt: r.ArrivedAt, AnsweredAt: r.ArrivedAt, Front: r.Front, Tokens: r.Tokens}
		exact[i].Decision.Code = apierror.QuotaExceeded
		if sum+exactTolerance*r.Tokens <= 1 {
			sum += r.Tokens
			exact[i].Decision.Allowed = true
		}
	}
	return exact
}
