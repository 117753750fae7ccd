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

// Actions of a soak. Those on nodes leave the node running.
const (
	soakRestart         soakAction = "restart"          // SIGTERM, then a start
	soakRestartFrozen   soakAction = "restart_frozen"   // SIGTERM to a frozen process, which is then resumed
	soakKillDraining    soakAction = "kill_draining"    // SIGTERM, and SIGKILL soon after
	soakKill            soakAction = "kill"             // SIGKILL, then a start
	soakFreeze          soakAction = "freeze"           // SIGSTOP, then SIGCONT
	soakHangups         soakAction = "hangups"          // a burst of SIGHUP, also while the process drains
	soakChangeSettings  soakAction = "change_settings"  // another settings file, SIGHUP, and a restart
	soakChangeSheet     soakAction = "change_sheet"     // orders in quick succession: a new tenant, a revoked key, a limit
	soakRaceOperators   soakAction = "race_operators"   // two operators submit on one base at once
	soakReplaceServer   soakAction = "replace_server"   // a model server drains, leaves and returns cold
	soakCrashServer     soakAction = "crash_server"     // a model server crashes and returns cold
	soakRestartCores    soakAction = "restart_cores"    // cores restarted in turn; a series only
	soakReloadThenLeave soakAction = "reload_and_leave" // hangups and a restart of one node at once; a series only
)

// Limits of a storm's schedule.
const (
	minSeriesGap = 200 * time.Millisecond // from the beginning of a series to that of the next
	maxSeriesGap = 900 * time.Millisecond
	minStepGap   = time.Millisecond // from one step of a series to the next
	maxStepGap   = time.Second
	maxDownTime  = 500 * time.Millisecond  // of a node between its end and its start
	maxFreeze    = 2500 * time.Millisecond // somewhat more than a lease lasts
	maxBurst     = 15                      // orders or signals of a step

	// A crashed server is away for two status intervals (watch.interval) at least:
	// nobody can know before that it is cold.
	minServerDown = time.Second
	maxServerDown = 2 * time.Second

	// maxStepsOfNode bounds how far the steps of a node, which follow one another,
	// can fall behind the schedule. The same holds for a server.
	maxStepsOfNode   = 4
	maxStepsOfServer = 1
)

// soakStep is one step of a schedule. Steps of one target follow one another; those
// of different targets overlap.
type soakStep struct {
	At     time.Duration // after the storm's beginning, or after the target's step before
	Action soakAction
	Target string
	Length time.Duration // of the step's inner wait
	Count  int           // of orders or signals
}

// soakTargets are the names of what a schedule may disturb.
type soakTargets struct {
	cores  []string
	fronts []string
	models []string
}

// soakSchedule draws the steps of a storm.
type soakSchedule struct {
	random      *rand.Rand
	targets     soakTargets
	length      time.Duration
	steps       []soakStep
	stepsOf     map[string]int // by target
	orderSeries int
}

// drawSoakSchedule returns the steps of a numbered storm, sorted by time. It depends
// on nothing but its arguments.
func drawSoakSchedule(seed, storm uint64, targets soakTargets, length time.Duration) []soakStep {
	schedule := &soakSchedule{
		random:  rand.New(rand.NewPCG(seed, storm)),
		targets: targets,
		length:  length,
		stepsOf: map[string]int{},
	}
	// The kinds are dealt like cards, so that each storm that is long enough has all.
	var deck []soakAction
	for at := time.Duration(0); at < length; at += schedule.draw(minSeriesGap, maxSeriesGap) {
		if len(deck) == 0 {
			deck = schedule.shuffledKinds()
		}
		schedule.addSeries(deck[0], at)
		deck = deck[1:]
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

// addSeries adds a series of steps that begins at a time.
func (s *soakSchedule) addSeries(kind soakAction, at time.Duration) {
	nodes := slices.Concat(s.targets.cores, s.targets.fronts)
	switch kind {
	case soakRestart:
		s.addInTurn(kind, at, s.pick(s.targets.fronts, 1+s.random.IntN(len(s.targets.fronts))))
	case soakRestartCores:
		s.addInTurn(soakRestart, at, s.pick(s.targets.cores, len(s.targets.cores)))
	case soakHangups:
		s.addInTurn(kind, at, s.pick(nodes, 1+len(nodes)/2))
	case soakReloadThenLeave:
		leaving := s.pick(nodes, 2)
		s.addInTurn(soakHangups, at, leaving)
		s.addInTurn(soakRestart, at, leaving)
	case soakChangeSheet, soakRaceOperators:
		s.orderSeries++
		s.add(kind, at, fmt.Sprintf("orders%d", s.orderSeries))
	case soakReplaceServer, soakCrashServer:
		s.addInTurn(kind, at, s.pick(s.targets.models, 1))
	default:
		s.addInTurn(kind, at, s.pick(nodes, 1+s.random.IntN(2)))
	}
}

// addInTurn adds a step for each target, with gaps of milliseconds to a second.
func (s *soakSchedule) addInTurn(action soakAction, at time.Duration, targets []string) {
	for _, target := range targets {
		s.add(action, at, target)
		at += s.draw(minStepGap, maxStepGap)
	}
}

// add adds a step unless it is too late in the storm or its target has enough.
func (s *soakSchedule) add(action soakAction, at time.Duration, target string) {
	step := soakStep{
		At:     at,
		Action: action,
		Target: target,
		Length: s.drawLength(action),
		Count:  1 + s.random.IntN(maxBurst),
	}
	if at >= s.length || (action != soakHangups && s.stepsOf[target] >= s.maxSteps(action)) {
		return
	}
	if action != soakHangups {
		s.stepsOf[target]++
	}
	s.steps = append(s.steps, step)
}

func (s *soakSchedule) maxSteps(action soakAction) int {
	if action == soakReplaceServer || action == soakCrashServer {
		return maxStepsOfServer
	}
	return maxStepsOfNode
}

func (s *soakSchedule) drawLength(action soakAction) time.Duration {
	switch action {
	case soakFreeze, soakRestartFrozen:
		return s.draw(minStepGap, maxFreeze)
	case soakCrashServer:
		return s.draw(minServerDown, maxServerDown)
	}
	return s.draw(0, maxDownTime)
}

func (s *soakSchedule) draw(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// pick returns a number of different names in random order.
func (s *soakSchedule) pick(names []string, count int) []string {
	shuffled := slices.Clone(names)
	s.random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:min(count, len(shuffled))]
}
