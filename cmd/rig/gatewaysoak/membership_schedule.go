package gatewaysoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Actions of a membership soak, beside freeze and hangups.
const (
	leave       action = "leave"        // SIGTERM; the machine is away for a while
	leaveKilled action = "leave_killed" // SIGTERM, and SIGKILL while the machine leaves
	lose        action = "lose"         // SIGKILL without a word; the machine is away for a while
	cutLinks    action = "cut"          // the links of machines are cut; their processes run
)

// A membership soak alternates between two kinds of windows. In a window that is calm for
// the core only machines without a core leave, are lost, freeze and come back, so that
// orders are judged by the time until their acknowledgement. In the others links are cut and
// machines with a core are disturbed as well, one at a time.
const (
	membershipSeedWord = 46

	roughWindow    = 15 * time.Second
	calmCoreWindow = 18 * time.Second

	minAway          = 100 * time.Millisecond
	maxKillDelay     = 400 * time.Millisecond // from SIGTERM to SIGKILL
	maxRepeats       = 2                      // departures that follow another one of the machine at once
	maxHangupWait    = 3 * time.Second        // between bursts of SIGHUP
	maxShortAway     = 600 * time.Millisecond // so soon that the departure is not agreed yet
	maxAway          = 9 * time.Second
	minWaveAway      = 6 * time.Second // longer than an order may wait
	maxWaveAway      = 12 * time.Second
	shortAwayOneIn   = 4
	minWaveStart     = 3 * time.Second // from the start of a calm window
	maxWaveStart     = 8 * time.Second
	maxWaveGap       = 1300 * time.Millisecond // between the departures of a wave
	waveAtOnceOneIn  = 2                       // one in so many waves has no gaps
	waveStayDivisor  = 4                       // at most this part of the machines stays
	maxMemberGap     = 2 * time.Second         // between departures that are no wave
	minCut           = 500 * time.Millisecond
	maxCut           = 14 * time.Second // longer than an acknowledgement and revokeMs together
	maxCoreCut       = 6 * time.Second
	maxCutGap        = 4 * time.Second
	maxCoreAway      = 2 * time.Second
	maxCoreStepGap   = 3 * time.Second
	maxCutChanges    = 3               // changes of the manner or direction during a cut
	manyMachinesOne  = 3               // one in so many cuts parts several machines
	maxMembershipGap = 3 * time.Second // between changes of the configuration
)

// membershipStep is one step of a membership soak.
type membershipStep struct {
	At       time.Duration // from the start of the soak; later if a previous step of the lane has not ended
	Action   action
	Machines []string
	HasCore  bool // whether one of the machines has a core
	Length   time.Duration
	// Repeats is the number of departures that follow as soon as the machine is back, each of
	// a short time. Count is the number of further signals: those during a leave, or of SIGHUP.
	Repeats   int
	Count     int
	KillDelay time.Duration // of leaveKilled, from SIGTERM
	// Manner is how the addresses of a machine answer that is away, or the first of the
	// manners of a cut; the others follow in equal parts of Length.
	Manner  cutManner
	Changes []cutVariant
	// FromCores tells that a cut parts the machines from those with a core only.
	FromCores bool
	Direction cutDirection
}

// cutVariant is a manner and a direction that a cut changes to.
type cutVariant struct {
	Manner    cutManner
	Direction cutDirection
}

// coreLane is the lane of all steps that disturb a machine with a core.
const coreLane = "core"

// lane returns the name of the sequence that the step belongs to. Cuts of machines without a
// core, and bursts of SIGHUP, overlap freely with the others.
func (s membershipStep) lane(index int) string {
	switch {
	case s.Action == hangups:
		return string(hangups)
	case s.HasCore:
		return coreLane
	case s.Action == cutLinks:
		return string(cutLinks) + string(rune('0'+index%10))
	}
	return s.Machines[0]
}

// membershipSchedule generates the steps of a membership soak.
type membershipSchedule struct {
	random  *rand.Rand
	targets evacuationTargets
	steps   []membershipStep
}

// newMembershipSchedule returns the steps of a membership soak, sorted by time. The result
// depends only on the arguments.
func newMembershipSchedule(seed uint64, targets evacuationTargets, length time.Duration) []membershipStep {
	s := &membershipSchedule{random: rand.New(rand.NewPCG(seed, membershipSeedWord)), targets: targets}
	isRough := s.oneIn(2)
	for start := time.Duration(0); start < length; isRough = !isRough {
		if isRough {
			end := min(length, start+roughWindow)
			s.addCuts(start, end)
			s.addCoreSteps(start, end)
			s.addDepartures(start, end)
			s.addHangups(start, end)
			start = end
			continue
		}
		end := min(length, start+calmCoreWindow)
		s.addWave(start + s.between(minWaveStart, maxWaveStart))
		s.addDepartures(start, end)
		s.addHangups(start, end)
		start = end
	}
	slices.SortStableFunc(s.steps, func(a, b membershipStep) int { return cmp.Compare(a.At, b.At) })
	return s.steps
}

// addWave adds departures of most of the machines without a core, at once or one after
// another, in one manner or in several.
func (s *membershipSchedule) addWave(start time.Duration) {
	names := slices.Clone(s.targets.others)
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	leaving := names[:len(names)-s.random.IntN(len(names)/waveStayDivisor+1)]
	gap := s.between(0, maxWaveGap)
	if s.oneIn(waveAtOnceOneIn) {
		gap = 0
	}
	kind, manner, isMixed := s.departure(), s.manner(), s.oneIn(3)
	for i, name := range leaving {
		if isMixed {
			kind, manner = s.departure(), s.manner()
		}
		s.steps = append(s.steps, membershipStep{At: start + time.Duration(i)*gap, Action: kind, Machines: []string{name}, Manner: manner, Length: s.between(minWaveAway, maxWaveAway)})
	}
}

// addDepartures adds departures and freezes of single machines without a core.
func (s *membershipSchedule) addDepartures(start, end time.Duration) {
	for at := start + s.between(0, maxMemberGap); at < end; at += s.between(0, maxMemberGap) {
		step := s.singleDeparture(at, s.oneOf(s.targets.others), maxAway)
		if s.oneIn(shortAwayOneIn) {
			step.Length = s.between(minAway, maxShortAway)
		}
		if s.oneIn(5) {
			step = membershipStep{At: at, Action: freeze, Machines: step.Machines, Length: s.between(minFreeze, maxFreeze)}
		}
		s.steps = append(s.steps, step)
	}
}

// singleDeparture returns a departure of one machine: repeated, with further signals while it
// leaves, or broken off by its loss, in some cases.
func (s *membershipSchedule) singleDeparture(at time.Duration, machine string, longest time.Duration) membershipStep {
	step := membershipStep{At: at, Action: s.departure(), Machines: []string{machine}, Manner: s.manner(), Length: s.between(minAway, longest)}
	if s.oneIn(3) {
		step.Repeats = 1 + s.random.IntN(maxRepeats)
	}
	switch {
	case step.Action == leave && s.oneIn(3):
		step.Action = leaveKilled
		step.KillDelay = s.between(0, maxKillDelay)
	case step.Action == leave && s.oneIn(2):
		step.Count = 1 + s.random.IntN(maxBurst)
	}
	return step
}

// addHangups adds bursts of SIGHUP at single machines, whatever else happens to them.
func (s *membershipSchedule) addHangups(start, end time.Duration) {
	for at := start + s.between(0, maxHangupWait); at < end; at += s.between(0, maxHangupWait) {
		name := s.oneOf(slices.Concat(s.targets.cores, s.targets.others))
		step := membershipStep{At: at, Action: hangups, Machines: []string{name}, HasCore: slices.Contains(s.targets.cores, name), Count: 1 + s.random.IntN(maxBurst)}
		s.steps = append(s.steps, step)
	}
}

// addCuts adds cuts of machines without a core.
func (s *membershipSchedule) addCuts(start, end time.Duration) {
	for at := start + s.between(0, maxCutGap); at < end; at += s.between(0, maxCutGap) {
		names := slices.Clone(s.targets.others)
		s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		count := 1
		if s.oneIn(manyMachinesOne) {
			count = 1 + s.random.IntN(len(names))
		}
		s.steps = append(s.steps, s.cut(at, names[:count], false))
	}
}

// addCoreSteps adds disturbances of machines with a core.
func (s *membershipSchedule) addCoreSteps(start, end time.Duration) {
	for at := start + s.between(0, maxCoreStepGap); at < end; at += s.between(minCoreGap, maxCoreStepGap) {
		name := s.oneOf(s.targets.cores)
		switch s.random.IntN(5) {
		case 0:
			s.steps = append(s.steps, membershipStep{At: at, Action: freeze, Machines: []string{name}, HasCore: true, Length: s.between(minFreeze, maxFreeze)})
		case 1:
			step := s.singleDeparture(at, name, maxCoreAway)
			step.HasCore = true
			s.steps = append(s.steps, step)
		case 2:
			// A machine with a core and others on its side.
			names := append([]string{name}, s.targets.others[:s.random.IntN(len(s.targets.others))]...)
			s.steps = append(s.steps, s.cut(at, names, true))
		default:
			s.steps = append(s.steps, s.cut(at, []string{name}, true))
		}
	}
}

func (s *membershipSchedule) cut(at time.Duration, machines []string, hasCore bool) membershipStep {
	step := membershipStep{At: at, Action: cutLinks, Machines: slices.Clone(machines), HasCore: hasCore, Manner: s.manner(), Direction: s.direction(),
		Length: s.between(minCut, maxCut), FromCores: s.oneIn(3)}
	if hasCore {
		step.Length = s.between(minCut, maxCoreCut)
	}
	if s.oneIn(2) {
		for range 1 + s.random.IntN(maxCutChanges) {
			step.Changes = append(step.Changes, cutVariant{s.manner(), s.direction()})
		}
	}
	return step
}

func (s *membershipSchedule) departure() action {
	return []action{leave, lose}[s.random.IntN(2)]
}

// manner returns silence in half of the cases.
func (s *membershipSchedule) manner() cutManner {
	return []cutManner{cutSilent, cutSilent, cutReset, cutRefuse}[s.random.IntN(4)]
}

// direction returns both directions in half of the cases.
func (s *membershipSchedule) direction() cutDirection {
	return []cutDirection{cutBoth, cutBoth, cutInbound, cutOutbound}[s.random.IntN(4)]
}

func (s *membershipSchedule) oneIn(count int) bool { return s.random.IntN(count) == 0 }

func (s *membershipSchedule) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *membershipSchedule) oneOf(names []string) string { return names[s.random.IntN(len(names))] }
