package faultcase

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// soakAction is what one step of a soak does to its target.
type soakAction string

// Actions of a soak. A node is running again after each action on it.
const (
	soakRestart         soakAction = "restart"          // SIGTERM, then a start
	soakRestartFrozen   soakAction = "restart_frozen"   // SIGTERM to a process stopped by SIGSTOP, then SIGCONT and a start
	soakKillDraining    soakAction = "kill_draining"    // SIGTERM, SIGKILL during the drain, then a start
	soakKill            soakAction = "kill"             // SIGKILL, then a start
	soakFreeze          soakAction = "freeze"           // SIGSTOP, then SIGCONT
	soakHangups         soakAction = "hangups"          // a burst of SIGHUP, also while the process drains
	soakChangeSettings  soakAction = "change_settings"  // another settings file, SIGHUP, and a restart
	soakChangeSheet     soakAction = "change_sheet"     // orders in quick succession: a new tenant, a revoked key, a limit
	soakRaceOperators   soakAction = "race_operators"   // two operators submit orders of one base concurrently
	soakReplaceServer   soakAction = "replace_server"   // a model server drains, leaves and returns cold
	soakCrashServer     soakAction = "crash_server"     // a model server crashes and returns cold
	soakRestartCores    soakAction = "restart_cores"    // cores restarted in turn; a series only
	soakReloadThenLeave soakAction = "reload_and_leave" // hangups and a restart of one node at once; a series only
)

// Limits of a storm's schedule.
const (
	minSeriesGap = 200 * time.Millisecond // from the start of a series to the start of the next
	maxSeriesGap = 900 * time.Millisecond
	minStepGap   = time.Millisecond // from one step of a series to the next
	maxStepGap   = time.Second
	maxDownTime  = 500 * time.Millisecond  // of a node between its exit and its restart
	maxFreeze    = 2500 * time.Millisecond // slightly longer than a lease
	maxBurst     = 15                      // orders or signals in a step

	// A crashed server is down for at least two status intervals (watch.interval);
	// before that, no node can detect that it is cold again.
	minServerDown = time.Second
	maxServerDown = 2 * time.Second

	// maxStepsPerNode bounds how far the steps of a node, which run in sequence, can fall
	// behind the schedule; maxStepsPerServer does so for a server.
	maxStepsPerNode   = 4
	maxStepsPerServer = 1
)

// soakStep is one step of a schedule. Steps of one target run in sequence, those of
// different targets may overlap.
type soakStep struct {
	At     time.Duration // from the start of the storm; later if the target's previous step has not ended
	Action soakAction
	Target string
	Length time.Duration // of the wait within the step
	Count  int           // of orders or signals
}

// soakTargets holds the names of the nodes and servers that a schedule may act on.
type soakTargets struct {
	cores  []string
	fronts []string
	models []string
}

// soakSchedule generates the steps of a storm.
type soakSchedule struct {
	random      *rand.Rand
	targets     soakTargets
	length      time.Duration
	steps       []soakStep
	stepCounts  map[string]int // by target
	orderSeries int
}

// newSoakSteps returns the steps of the storm of a number, sorted by time. The
// result depends only on the arguments.
func newSoakSteps(seed, storm uint64, targets soakTargets, length time.Duration) []soakStep {
	schedule := &soakSchedule{
		random:     rand.New(rand.NewPCG(seed, storm)),
		targets:    targets,
		length:     length,
		stepCounts: map[string]int{},
	}
	// Kinds are taken from a shuffled list until it is empty, so that every storm that is
	// long enough has each kind.
	var remainingKinds []soakAction
	for offset := time.Duration(0); offset < length; offset += schedule.randomDuration(minSeriesGap, maxSeriesGap) {
		if len(remainingKinds) == 0 {
			remainingKinds = schedule.shuffledKinds()
		}
		schedule.addSeries(remainingKinds[0], offset)
		remainingKinds = remainingKinds[1:]
	}
	slices.SortStableFunc(schedule.steps, func(a, b soakStep) int { return cmp.Compare(a.At, b.At) })
	return schedule.steps
}

func (s *soakSchedule) shuffledKinds() []soakAction {
	kinds := []soakAction{
		soakRestart, soakRestartCores, soakRestartFrozen, soakKillDraining, soakKill, soakFreeze, soakHangups,
		soakReloadThenLeave, soakChangeSettings, soakChangeSheet, soakChangeSheet, soakRaceOperators,
		soakReplaceServer, soakCrashServer,
	}
	s.random.Shuffle(len(kinds), func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	return kinds
}

// addSeries adds the steps of a series of a kind that starts at a time.
func (s *soakSchedule) addSeries(kind soakAction, offset time.Duration) {
	nodes := slices.Concat(s.targets.cores, s.targets.fronts)
	switch kind {
	case soakRestart:
		s.addInTurn(kind, offset, s.randomNames(s.targets.fronts, 1+s.random.IntN(len(s.targets.fronts))))
	case soakRestartCores:
		s.addInTurn(soakRestart, offset, s.randomNames(s.targets.cores, len(s.targets.cores)))
	case soakHangups:
		s.addInTurn(kind, offset, s.randomNames(nodes, 1+len(nodes)/2))
	case soakReloadThenLeave:
		leaving := s.randomNames(nodes, 2)
		s.addInTurn(soakHangups, offset, leaving)
		s.addInTurn(soakRestart, offset, leaving)
	case soakChangeSheet, soakRaceOperators:
		s.orderSeries++
		s.addStep(kind, offset, fmt.Sprintf("orders%d", s.orderSeries))
	case soakReplaceServer, soakCrashServer:
		s.addInTurn(kind, offset, s.randomNames(s.targets.models, 1))
	default:
		s.addInTurn(kind, offset, s.randomNames(nodes, 1+s.random.IntN(2)))
	}
}

// addInTurn adds a step for each target, with gaps of one millisecond to one second.
func (s *soakSchedule) addInTurn(action soakAction, offset time.Duration, targets []string) {
	for _, target := range targets {
		s.addStep(action, offset, target)
		offset += s.randomDuration(minStepGap, maxStepGap)
	}
}

// addStep adds a step unless it starts after the end of the storm or its target already has
// the maximum number of steps. It draws the same random numbers in either case.
func (s *soakSchedule) addStep(action soakAction, offset time.Duration, target string) {
	step := soakStep{
		At:     offset,
		Action: action,
		Target: target,
		Length: s.randomLength(action),
		Count:  1 + s.random.IntN(maxBurst),
	}
	if offset >= s.length || (action != soakHangups && s.stepCounts[target] >= s.maxSteps(action)) {
		return
	}
	if action != soakHangups {
		s.stepCounts[target]++
	}
	s.steps = append(s.steps, step)
}

func (s *soakSchedule) maxSteps(action soakAction) int {
	if action == soakReplaceServer || action == soakCrashServer {
		return maxStepsPerServer
	}
	return maxStepsPerNode
}

func (s *soakSchedule) randomLength(action soakAction) time.Duration {
	switch action {
	case soakFreeze, soakRestartFrozen:
		return s.randomDuration(minStepGap, maxFreeze)
	case soakCrashServer:
		return s.randomDuration(minServerDown, maxServerDown)
	}
	return s.randomDuration(0, maxDownTime)
}

func (s *soakSchedule) randomDuration(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// randomNames returns at most count different names in random order.
func (s *soakSchedule) randomNames(names []string, count int) []string {
	shuffled := slices.Clone(names)
	s.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(count, len(shuffled))]
}
