package quota

import (
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/quota"
)

const (
	// gatewayFraction is the part of a tenant's limit that the gateway gives the quota
	// (setting tally.part). Tokens are fractions of this part, as in all scenarios.
	gatewayFraction = 0.93

	// The platform's bound on what a tenant gets in a span, of its whole limit: a tenth
	// more, and a fixed number of tokens for requests that cross the span's ends.
	platformTolerance = 1.1
	platformSlack     = 140_000 // tokens

	largeWholeLimit = 9_501_894 // tokens in a window: eight seconds' rate and as much as one second's in a burst
	largeLimit      = gatewayFraction * largeWholeLimit

	// maxAdmittedPlatform is the platform's bound as a part of what the quota is given.
	// The quota's own bound, maxAdmitted, is the lower one here.
	maxAdmittedPlatform = (platformTolerance*largeWholeLimit + platformSlack) / largeLimit

	largeFronts       = 300
	largeFirstRegion  = 155
	largeRegionDelay  = 26 * time.Millisecond
	largeQueueTimeout = 400 * time.Millisecond
	largeJumpFactor   = 6
	largeJumpLength   = 11 * second
	afterLargeJump    = 2 * second
	largeRetries      = 1

	leastSlowAdd = 600 * time.Microsecond // of a slow owner, for one request with counts
	mostSlowAdd  = time.Millisecond
)

// The rate of a tenant's use before its jump, of the quota's rate, and the same of its limit.
const (
	leastUseBefore = 0.60
	mostUseBefore  = 0.77
	windowSeconds  = 8.0
	burstSeconds   = 1.0
	useOfLimit     = windowSeconds / (windowSeconds + burstSeconds) / gatewayFraction
)

// mixedRequests are the requests of a tenant with few large and many small ones, in
// tokens, by their rates in requests per second.
var mixedRequests = SizeMix{
	{Rate: 290, Constant: 5382 + 375, Mean: 6610, Sigma: 1.4, Max: 54_600}, // long texts
	{Rate: 264, Constant: 300, Mean: 826, Sigma: 1, Max: 54_600},           // questions
	{Rate: 752, Constant: 40, Mean: 2368, Sigma: 1.2, Max: 54_600},         // short texts, to be labelled
	{Rate: 327, Constant: 200},                                             // requests without a size of their own
}

// LargeScenarios are runs of a fleet whose even share of the limit is a few requests.
func LargeScenarios() []Scenario {
	return []Scenario{
		{"large fleet, jump", largeJump, jumpInLargeFleet},
		{"large fleet, jump, requests of one size", largeJumpOfEqualRequests, jumpInLargeFleet},
		{"large fleet, jump, holder killed", largeJumpOwnerKilled, jumpInLargeFleet},
		{"large fleet, jump, fronts restarted", largeJumpRestarts, jumpInLargeFleet},
	}
}

// slowOwnerScenarios have an owner that can't keep up with the fronts' counts.
var slowOwnerScenarios = []Scenario{
	{"large fleet, jump, slow holder", largeJumpSlowOwner, jumpInLargeFleet},
	{"large fleet, jump, holder slowed by it", largeJumpOwnerSlowed, jumpInLargeFleet},
}

var jumpInLargeFleet = Requirements{Max: min(maxAdmitted, maxAdmittedPlatform), Min: minAdmitted, MaxRefused: refusalsAllowed}

func largeJump(random *rand.Rand) Setup {
	at := durationBetween(random, 10*second, 18*second)
	before := between(random, leastUseBefore, mostUseBefore) * useOfLimit
	until := at + largeJumpLength
	fleet := Fleet{
		Fronts:       largeFronts,
		FirstRegion:  largeFirstRegion,
		RegionDelay:  largeRegionDelay,
		QueueTimeout: largeQueueTimeout,
		Allowance:    quota.Allowance{Rate: largeLimit / (windowSeconds + burstSeconds), Burst: largeLimit / (windowSeconds + burstSeconds)},
		Sizes:        mixedRequests.scaled(1 / largeLimit),
		Retries:      largeRetries,
		Poisson:      true,
		OwnerFirst:   true,
		SkipFull:     true,
		Length:       until + afterLargeJump,
		Demand:       pulse(largeFronts, at, largeJumpLength, before, largeJumpFactor*before),
	}
	return Setup{Fleet: fleet, ExcessFrom: at, ExcessUntil: until}
}

// largeJumpOfEqualRequests has the mean size of the mixed requests.
func largeJumpOfEqualRequests(random *rand.Rand) Setup {
	setup := largeJump(random)
	setup.Fleet.Sizes = SizeMix{{Rate: 1, Constant: setup.Fleet.Sizes.mean()}}
	return setup
}

// largeJumpSlowOwner has an owner that handles 1000 to 1700 requests with counts in a
// second: all of them while the tenant is calm, and fewer than arrive in its jump.
func largeJumpSlowOwner(random *rand.Rand) Setup {
	setup := largeJump(random)
	addTime := durationBetween(random, leastSlowAdd, mostSlowAdd)
	setup.Fleet.AddTime = func(time.Duration) time.Duration { return addTime }
	return setup
}

// largeJumpOwnerSlowed has an owner that serves its part of the jump as well, and takes
// two to three times as long for each request with counts from then on.
func largeJumpOwnerSlowed(random *rand.Rand) Setup {
	setup := largeJump(random)
	addTime, factor := durationBetween(random, leastSlowAdd, mostSlowAdd), between(random, 2, 3)
	setup.Fleet.AddTime = func(at time.Duration) time.Duration {
		if at < setup.ExcessFrom {
			return addTime
		}
		return time.Duration(factor * float64(addTime))
	}
	return setup
}

func largeJumpOwnerKilled(random *rand.Rand) Setup {
	setup := largeJump(random)
	setup.Fleet.ForgetAfter = rosterExpiry
	setup.Fleet.Down = downFrom(setup.ExcessFrom + durationBetween(random, -2*second, 2*second))
	return setup
}

// largeJumpRestarts restarts a tenth of the fronts together, beside the jump.
func largeJumpRestarts(random *rand.Rand) Setup {
	setup := largeJump(random)
	down := during(setup.ExcessFrom+durationBetween(random, -3*second, second), restartTime)
	setup.Fleet.Down = func(now time.Duration, front int) bool { return front%10 == 5 && down(now) }
	return setup
}
