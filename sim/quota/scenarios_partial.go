package quota

import (
	"math/rand/v2"
	"slices"
	"time"
)

// partialScenarios partition the owner of the tenant's counter from a few fronts, while
// all other paths between fronts work and the tenant's demand jumps.
var partialScenarios = []Scenario{
	{"owner partitioned from one front", partialPartition{cutOffCount: 1}.draw, maxOnlyRequirements},
	{"owner partitioned from two fronts", partialPartition{cutOffCount: 2}.draw, maxOnlyRequirements},
	{"owner partitioned from three fronts", partialPartition{cutOffCount: 3}.draw, maxOnlyRequirements},
	{"owner partitioned from two fronts, one the next owner", partialPartition{cutOffCount: 2, withNext: true}.draw, maxOnlyRequirements},
	{"messages from two fronts to the owner dropped", partialPartition{cutOffCount: 2, direction: toOwner}.draw, maxOnlyRequirements},
	{"messages from the owner to two fronts dropped", partialPartition{cutOffCount: 2, direction: fromOwner}.draw, maxOnlyRequirements},
}

const (
	partialPartitionLength = 12 * second
	earliestPartialJump    = -500 * time.Millisecond
	latestPartialJump      = 3 * second
	nextOwner              = 1 // index of the next owner if Fleet.SecondIsNextOwner is set
)

// dropDirection is the direction in which messages are dropped.
type dropDirection int

const (
	bothWays dropDirection = iota
	toOwner
	fromOwner
)

// partialPartition draws runs in which the owner is partitioned from some fronts.
type partialPartition struct {
	cutOffCount int  // number of fronts that are partitioned from the owner
	withNext    bool // nextOwner is one of them
	direction   dropDirection
}

func (c partialPartition) draw(random *rand.Rand) Setup {
	at := drawFaultStart(random)
	before := drawBetween(random, 0.2, 0.75)
	jumpAt := at + drawDuration(random, earliestPartialJump, latestPartialJump)
	cutOff := c.drawFronts(random)
	active := within(at, partialPartitionLength)
	unreachable := func(now time.Duration, from, to int) bool {
		return active(now) && c.drops(cutOff, from, to)
	}
	fleet := Fleet{
		Demand:             demandJump(defaultFronts, jumpAt, before, drawBetween(random, 6, 10)*before),
		Length:             46 * second,
		StaggeredDetection: true,
		FirstIsOwner:       true,
		SecondIsNextOwner:  true,
		Unreachable:        unreachable,
	}
	return Setup{Fleet: fleet, ExcessFrom: jumpAt, ExcessUntil: fleet.Length}
}

// drawFronts draws the fronts that are partitioned from the owner.
func (c partialPartition) drawFronts(random *rand.Rand) []int {
	others := random.Perm(defaultFronts - 1)
	for i := range others {
		others[i]++
	}
	if at := slices.Index(others, nextOwner); c.withNext {
		others[0], others[at] = others[at], others[0]
	}
	return others[:c.cutOffCount]
}

func (c partialPartition) drops(cutOff []int, from, to int) bool {
	toTheOwner := to == owner && slices.Contains(cutOff, from)
	fromTheOwner := from == owner && slices.Contains(cutOff, to)
	return toTheOwner && c.direction != fromOwner || fromTheOwner && c.direction != toOwner
}
