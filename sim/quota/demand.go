package quota

import (
	"math/rand/v2"
	"time"
)

// Demand is the offered rate of tokens at a front, as a multiple of limit/window.
type Demand func(at time.Duration, front int) float64

const (
	defaultFronts = 9
	zoneFronts    = 3
	window        = 8 * second
)

// evenly spreads a demand over all fronts.
func evenly(fronts int, multiple float64) Demand {
	return func(time.Duration, int) float64 { return multiple / float64(fronts) }
}

// jump changes an even demand at an instant.
func jump(fronts int, at time.Duration, before, after float64) Demand {
	return func(now time.Duration, _ int) float64 {
		if now < at {
			return before / float64(fronts)
		}
		return after / float64(fronts)
	}
}

// pulse raises an even demand for a time.
func pulse(fronts int, at, length time.Duration, otherwise, raised float64) Demand {
	isRaised := during(at, length)
	return func(now time.Duration, _ int) float64 {
		if isRaised(now) {
			return raised / float64(fronts)
		}
		return otherwise / float64(fronts)
	}
}

// movingZone sends all of the demand to the three fronts of one zone, and to the
// next zone after every stay.
func movingZone(multiple float64, stay time.Duration, first int) Demand {
	return func(now time.Duration, front int) float64 {
		if (first+int(now/stay))%zoneFronts == front/zoneFronts {
			return multiple / zoneFronts
		}
		return 0
	}
}

// mostlyAt sends one share of the demand to one front, and the other to all others.
func mostlyAt(fronts, hot int, hotShare, otherShare, multiple float64) Demand {
	return func(_ time.Duration, front int) float64 {
		if front == hot {
			return hotShare * multiple
		}
		return otherShare / float64(fronts-1) * multiple
	}
}

// byRegion spreads one demand over the fronts of each region.
func byRegion(fronts, firstRegion int, first, other float64) Demand {
	return func(_ time.Duration, front int) float64 {
		if front < firstRegion {
			return first / float64(firstRegion)
		}
		return other / float64(fronts-firstRegion)
	}
}

// inWindow returns the number of an instant's window and the seconds since its start.
func inWindow(at time.Duration) (number time.Duration, offset float64) {
	return at / window, (at % window).Seconds()
}

// largeRequests is a tenant under 0.75 of its limit, with requests of 2 to 10% of
// the limit, at some of the fronts.
func largeRequests(random *rand.Rand) Fleet {
	multiple := between(random, 0.3, 0.75)
	var weights [defaultFronts]float64
	sum := 0.0
	for i := range weights {
		if i == 0 || random.IntN(3) > 0 {
			weights[i] = between(random, 0.2, 1)
			sum += weights[i]
		}
	}
	return Fleet{RequestSize: between(random, 0.02, 0.1), Length: 60 * second, FollowFaults: true, OwnerFirst: true,
		Demand: func(_ time.Duration, front int) float64 { return multiple * weights[front] / sum }}
}
