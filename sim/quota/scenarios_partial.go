package quota

import (
	"math/rand/v2"
	"slices"
	"time"
)

// partialScenarios partition the owner of the tenant's counter from a few fronts,
// while every other path between two fronts works and the tenant's demand jumps.
var partialScenarios = []Scenario{
	{"holder cut from one front, jump", partialCut{fronts: 1}.draw, onlyMax},
	{"holder cut from two fronts, jump", partialCut{fronts: 2}.draw, onlyMax},
	{"holder cut from three fronts, jump", partialCut{fronts: 3}.draw, onlyMax},
	{"holder cut from two fronts, next among them", partialCut{fronts: 2, withNext: true}.draw, onlyMax},
	{"holder cut one way from two fronts, jump", partialCut{fronts: 2, direction: toOwner}.draw, onlyMax},
	{"two fronts cut one way from the holder, jump", partialCut{fronts: 2, direction: fromOwner}.draw, onlyMax},
}

const (
	partialCutTime  = 12 * second
	earliestCutJump = -500 * time.Millisecond
	latestCutJump   = 3 * second
	nextOwner       = 1 // the front that owns the counter without the owner where SecondNext is set
)

// cutDirection is the direction in which messages are dropped.
type cutDirection int

const (
	bothWays cutDirection = iota
	toOwner
	fromOwner
)

// partialCut draws runs in which the owner is partitioned from some fronts.
type partialCut struct {
	fronts    int  // number of fronts that are cut off
	withNext  bool // the next owner by rendezvous hashing is among them
	direction cutDirection
}

func (c partialCut) draw(random *rand.Rand) Setup {
	at := faultStart(random)
	before := between(random, 0.2, 0.75)
	jumpAt := at + durationBetween(random, earliestCutJump, latestCutJump)
	cutOff := c.drawFronts(random)
	active := during(at, partialCutTime)
	unreachable := func(now time.Duration, from, to int) bool {
		return active(now) && c.drops(cutOff, from, to)
	}
	fleet := Fleet{
		Demand:       jump(defaultFronts, jumpAt, before, between(random, 6, 10)*before),
		Length:       46 * second,
		FollowFaults: true,
		OwnerFirst:   true,
		SecondNext:   true,
		Unreachable:  unreachable,
	}
	return Setup{Fleet: fleet, ExcessFrom: jumpAt, ExcessUntil: fleet.Length}
}

// drawFronts draws the fronts that are cut off. The first front is the owner.
func (c partialCut) drawFronts(random *rand.Rand) []int {
	others := random.Perm(defaultFronts - 1)
	for i := range others {
		others[i]++
	}
	if at := slices.Index(others, nextOwner); c.withNext {
		others[0], others[at] = others[at], others[0]
	}
	return others[:c.fronts]
}

func (c partialCut) drops(cutOff []int, from, to int) bool {
	toTheOwner := to == owner && slices.Contains(cutOff, from)
	fromTheOwner := from == owner && slices.Contains(cutOff, to)
	return toTheOwner && c.direction != fromOwner || fromTheOwner && c.direction != toOwner
}
