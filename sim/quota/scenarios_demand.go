package quota

import (
	"math/rand/v2"
	"time"
)

// excessScenarios are shapes of demand over the limit, without faults.
var excessScenarios = []Scenario{
	{"steady excess", steadyExcess, steadyUse},
	{"steady excess after start", steadyExcessAfterStart, steadyUse},
	{"steady excess, at random", steadyExcessAtRandom, steadyUseRandom},
	{"tenfold jump, at random", tenfoldJumpAtRandom, Requirements{Max: maxAdmitted, Min: minAdmitted, ExactMargin: exactMargin}},
	{"excess at one front", excessAtOneFront, steadyUse},
	{"excess, most of it at one front", excessMostlyAtOneFront, steadyUse},
	{"tenfold jump", tenfoldJump, jumpToExcess},
	{"moving zones in excess", movingZonesInExcess, steadyUse},
	{"tenfold jump in one zone that moves", tenfoldJumpInMovingZone, jumpToExcess},
	{"late and early", lateAndEarly, noRefusal},
	{"large requests", excessOfLargeRequests, steadyUseRandom},
}

// underLimitScenarios are shapes of demand that must not be refused.
var underLimitScenarios = []Scenario{
	{"under, evenly", underEvenly, noRefusal},
	{"under, moving zones", underMovingZones, noRefusal},
	{"under, early in windows", underEarlyInWindows, noRefusal},
	{"under, at once at one front", underAtOnce, noRefusal},
}

func steadyExcess(random *rand.Rand) Setup {
	return Setup{Fleet: Fleet{Demand: evenly(defaultFronts, between(random, 1.2, 5)), Length: 60 * second}, ExcessUntil: 60 * second}
}

func steadyExcessAfterStart(random *rand.Rand) Setup {
	setup := steadyExcess(random)
	setup.ExcessFrom = 17 * second
	return setup
}

func steadyExcessAtRandom(random *rand.Rand) Setup {
	setup := steadyExcessAfterStart(random)
	setup.Fleet.Poisson = true
	return setup
}

func tenfoldJump(random *rand.Rand) Setup {
	at, before := faultStart(random), between(random, 0.12, 1)
	return Setup{Fleet: Fleet{Demand: jump(defaultFronts, at, before, 10*before), Length: 60 * second}, ExcessFrom: at, ExcessUntil: 60 * second}
}

func tenfoldJumpAtRandom(random *rand.Rand) Setup {
	setup := tenfoldJump(random)
	setup.Fleet.Poisson = true
	return setup
}

func excessAtOneFront(random *rand.Rand) Setup {
	hot, multiple := random.IntN(defaultFronts), between(random, 1.2, 5)
	return Setup{Fleet: Fleet{Demand: mostlyAt(defaultFronts, hot, 1, 0, multiple), Length: 60 * second}, ExcessUntil: 60 * second}
}

func excessMostlyAtOneFront(random *rand.Rand) Setup {
	hot, multiple := random.IntN(defaultFronts), between(random, 1.3, 5)
	return Setup{Fleet: Fleet{Demand: mostlyAt(defaultFronts, hot, 0.9, 0.1, multiple), Length: 60 * second}, ExcessUntil: 60 * second}
}

func movingZonesInExcess(random *rand.Rand) Setup {
	multiple, stay := between(random, 1.5, 5), durationBetween(random, 5*second, 15*second)
	return Setup{Fleet: Fleet{Demand: movingZone(multiple, stay, random.IntN(zoneFronts)), Length: 80 * second}, ExcessUntil: 80 * second}
}

func tenfoldJumpInMovingZone(random *rand.Rand) Setup {
	before, stay, first := between(random, 0.12, 1), durationBetween(random, 10*second, 20*second), random.IntN(zoneFronts)
	demand := func(now time.Duration, front int) float64 {
		multiple := before
		if now >= stay {
			multiple *= 10
		}
		return movingZone(multiple, stay, first)(now, front)
	}
	return Setup{Fleet: Fleet{Demand: demand, Length: 60 * second}, ExcessFrom: stay, ExcessUntil: 60 * second}
}

// lateAndEarly sends 1.5 times the limit at the end of one window, and again at
// the start of the next.
func lateAndEarly(random *rand.Rand) Setup {
	length := between(random, 0.3, 1.5)
	demand := func(now time.Duration, _ int) float64 {
		number, offset := inWindow(now)
		if (number%3 == 1 && offset > 8-length) || (number%3 == 2 && offset < length) {
			return 1.5 * 8 / length / defaultFronts
		}
		return 0
	}
	return Setup{Fleet: Fleet{Demand: demand, Length: 100 * second}}
}

func excessOfLargeRequests(random *rand.Rand) Setup {
	demand := evenly(defaultFronts, between(random, 1.5, 10))
	return Setup{Fleet: Fleet{Demand: demand, RequestSize: between(random, 0.02, 0.05), Length: 60 * second}, ExcessUntil: 60 * second}
}

func underEvenly(random *rand.Rand) Setup {
	return Setup{Fleet: Fleet{Demand: evenly(defaultFronts, between(random, 0.3, 0.75)), Length: 80 * second}}
}

func underMovingZones(random *rand.Rand) Setup {
	multiple, stay := between(random, 0.3, 0.75), durationBetween(random, 3*second, 15*second)
	return Setup{Fleet: Fleet{Demand: movingZone(multiple, stay, random.IntN(zoneFronts)), Length: 80 * second}}
}

func underEarlyInWindows(*rand.Rand) Setup {
	demand := func(now time.Duration, _ int) float64 {
		number, offset := inWindow(now)
		if (number%2 == 0 && offset < 1) || (number%2 == 1 && offset > 0.5 && offset < 1.5) {
			return 0.7 * 8 / defaultFronts
		}
		return 0
	}
	return Setup{Fleet: Fleet{Demand: demand, Length: 100 * second}}
}

func underAtOnce(random *rand.Rand) Setup {
	fleet := Fleet{Length: 80 * second}
	at := durationBetween(random, 0, window)
	for at < 70*second {
		fleet.Bursts = append(fleet.Bursts, Burst{At: at, Front: random.IntN(defaultFronts), Tokens: between(random, 0.3, 0.75)})
		at += durationBetween(random, 8100*time.Millisecond, 12*second)
	}
	return Setup{Fleet: fleet}
}
