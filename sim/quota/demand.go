package quota

import (
	"math/rand/v2"
	"time"
)

// Demand returns the rate of tokens offered at a front, as a multiple of limit/window.
type Demand func(at time.Duration, front int) float64

const (
	defaultFronts = 9
	zoneFronts    = 3
	window        = 8 * second
)

// evenDemand spreads a constant demand evenly over all fronts.
func evenDemand(fronts int, multiple float64) Demand {
	return func(time.Duration, int) float64 { return multiple / float64(fronts) }
}

// demandJump changes an even demand from before to after at jumpAt.
func demandJump(fronts int, jumpAt time.Duration, before, after float64) Demand {
	return func(now time.Duration, _ int) float64 {
		if now < jumpAt {
			return before / float64(fronts)
		}
		return after / float64(fronts)
	}
}

// demandPulse raises an even demand from base to raised for the given length.
func demandPulse(fronts int, at, length time.Duration, base, raised float64) Demand {
	isRaised := within(at, length)
	return func(now time.Duration, _ int) float64 {
		if isRaised(now) {
			return raised / float64(fronts)
		}
		return base / float64(fronts)
	}
}

// movingZoneDemand offers the whole demand at the three fronts of one zone and moves to
// the next zone after each stayTime.
func movingZoneDemand(multiple float64, stayTime time.Duration, first int) Demand {
	return func(now time.Duration, front int) float64 {
		if (first+int(now/stayTime))%zoneFronts == front/zoneFronts {
			return multiple / zoneFronts
		}
		return 0
	}
}

// hotFrontDemand offers hotShare of the demand at the hot front and spreads otherShare
// over the other fronts.
func hotFrontDemand(fronts, hot int, hotShare, otherShare, multiple float64) Demand {
	return func(_ time.Duration, front int) float64 {
		if front == hot {
			return hotShare * multiple
		}
		return otherShare / float64(fronts-1) * multiple
	}
}

// regionDemand spreads a separate demand over the fronts of each region.
func regionDemand(fronts, firstRegion int, first, other float64) Demand {
	return func(_ time.Duration, front int) float64 {
		if front < firstRegion {
			return first / float64(firstRegion)
		}
		return other / float64(fronts-firstRegion)
	}
}

// windowPosition returns the number of the window that contains an instant, and the
// seconds since the window's start.
func windowPosition(at time.Duration) (number time.Duration, offset float64) {
	return at / window, (at % window).Seconds()
}

// fleetWithLargeRequests draws a fleet in which a tenant's demand is at most 0.75 of its
// limit, arrives at some of the fronts and consists of requests of 2 to 10% of the limit.
func fleetWithLargeRequests(random *rand.Rand) Fleet {
	multiple := drawBetween(random, 0.3, 0.75)
	var weights [defaultFronts]float64
	sum := 0.0
	for i := range weights {
		if i == 0 || random.IntN(3) > 0 {
			weights[i] = drawBetween(random, 0.2, 1)
			sum += weights[i]
		}
	}
	return Fleet{RequestSize: drawBetween(random, 0.02, 0.1), Length: 60 * second, StaggeredDetection: true, FirstIsOwner: true,
		Demand: func(_ time.Duration, front int) float64 { return multiple * weights[front] / sum }}
}
