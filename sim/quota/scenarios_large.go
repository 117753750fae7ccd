package quota

import (
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/quota"
)

const (
	// quotaFraction is the fraction of a tenant's limit that the gateway configures as
	// its allowance (setting tally.part). As in all scenarios, amounts of tokens are
	// fractions of the allowance.
	quotaFraction = 0.93

	// The platform's bound on the tokens that a tenant is admitted in a span:
	// platformTolerance times its whole limit, and platformSlack for requests that
	// cross the span's ends.
	platformTolerance = 1.1
	platformSlack     = 140_000 // tokens

	largePlatformLimit = 9_501_894 // tokens in a window: the rate times 8 s, and a burst of the rate times 1 s
	largeLimit         = quotaFraction * largePlatformLimit

	// maxAdmittedPlatform is the platform's bound as a multiple of the allowance. The
	// bound of the other scenarios, maxAdmitted, is lower.
	maxAdmittedPlatform = (platformTolerance*largePlatformLimit + platformSlack) / largeLimit

	largeFronts        = 300
	largeFirstRegion   = 155
	largeRegionDelay   = 26 * time.Millisecond
	largeQueueTimeout  = 400 * time.Millisecond
	largeJumpFactor    = 6
	largeJumpLength    = 11 * second
	timeAfterLargeJump = 2 * second
	largeRetries       = 1

	minSlowAddTime = 600 * time.Microsecond // range of AddTime of a slow owner
	maxSlowAddTime = time.Millisecond
)

// A tenant's demand before its jump, as a fraction of the rate of its whole limit, and the
// factor that converts it into a multiple of limit/window.
const (
	minUseBeforeJump = 0.60
	maxUseBeforeJump = 0.77
	windowSeconds    = 8.0
	burstSeconds     = 1.0
	useOfLimit       = windowSeconds / (windowSeconds + burstSeconds) / quotaFraction
)

// mixedRequests are the requests of a tenant that sends few large and many small ones.
// Rates are in requests per second, sizes in tokens.
var mixedRequests = SizeMix{
	{Rate: 290, Constant: 5382 + 375, Mean: 6610, Sigma: 1.4, Max: 54_600}, // long texts
	{Rate: 264, Constant: 300, Mean: 826, Sigma: 1, Max: 54_600},           // questions
	{Rate: 752, Constant: 40, Mean: 2368, Sigma: 1.2, Max: 54_600},         // short texts to classify
	{Rate: 327, Constant: 200},                                             // requests of unknown size
}

// LargeScenarios returns scenarios of a fleet so large that the even share of the limit of
// one front amounts to a few requests.
func LargeScenarios() []Scenario {
	return []Scenario{
		{"large fleet, jump", largeJump, largeFleetRequirements},
		{"large fleet, jump, requests of one size", largeJumpOfEqualRequests, largeFleetRequirements},
		{"large fleet, jump, holder killed", largeJumpOwnerKilled, largeFleetRequirements},
		{"large fleet, jump, fronts restarted", largeJumpRestarts, largeFleetRequirements},
	}
}

// slowOwnerScenarios have an owner whose counter can't keep up with the fronts' counts
// during the jump.
var slowOwnerScenarios = []Scenario{
	{"large fleet, jump, slow owner", largeJumpSlowOwner, largeFleetRequirements},
	{"large fleet, jump, owner slowed by it", largeJumpOwnerSlowed, largeFleetRequirements},
}

var largeFleetRequirements = Requirements{MaxAdmitted: min(maxAdmitted, maxAdmittedPlatform), MinAdmitted: minAdmitted, MaxRefusedFraction: refusalsUnchecked}

func largeJump(random *rand.Rand) Setup {
	at := drawDuration(random, 10*second, 18*second)
	before := drawBetween(random, minUseBeforeJump, maxUseBeforeJump) * useOfLimit
	until := at + largeJumpLength
	fleet := Fleet{
		Fronts:          largeFronts,
		FirstRegion:     largeFirstRegion,
		MaxRegionDelay:  largeRegionDelay,
		QueueTimeout:    largeQueueTimeout,
		Allowance:       quota.Allowance{Rate: largeLimit / (windowSeconds + burstSeconds), Burst: largeLimit / (windowSeconds + burstSeconds)},
		Sizes:           mixedRequests.scaled(1 / largeLimit),
		Retries:         largeRetries,
		PoissonArrivals: true,
		FirstIsOwner:    true,
		LimitInFlight:   true,
		Length:          until + timeAfterLargeJump,
		Demand:          demandPulse(largeFronts, at, largeJumpLength, before, largeJumpFactor*before),
	}
	return Setup{Fleet: fleet, ExcessFrom: at, ExcessUntil: until}
}

// largeJumpOfEqualRequests has only requests of the mean size of mixedRequests.
func largeJumpOfEqualRequests(random *rand.Rand) Setup {
	setup := largeJump(random)
	setup.Fleet.Sizes = SizeMix{{Rate: 1, Constant: setup.Fleet.Sizes.mean()}}
	return setup
}

// largeJumpSlowOwner has an owner that handles 1000 to 1700 AddRequests per second: enough
// before the jump, but fewer than arrive during it.
func largeJumpSlowOwner(random *rand.Rand) Setup {
	setup := largeJump(random)
	addTime := drawDuration(random, minSlowAddTime, maxSlowAddTime)
	setup.Fleet.AddTime = func(time.Duration) time.Duration { return addTime }
	return setup
}

// largeJumpOwnerSlowed has an owner that takes two to three times as long for each
// AddRequest from the jump on, because it also serves its part of the jump's requests.
func largeJumpOwnerSlowed(random *rand.Rand) Setup {
	setup := largeJump(random)
	addTime, factor := drawDuration(random, minSlowAddTime, maxSlowAddTime), drawBetween(random, 2, 3)
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
	setup.Fleet.RemoveDownAfter = rosterRemovalDelay
	setup.Fleet.Down = ownerDownFrom(setup.ExcessFrom + drawDuration(random, -2*second, 2*second))
	return setup
}

// largeJumpRestarts restarts a tenth of the fronts at the same time, shortly before or
// after the start of the jump.
func largeJumpRestarts(random *rand.Rand) Setup {
	setup := largeJump(random)
	down := within(setup.ExcessFrom+drawDuration(random, -3*second, second), restartLength)
	setup.Fleet.Down = func(now time.Duration, front int) bool { return front%10 == 5 && down(now) }
	return setup
}
