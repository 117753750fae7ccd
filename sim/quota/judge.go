package quota

import (
	"sort"
	"time"

	"stepwick/internal/apierror"
)

// Finding is what a run came to; spans and tokens as part of the limit.
type Finding struct {
	High      float64       // most that passed in any span
	HighAt    time.Duration // its start
	Low       float64       // least that passed in a span of steady excess demand; -1 when there was none
	LowAt     time.Duration
	Refused   float64 // part of the tokens refused although the offer was under 0.8
	Offered   float64 // tokens so offered
	Wait      time.Duration
	ByRegion  [2]float64 // least of each region in a span of steady excess demand
	Mean      float64    // passed in a span of steady excess demand, over the whole run
	Exchanges int
}

const span = 8 * time.Second

type passed struct {
	at     time.Duration
	tokens float64
	region int
}

// Judge looks at every span of 8 s. from and until bound the time of steady
// excess demand: only spans within it count for Low, ByRegion and Mean. Tokens
// that were offered while the offer of the 8 s before and of the 8 s after was at
// most 0.8 of the limit must not be refused.
func Judge(requests []Request, split int, from, until time.Duration) Finding {
	var passes []passed
	f := Finding{Low: -1, ByRegion: [2]float64{-1, -1}}
	before, after, oldest, newest, refused := 0.0, 0.0, 0, 0, 0.0
	for _, r := range requests {
		for before += r.Tokens; requests[oldest].At <= r.At-span; oldest++ {
			before -= requests[oldest].Tokens
		}
		for ; newest < len(requests) && requests[newest].At < r.At+span; newest++ {
			after += requests[newest].Tokens
		}
		under := before <= 0.8 && after <= 0.8
		after -= r.Tokens
		if r.Decision.Pass {
			region := 0
			if r.Front >= split {
				region = 1
			}
			passes = append(passes, passed{r.Answered, r.Tokens, region})
			f.Wait = max(f.Wait, r.Answered-r.At)
		}
		if under {
			f.Offered += r.Tokens
			if !r.Decision.Pass && r.Decision.Code != 0 {
				refused += r.Tokens
			}
		}
	}
	if f.Offered > 0 {
		f.Refused = refused / f.Offered
	}
	sort.SliceStable(passes, func(i, j int) bool { return passes[i].at < passes[j].at })
	inSpan, last := 0.0, 0
	for first := range passes {
		if first > 0 {
			inSpan -= passes[first-1].tokens
		}
		for ; last < len(passes) && passes[last].at < passes[first].at+span; last++ {
			inSpan += passes[last].tokens
		}
		if inSpan > f.High {
			f.High, f.HighAt = inSpan, passes[first].at
		}
	}
	if until-from < span {
		return f
	}
	total := 0.0
	for _, p := range passes {
		if p.at >= from && p.at < until {
			total += p.tokens
		}
	}
	f.Mean = total / ((until - from).Seconds() / span.Seconds())
	for start := from; start+span <= until; start += 20 * time.Millisecond {
		var sums [2]float64
		i := sort.Search(len(passes), func(i int) bool { return passes[i].at >= start })
		for ; i < len(passes) && passes[i].at < start+span; i++ {
			sums[passes[i].region] += passes[i].tokens
		}
		if all := sums[0] + sums[1]; f.Low < 0 || all < f.Low {
			f.Low, f.LowAt = all, start
		}
		for region, sum := range sums {
			if f.ByRegion[region] < 0 || sum < f.ByRegion[region] {
				f.ByRegion[region] = sum
			}
		}
	}
	return f
}

// Exact decides the same requests anew by one exact log of the last 8 s in one
// place: what the best limiter with the same bound would pass.
func Exact(requests []Request) []Request {
	exact := make([]Request, len(requests))
	sum, oldest := 0.0, 0
	for i, r := range requests {
		for ; requests[oldest].At <= r.At-span; oldest++ {
			if exact[oldest].Decision.Pass {
				sum -= exact[oldest].Tokens
			}
		}
		exact[i] = Request{At: r.At, Answered: r.At, Front: r.Front, Tokens: r.Tokens}
		exact[i].Decision.Code = apierror.QuotaExceeded
		if sum+r.Tokens/2 <= 1 {
			sum += r.Tokens
			exact[i].Decision.Pass = true
		}
	}
	return exact
}
