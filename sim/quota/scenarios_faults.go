package quota

import (
	"math/rand/v2"
	"time"
)

// networkScenarios lose messages or partition the regions.
var networkScenarios = []Scenario{
	{"losses", messageLosses, jumpToExcess},
	{"under, region cut, jump on both sides", partitionWithJump, Requirements{Max: maxAdmittedPartitioned, MaxRefused: refusalsAllowed}},
	{"region cut", partition, Requirements{Max: maxAdmittedPartitioned, Min: minAdmitted, MinByRegion: minByRegionPartitioned, MaxRefused: refusalsAllowed}},
	{"region cut, load jumps where it was not", partitionWithMovedLoad, Requirements{Max: maxAdmittedPartitioned, MinByRegion: minByRegionPartitioned, MaxRefused: refusalsAllowed}},
}

// ownerScenarios kill or freeze the front that owns the tenant's counter.
var ownerScenarios = []Scenario{
	{"holder killed", ownerKilled, steadyUse},
	{"holder killed, under", ownerKilledUnderLimit, noRefusal},
	{"under, holder frozen", ownerFrozenRepeatedly, noRefusal},
	{"under, holder killed with others", ownerKilledWithOthers, noRefusal},
	{"under, holder frozen while two are killed", ownerFrozenOthersKilled, noRefusal},
	{"holder frozen", ownerFrozen, steadyUse},
	{"under, jump in all while the holder is frozen", ownerFrozenDuringJump, onlyMax},
	{"holder dark for long", ownerDownForLong, onlyMax},
}

// processScenarios restart fronts or step a front's clock.
var processScenarios = []Scenario{
	{"restarts in turn", rollingRestart, steadyUse},
	{"clock step of one front", clockStep, steadyUse},
}

const (
	owner          = 0 // the front that owns the counter where OwnerFirst is set
	freezeLength   = 5 * second
	partitionTime  = 25 * second
	restartTime    = 1500 * time.Millisecond
	rosterExpiry   = 2 * second
	minFirstRegion = 3
)

func messageLosses(random *rand.Rand) Setup {
	setup := tenfoldJump(random)
	setup.Fleet.Loss = 0.05
	return setup
}

// during returns whether an instant is in a span.
func during(from, length time.Duration) func(now time.Duration) bool {
	return func(now time.Duration) bool { return now >= from && now < from+length }
}

// downFrom stops the owner for good.
func downFrom(at time.Duration) func(time.Duration, int) bool {
	return func(now time.Duration, front int) bool { return now >= at && front == owner }
}

// frozenFrom freezes the owner once.
func frozenFrom(at time.Duration) func(time.Duration, int) bool {
	frozen := during(at, freezeLength)
	return func(now time.Duration, front int) bool { return front == owner && frozen(now) }
}

func drawFirstRegion(random *rand.Rand) int { return minFirstRegion + random.IntN(4) }

func partitionWithJump(random *rand.Rand) Setup {
	at, before := faultStart(random), between(random, 0.1, 0.75)
	firstRegion := drawFirstRegion(random)
	jumpAt := at + durationBetween(random, 0, 4*second)
	return Setup{Fleet: Fleet{FirstRegion: firstRegion, Demand: jump(defaultFronts, jumpAt, before, 10*before), Length: 60 * second, FollowFaults: true,
		Partitioned: during(at, partitionTime)}}
}

func partition(random *rand.Rand) Setup {
	first, other := between(random, 1.5, 5), between(random, 1.5, 5)
	firstRegion := drawFirstRegion(random)
	fleet := Fleet{FirstRegion: firstRegion, Length: 70 * second, Demand: byRegion(defaultFronts, firstRegion, first, other),
		Partitioned: during(faultStart(random), partitionTime)}
	return Setup{Fleet: fleet, ExcessFrom: 8 * second, ExcessUntil: 70 * second}
}

// partitionWithMovedLoad offers the demand in one region, and in both from two
// seconds after the partition's start.
func partitionWithMovedLoad(random *rand.Rand) Setup {
	multiple, firstBefore := between(random, 1.5, 5), random.IntN(2) == 0
	firstRegion := drawFirstRegion(random)
	at := faultStart(random)
	both := byRegion(defaultFronts, firstRegion, multiple, multiple)
	demand := func(now time.Duration, front int) float64 {
		if now < at+2*second && (front < firstRegion) != firstBefore {
			return 0
		}
		return both(now, front)
	}
	fleet := Fleet{FirstRegion: firstRegion, Length: 70 * second, Demand: demand, Partitioned: during(at, partitionTime)}
	return Setup{Fleet: fleet, ExcessFrom: at + 2*second, ExcessUntil: at + partitionTime}
}

func ownerKilled(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenly(defaultFronts, between(random, 1.5, 5)), Length: 60 * second, ForgetAfter: rosterExpiry, OwnerFirst: true}
	fleet.Down = downFrom(faultStart(random))
	return Setup{Fleet: fleet, ExcessUntil: 60 * second}
}

func ownerKilledUnderLimit(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenly(defaultFronts, between(random, 0.3, 0.75)), Length: 60 * second, ForgetAfter: rosterExpiry, OwnerFirst: true}
	fleet.Down = downFrom(faultStart(random))
	return Setup{Fleet: fleet}
}

func ownerFrozenRepeatedly(random *rand.Rand) Setup {
	fleet := largeRequests(random)
	at := durationBetween(random, 16*second, 20*second)
	fleet.Frozen = func(now time.Duration, front int) bool {
		return front == owner && now >= at && (now-at)%(17*second) < freezeLength
	}
	return Setup{Fleet: fleet}
}

func ownerKilledWithOthers(random *rand.Rand) Setup {
	fleet := largeRequests(random)
	at, others := faultStart(random), 1+random.IntN(3)
	fleet.Down = func(now time.Duration, front int) bool { return now >= at && front%2 == 0 && front/2 <= others }
	return Setup{Fleet: fleet}
}

func ownerFrozenOthersKilled(random *rand.Rand) Setup {
	fleet := largeRequests(random)
	at := faultStart(random)
	fleet.Frozen = frozenFrom(at)
	down := during(at+2*second, 7*second)
	fleet.Down = func(now time.Duration, front int) bool { return (front == 3 || front == 7) && down(now) }
	return Setup{Fleet: fleet}
}

func ownerFrozen(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenly(defaultFronts, between(random, 1.5, 5)), Length: 60 * second, FollowFaults: true, OwnerFirst: true}
	fleet.Frozen = frozenFrom(faultStart(random))
	return Setup{Fleet: fleet, ExcessUntil: 60 * second}
}

func ownerFrozenDuringJump(random *rand.Rand) Setup {
	at, before := faultStart(random), between(random, 0.1, 0.75)
	jumpAt := at + durationBetween(random, 0, 4*second)
	return Setup{Fleet: Fleet{Demand: jump(defaultFronts, jumpAt, before, 10*before), Length: 50 * second, FollowFaults: true, OwnerFirst: true,
		Frozen: frozenFrom(at)}}
}

func ownerDownForLong(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenly(defaultFronts, between(random, 1.5, 5)), Length: 60 * second, OwnerFirst: true}
	down := during(faultStart(random), 20*second)
	fleet.Down = func(now time.Duration, front int) bool { return front == owner && down(now) }
	return Setup{Fleet: fleet, ExcessUntil: 60 * second}
}

func rollingRestart(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenly(defaultFronts, between(random, 1.5, 5)), Length: 80 * second, FlushOnStop: random.IntN(2) == 0}
	gap := durationBetween(random, 3*second, 6*second)
	fleet.Down = func(now time.Duration, front int) bool {
		return during(12*second+time.Duration(front)*gap, restartTime)(now)
	}
	return Setup{Fleet: fleet, ExcessUntil: 80 * second}
}

func clockStep(random *rand.Rand) Setup {
	fleet := Fleet{Demand: evenly(defaultFronts, between(random, 1.5, 5)), Length: 60 * second}
	stepped := during(durationBetween(random, 10*second, 20*second), 20*second)
	front, step := random.IntN(defaultFronts), time.Duration(between(random, -1, 1)*float64(second))
	fleet.ClockOffset = func(now time.Duration, i int) time.Duration {
		if i == front && stepped(now) {
			return step
		}
		return 0
	}
	return Setup{Fleet: fleet, ExcessUntil: 60 * second}
}
