package quota

import (
	"math/rand/v2"
	"time"
)

// networkScenarios drop messages at random or partition the regions.
var networkScenarios = []Scenario{
	{"5% message loss, tenfold jump", messageLosses, jumpRequirements},
	{"region partition, jump in both regions", partitionWithJump, Requirements{MaxAdmitted: maxAdmittedPartitioned, MaxRefusedFraction: refusalsUnchecked}},
	{"region partition", partition, Requirements{MaxAdmitted: maxAdmittedPartitioned, MinAdmitted: minAdmitted, MinAdmittedByRegion: minByRegionPartitioned, MaxRefusedFraction: refusalsUnchecked}},
	{"region partition, demand starts in the idle region", partitionWithMovedLoad, Requirements{MaxAdmitted: maxAdmittedPartitioned, MinAdmittedByRegion: minByRegionPartitioned, MaxRefusedFraction: refusalsUnchecked}},
}

// ownerScenarios kill or freeze the front that owns the tenant's counter.
var ownerScenarios = []Scenario{
	{"owner killed", ownerKilled, steadyExcessRequirements},
	{"under limit, owner killed", ownerKilledUnderLimit, noRefusalRequirements},
	{"under limit, owner frozen repeatedly", ownerFrozenRepeatedly, noRefusalRequirements},
	{"under limit, owner and other fronts killed", ownerKilledWithOthers, noRefusalRequirements},
	{"under limit, owner frozen while two fronts are killed", ownerFrozenOthersKilled, noRefusalRequirements},
	{"owner frozen", ownerFrozen, steadyExcessRequirements},
	{"owner frozen, tenfold jump meanwhile", ownerFrozenDuringJump, maxOnlyRequirements},
	{"owner down for 20 s, not removed", ownerDownForLong, maxOnlyRequirements},
}

// processScenarios restart fronts or step a front's clock.
var processScenarios = []Scenario{
	{"rolling restart", rollingRestart, steadyExcessRequirements},
	{"clock step at one front", clockStep, steadyExcessRequirements},
}

const (
	owner              = 0 // index of the owner if Fleet.FirstIsOwner is set
	freezeLength       = 5 * second
	partitionLength    = 25 * second
	restartLength      = 1500 * time.Millisecond
	rosterRemovalDelay = 2 * second
	minFirstRegion     = 3
)

func messageLosses(random *rand.Rand) Setup {
	setup := tenfoldJump(random)
	setup.Fleet.Loss = 0.05
	return setup
}

// within returns a function that reports whether an instant is in the given interval.
func within(from, length time.Duration) func(now time.Duration) bool {
	return func(now time.Duration) bool { return now >= from && now < from+length }
}

// ownerDownFrom stops the owner at an instant and doesn't restart it.
func ownerDownFrom(at time.Duration) func(time.Duration, int) bool {
	return func(now time.Duration, front int) bool { return now >= at && front == owner }
}

// ownerFrozenFrom freezes the owner for freezeLength.
func ownerFrozenFrom(at time.Duration) func(time.Duration, int) bool {
	frozen := within(at, freezeLength)
	return func(now time.Duration, front int) bool { return front == owner && frozen(now) }
}

func drawFirstRegion(random *rand.Rand) int { return minFirstRegion + random.IntN(4) }

func partitionWithJump(random *rand.Rand) Setup {
	at, before := drawFaultStart(random), drawBetween(random, 0.1, 0.75)
	firstRegion := drawFirstRegion(random)
	jumpAt := at + drawDuration(random, 0, 4*second)
	return Setup{Fleet: Fleet{FirstRegion: firstRegion, Demand: demandJump(defaultFronts, jumpAt, before, 10*before), Length: 60 * second, StaggeredDetection: true,
		Partitioned: within(at, partitionLength)}}
}

func partition(random *rand.Rand) Setup {
	first, other := drawBetween(random, 1.5, 5), drawBetween(random, 1.5, 5)
	firstRegion := drawFirstRegion(random)
	fleet := Fleet{FirstRegion: firstRegion, Length: 70 * second, Demand: regionDemand(defaultFronts, firstRegion, first, other),
		Partitioned: within(drawFaultStart(random), partitionLength)}
	return Setup{Fleet: fleet, ExcessFrom: 8 * second, ExcessUntil: 70 * second}
}

// partitionWithMovedLoad offers the demand in one region only, and in both regions from
// 2 s after the start of the partition.
func partitionWithMovedLoad(random *rand.Rand) Setup {
	multiple, firstBefore := drawBetween(random, 1.5, 5), random.IntN(2) == 0
	firstRegion := drawFirstRegion(random)
	at := drawFaultStart(random)
	both := regionDemand(defaultFronts, firstRegion, multiple, multiple)
	demand := func(now time.Duration, front int) float64 {
		if now < at+2*second && (front < firstRegion) != firstBefore {
			return 0
		}
		return both(now, front)
	}
	fleet := Fleet{FirstRegion: firstRegion, Length: 70 * second, Demand: demand, Partitioned: within(at, partitionLength)}
	return Setup{Fleet: fleet, ExcessFrom: at + 2*second, ExcessUntil: at + partitionLength}
}

func ownerKilled(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenDemand(defaultFronts, drawBetween(random, 1.5, 5)), Length: 60 * second, RemoveDownAfter: rosterRemovalDelay, FirstIsOwner: true}
	fleet.Down = ownerDownFrom(drawFaultStart(random))
	return Setup{Fleet: fleet, ExcessUntil: 60 * second}
}

func ownerKilledUnderLimit(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenDemand(defaultFronts, drawBetween(random, 0.3, 0.75)), Length: 60 * second, RemoveDownAfter: rosterRemovalDelay, FirstIsOwner: true}
	fleet.Down = ownerDownFrom(drawFaultStart(random))
	return Setup{Fleet: fleet}
}

func ownerFrozenRepeatedly(random *rand.Rand) Setup {
	fleet := fleetWithLargeRequests(random)
	at := drawDuration(random, 16*second, 20*second)
	fleet.Frozen = func(now time.Duration, front int) bool {
		return front == owner && now >= at && (now-at)%(17*second) < freezeLength
	}
	return Setup{Fleet: fleet}
}

func ownerKilledWithOthers(random *rand.Rand) Setup {
	fleet := fleetWithLargeRequests(random)
	at, others := drawFaultStart(random), 1+random.IntN(3)
	fleet.Down = func(now time.Duration, front int) bool { return now >= at && front%2 == 0 && front/2 <= others }
	return Setup{Fleet: fleet}
}

func ownerFrozenOthersKilled(random *rand.Rand) Setup {
	fleet := fleetWithLargeRequests(random)
	at := drawFaultStart(random)
	fleet.Frozen = ownerFrozenFrom(at)
	down := within(at+2*second, 7*second)
	fleet.Down = func(now time.Duration, front int) bool { return (front == 3 || front == 7) && down(now) }
	return Setup{Fleet: fleet}
}

func ownerFrozen(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenDemand(defaultFronts, drawBetween(random, 1.5, 5)), Length: 60 * second, StaggeredDetection: true, FirstIsOwner: true}
	fleet.Frozen = ownerFrozenFrom(drawFaultStart(random))
	return Setup{Fleet: fleet, ExcessUntil: 60 * second}
}

func ownerFrozenDuringJump(random *rand.Rand) Setup {
	at, before := drawFaultStart(random), drawBetween(random, 0.1, 0.75)
	jumpAt := at + drawDuration(random, 0, 4*second)
	return Setup{Fleet: Fleet{Demand: demandJump(defaultFronts, jumpAt, before, 10*before), Length: 50 * second, StaggeredDetection: true, FirstIsOwner: true,
		Frozen: ownerFrozenFrom(at)}}
}

func ownerDownForLong(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenDemand(defaultFronts, drawBetween(random, 1.5, 5)), Length: 60 * second, FirstIsOwner: true}
	down := within(drawFaultStart(random), 20*second)
	fleet.Down = func(now time.Duration, front int) bool { return front == owner && down(now) }
	return Setup{Fleet: fleet, ExcessUntil: 60 * second}
}

func rollingRestart(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenDemand(defaultFronts, drawBetween(random, 1.5, 5)), Length: 80 * second, FlushOnStop: random.IntN(2) == 0}
	gap := drawDuration(random, 3*second, 6*second)
	fleet.Down = func(now time.Duration, front int) bool {
		return within(12*second+time.Duration(front)*gap, restartLength)(now)
	}
	return Setup{Fleet: fleet, ExcessUntil: 80 * second}
}

func clockStep(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenDemand(defaultFronts, drawBetween(random, 1.5, 5)), Length: 60 * second}
	stepped := within(drawDuration(random, 10*second, 20*second), 20*second)
	front, step := random.IntN(defaultFronts), time.Duration(drawBetween(random, -1, 1)*float64(second))
	fleet.ClockOffset = func(now time.Duration, i int) time.Duration {
		if i == front && stepped(now) {
			return step
		}
		return 0
	}
	return Setup{Fleet: fleet, ExcessUntil: 60 * second}
}
