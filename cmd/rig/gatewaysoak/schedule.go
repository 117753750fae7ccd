package gatewaysoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// action is what a step does to its target.
type action string

// The actions. All are planned work: no process is killed, frozen or cut off.
const (
	restart        action = "restart"         // SIGTERM, and a start after the exit
	restartSignals action = "restart_signals" // as restart, with further signals during the drain and SIGTERM during the start
	hangups        action = "hangups"         // a burst of SIGHUP, also during a drain
	changeSettings action = "change_settings" // another settings file and SIGHUP
	changeConfig   action = "change_config"   // changes of the configuration in quick succession
	drainServer    action = "drain_server"    // a server is listed as draining for a while
)

const (
	minSeriesGap = 300 * time.Millisecond // between the starts of two series
	maxSeriesGap = 1500 * time.Millisecond
	maxStepGap   = 2500 * time.Millisecond // between the steps of a series
	maxDownTime  = 500 * time.Millisecond  // between the exit and the start of a process
	maxBurst     = 8                       // signals or changes in a step
	// maxSteps bounds how far the steps of a process, which run in sequence, can fall
	// behind the schedule.
	maxSteps       = 3
	maxServerDrain = 4 * time.Second
)

// step is one step of a schedule. Steps of one target run in sequence, except hangups
// and changes of its settings; those of different targets overlap.
type step struct {
	At     time.Duration // from the start of the soak; later if the target's previous step has not ended
	Action action
	Target string
	Length time.Duration // of the wait within the step
	Count  int           // of signals or changes
}

// lane returns the name of the sequence that the step belongs to.
func (s step) lane() string {
	if s.Action == hangups || s.Action == changeSettings {
		return s.Target + " " + string(s.Action)
	}
	return s.Target
}

// targets are the names of what a schedule may act on.
type targets struct {
	cores, fronts, servers []string
}

// schedule generates the steps of a soak.
type schedule struct {
	random  *rand.Rand
	targets targets
	steps   []step
	counts  map[string]int // steps by lane
}

// newSchedule returns the steps of a soak, sorted by time. The result depends only on the
// arguments.
func newSchedule(seed uint64, targets targets, length time.Duration) []step {
	s := &schedule{random: rand.New(rand.NewPCG(seed, scheduleSeedWord)), targets: targets, counts: map[string]int{}}
	var remaining []action
	for offset := time.Duration(0); offset < length; offset += s.between(minSeriesGap, maxSeriesGap) {
		if len(remaining) == 0 {
			remaining = s.shuffledActions()
		}
		s.addSeries(remaining[0], offset)
		remaining = remaining[1:]
	}
	slices.SortStableFunc(s.steps, func(a, b step) int { return cmp.Compare(a.At, b.At) })
	return s.steps
}

func (s *schedule) shuffledActions() []action {
	actions := []action{restart, restart, restartSignals, restartSignals, hangups, changeSettings, changeConfig, drainServer}
	s.random.Shuffle(len(actions), func(i, j int) { actions[i], actions[j] = actions[j], actions[i] })
	return actions
}

// addSeries adds the steps of a series that starts at an offset.
func (s *schedule) addSeries(kind action, offset time.Duration) {
	switch kind {
	case changeConfig:
		s.add(step{At: offset, Action: kind, Target: operatorLane, Count: 1 + s.random.IntN(maxBurst)})
	case drainServer:
		s.add(step{At: offset, Action: kind, Target: s.oneOf(s.targets.servers), Length: s.between(0, maxServerDrain)})
	default:
		s.addInTurn(kind, offset)
	}
}

// addInTurn adds a step for each of several processes: fronts, or rarely cores.
func (s *schedule) addInTurn(kind action, offset time.Duration) {
	names := slices.Clone(s.targets.fronts)
	if s.random.IntN(3) == 0 {
		names = slices.Clone(s.targets.cores)
	}
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:1+s.random.IntN(len(names))] {
		s.add(step{At: offset, Action: kind, Target: name, Length: s.between(0, maxDownTime), Count: 1 + s.random.IntN(maxBurst)})
		offset += s.between(0, maxStepGap)
	}
}

func (s *schedule) add(added step) {
	if s.counts[added.lane()] >= maxSteps {
		return
	}
	s.counts[added.lane()]++
	s.steps = append(s.steps, added)
}

func (s *schedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *schedule) oneOf(names []string) string { return names[s.random.IntN(len(names))] }
