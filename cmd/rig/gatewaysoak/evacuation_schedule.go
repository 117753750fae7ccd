package gatewaysoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Actions of an evacuation soak. All but the changes act on all processes of a machine.
const (
	freeze     action = "freeze"      // SIGSTOP, and SIGCONT after a while
	freezeStop action = "freeze_stop" // as freeze, with SIGTERM meanwhile, and a start after the exit
	kill       action = "kill"        // SIGKILL, and a start after a while
	terminate  action = "terminate"   // SIGTERM, and a start after the exit
)

const (
	minFreeze          = 300 * time.Millisecond
	minCoreFreeze      = 3 * time.Second // longer than an operator waits for a core
	maxFreeze          = 6 * time.Second
	maxKillDownTime    = 2 * time.Second
	minDisturbanceGap  = 200 * time.Millisecond // between the starts of two disturbances of other machines
	maxDisturbanceGap  = 2500 * time.Millisecond
	minCoreGap         = 500 * time.Millisecond // between the disturbances of two machines with a core
	maxCoreGap         = 4 * time.Second
	overlappingCoreOne = 6 // one in so many disturbances of a core overlaps the next one
	maxChangeGap       = 3 * time.Second
)

// evacuationTargets are the names of the machines of an evacuation soak.
type evacuationTargets struct {
	cores, others []string
}

// newEvacuationSchedule returns the disturbances and changes of an evacuation soak, sorted
// by time. Machines with a core are disturbed one after another, but for a few that
// overlap; others overlap freely. The result depends only on the arguments.
func newEvacuationSchedule(seed uint64, targets evacuationTargets, length time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, evacuationSeedWord))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)+1))
	}
	disturb := func(at time.Duration, names []string, shortest time.Duration) step {
		kinds := []action{freeze, freeze, freeze, freeze, freezeStop, kill, terminate}
		return step{At: at, Action: kinds[random.IntN(len(kinds))], Target: names[random.IntN(len(names))], Length: between(shortest, maxFreeze)}
	}
	var steps []step
	for at := between(0, maxCoreGap); at < length; {
		added := disturb(at, targets.cores, minCoreFreeze)
		steps = append(steps, added)
		if random.IntN(overlappingCoreOne) > 0 {
			at += added.disturbanceTime()
		}
		at += between(minCoreGap, maxCoreGap)
	}
	for at := between(0, maxDisturbanceGap); at < length && len(targets.others) > 0; at += between(minDisturbanceGap, maxDisturbanceGap) {
		steps = append(steps, disturb(at, targets.others, minFreeze))
	}
	for at := between(0, maxChangeGap); at < length; at += between(0, maxChangeGap) {
		steps = append(steps, step{At: at, Action: changeConfig, Target: operatorLane, Count: 1 + random.IntN(maxBurst)})
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// disturbanceTime returns the longest time that a disturbance usually takes.
func (s step) disturbanceTime() time.Duration {
	switch s.Action {
	case kill:
		return maxKillDownTime
	case terminate:
		return grace
	case freezeStop:
		return s.Length + grace
	}
	return s.Length
}
