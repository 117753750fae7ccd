package quota

import (
	"math/rand/v2"
	"time"
)

// excessScenarios have demand over the limit and no faults.
var excessScenarios = []Scenario{
	{"steady excess", steadyExcess, steadyExcessRequirements},
	{"steady excess after start", steadyExcessAfterStart, steadyExcessRequirements},
	{"steady excess, Poisson arrivals", steadyExcessAtRandom, poissonExcessRequirements},
	{"tenfold jump, Poisson arrivals", tenfoldJumpAtRandom, Requirements{MaxAdmitted: maxAdmitted, MinAdmitted: minAdmitted, ExactMargin: exactMargin}},
	{"excess at one front", excessAtOneFront, steadyExcessRequirements},
	{"excess, most of it at one front", excessMostlyAtOneFront, steadyExcessRequirements},
	{"tenfold jump", tenfoldJump, jumpRequirements},
	{"moving zones in excess", movingZonesInExcess, steadyExcessRequirements},
	{"tenfold jump in one zone that moves", tenfoldJumpInMovingZone, jumpRequirements},
	{"late and early", burstsAroundWindowEnd, noRefusalRequirements},
	{"large requests", excessOfLargeRequests, poissonExcessRequirements},
}

// underLimitScenarios have demand under the limit, which must not be refused.
var underLimitScenarios = []Scenario{
	{"under limit, even demand", underLimitEvenDemand, noRefusalRequirements},
	{"under limit, moving zones", underLimitMovingZones, noRefusalRequirements},
	{"under limit, early in windows", underLimitEarlyInWindows, noRefusalRequirements},
	{"under limit, bursts at one front", underLimitBursts, noRefusalRequirements},
}

func steadyExcess(random *rand.Rand) Setup {
	return Setup{Fleet: Fleet{Demand: evenDemand(defaultFronts, drawBetween(random, 1.2, 5)), Length: 60 * second}, ExcessUntil: 60 * second}
}

func steadyExcessAfterStart(random *rand.Rand) Setup {
	setup := steadyExcess(random)
	setup.ExcessFrom = 17 * second
	return setup
}

func steadyExcessAtRandom(random *rand.Rand) Setup {
	setup := steadyExcessAfterStart(random)
	setup.Fleet.PoissonArrivals = true
	return setup
}

func tenfoldJump(random *rand.Rand) Setup {
	at, before := drawFaultStart(random), drawBetween(random, 0.12, 1)
	return Setup{Fleet: Fleet{Demand: demandJump(defaultFronts, at, before, 10*before), Length: 60 * second}, ExcessFrom: at, ExcessUntil: 60 * second}
}

func tenfoldJumpAtRandom(random *rand.Rand) Setup {
	setup := tenfoldJump(random)
	setup.Fleet.PoissonArrivals = true
	return setup
}

func excessAtOneFront(random *rand.Rand) Setup {
	hot, multiple := random.IntN(defaultFronts), drawBetween(random, 1.2, 5)
	return Setup{Fleet: Fleet{Demand: hotFrontDemand(defaultFronts, hot, 1, 0, multiple), Length: 60 * second}, ExcessUntil: 60 * second}
}

func excessMostlyAtOneFront(random *rand.Rand) Setup {
	hot, multiple := random.IntN(defaultFronts), drawBetween(random, 1.3, 5)
	return Setup{Fleet: Fleet{Demand: hotFrontDemand(defaultFronts, hot, 0.9, 0.1, multiple), Length: 60 * second}, ExcessUntil: 60 * second}
}

func movingZonesInExcess(random *rand.Rand) Setup {
	multiple, stayTime := drawBetween(random, 1.5, 5), drawDuration(random, 5*second, 15*second)
	return Setup{Fleet: Fleet{Demand: movingZoneDemand(multiple, stayTime, random.IntN(zoneFronts)), Length: 80 * second}, ExcessUntil: 80 * second}
}

func tenfoldJumpInMovingZone(random *rand.Rand) Setup {
	before, stayTime, first := drawBetween(random, 0.12, 1), drawDuration(random, 10*second, 20*second), random.IntN(zoneFronts)
	demand := func(now time.Duration, front int) float64 {
		multiple := before
		if now >= stayTime {
			multiple *= 10
		}
		return movingZoneDemand(multiple, stayTime, first)(now, front)
	}
	return Setup{Fleet: Fleet{Demand: demand, Length: 60 * second}, ExcessFrom: stayTime, ExcessUntil: 60 * second}
}

// burstsAroundWindowEnd offers 1.5 times the limit at the end of one window and again at
// the start of the next, where a fixed window counter admits both.
func burstsAroundWindowEnd(random *rand.Rand) Setup {
	length := drawBetween(random, 0.3, 1.5)
	demand := func(now time.Duration, _ int) float64 {
		number, offset := windowPosition(now)
		if (number%3 == 1 && offset > 8-length) || (number%3 == 2 && offset < length) {
			return 1.5 * 8 / length / defaultFronts
		}
		return 0
	}
	return Setup{Fleet: Fleet{Demand: demand, Length: 100 * second}}
}

func excessOfLargeRequests(random *rand.Rand) Setup {
	demand := evenDemand(defaultFronts, drawBetween(random, 1.5, 10))
	return Setup{Fleet: Fleet{Demand: demand, RequestSize: drawBetween(random, 0.02, 0.05), Length: 60 * second}, ExcessUntil: 60 * second}
}

func underLimitEvenDemand(random *rand.Rand) Setup {
	return Setup{Fleet: Fleet{Demand: evenDemand(defaultFronts, drawBetween(random, 0.3, 0.75)), Length: 80 * second}}
}

func underLimitMovingZones(random *rand.Rand) Setup {
	multiple, stayTime := drawBetween(random, 0.3, 0.75), drawDuration(random, 3*second, 15*second)
	return Setup{Fleet: Fleet{Demand: movingZoneDemand(multiple, stayTime, random.IntN(zoneFronts)), Length: 80 * second}}
}

func underLimitEarlyInWindows(*rand.Rand) Setup {
	demand := func(now time.Duration, _ int) float64 {
		number, offset := windowPosition(now)
		if (number%2 == 0 && offset < 1) || (number%2 == 1 && offset > 0.5 && offset < 1.5) {
			return 0.7 * 8 / defaultFronts
		}
		return 0
	}
	return Setup{Fleet: Fleet{Demand: demand, Length: 100 * second}}
}

func underLimitBursts(random *rand.Rand) Setup {
	fleet := Fleet{Length: 80 * second}
	at := drawDuration(random, 0, window)
	for at < 70*second {
		fleet.Bursts = append(fleet.Bursts, Burst{At: at, Front: random.IntN(defaultFronts), Tokens: drawBetween(random, 0.3, 0.75)})
		at += drawDuration(random, 8100*time.Millisecond, 12*second)
	}
	return Setup{Fleet: fleet}
}
