package gatewaysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/stall"
	"stepwick/platform/standin"
)

// probePause is the time between two requests of a probe for the version in force.
const probePause = 120 * time.Millisecond

// finalChangeTime bounds the last change, in a calm fleet, and the last read.
const finalChangeTime = 10 * time.Second

// changeBounds are those of the platform's rules CONFIG and Acks, as its pages have them.
// The routes of the configuration extend the time for an acknowledgement by 3 ms each.
var changeBounds = standin.ChangeBounds{Apply: 2500 * time.Millisecond, Revoke: 5 * time.Second, Outer: 6 * time.Second,
	Rollback: 250 * time.Millisecond, Acknowledge: 5*time.Second + 5*3*time.Millisecond}

// MembershipSummary is the result of a membership soak.
type MembershipSummary struct {
	Seed     uint64         `json:"seed"`
	Steps    map[string]int `json:"steps"`
	Requests int            `json:"requests"`
	Whole    int            `json:"whole"`  // answered with 200
	Probes   int            `json:"probes"` // requests with the key of one version
	Versions uint64         `json:"versions"`
	Orders   int            `json:"zone_orders"`
	GivenUp  int            `json:"zone_orders_given_up"`
	// JudgedOrders is the number of orders of which a calm stretch was judged by Acks.
	JudgedOrders    int            `json:"orders_judged"`
	LongestCalmWait int64          `json:"longest_wait_ms"` // within a calm stretch
	JudgedRequests  map[string]int `json:"requests_judged"` // by rule
	Evacuations     int            `json:"evacuations"`
	// Stalls is the number of times, and StalledTime the time in ms, in which this machine did
	// not run the rig. The rules are not judged then, as the fleet was slowed too.
	Stalls      int   `json:"stalls"`
	StalledTime int64 `json:"stalled_ms"`
	// Unjudged are the time limits of the soak's own that were missed beside a stall.
	Unjudged          []string `json:"unjudged,omitempty"`
	JudgedEvacuations int      `json:"evacuations_judged"`
	Problems          []string `json:"problems,omitempty"`
}

// membershipSoak is a running membership soak.
type membershipSoak struct {
	*evacuationSoak
	changes *standin.ChangeOperator
	stalls  chan stall.Stall
	delays  chan delay
}

// delay is what did not happen within a time limit of the soak's own, and the time for which
// it was awaited.
type delay struct {
	from, to time.Time
	err      error
}

// RunMembership runs a soak in which machines leave, are lost, freeze and come back, and
// links are cut, while orders are sent in series. It returns what it found; the error says
// why it could not be run.
func RunMembership(ctx context.Context, options Options) (MembershipSummary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	base, err := newSoak(ctx, options)
	if err != nil {
		return MembershipSummary{}, err
	}
	defer base.fleet.close()
	defer base.operator.Close()
	s := &membershipSoak{evacuationSoak: &evacuationSoak{soak: base, evacuated: zones[1:]},
		stalls: make(chan stall.Stall, maxProblems), delays: make(chan delay, maxProblems)}
	if err := s.fleet.addRelays(); err != nil {
		return MembershipSummary{}, err
	}
	if err := s.start(ctx); err != nil {
		return MembershipSummary{}, err
	}
	s.changes = standin.NewChangeOperator(s.fleet.controls(), s.fleet.dial, s.fleet.clock, s.recorder, s.newRandom())
	steps := newMembershipSchedule(options.Seed, s.machineNames(), time.Duration(options.Seconds)*time.Second)
	s.run(ctx, steps)
	s.checkLogs()
	return s.summarize(steps), nil
}

// run runs the steps beside clients, probes and orders in series, and last orders once the
// fleet is calm.
func (s *membershipSoak) run(ctx context.Context, steps []membershipStep) {
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	s.startClients(loadCtx)
	s.startProbes(loadCtx)
	s.clients.Go(func() { stall.Watch(loadCtx, s.fleet.clock, s.addStall) })
	s.wait(ctx, trafficBefore)
	var ordering sync.WaitGroup
	seriesCtx, endSeries := context.WithCancel(ctx)
	for _, zone := range s.evacuated {
		random := s.newRandom()
		ordering.Go(func() { s.evacuateInSeries(seriesCtx, zone, random) })
	}
	ordering.Go(func() { s.changeInSeries(seriesCtx) })
	s.runMembershipSteps(ctx, steps)
	recoveryCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	ended := s.fleet.clock.Now()
	s.addDelay(ended, s.awaitReady(recoveryCtx))
	cancel()
	endSeries()
	ordering.Wait()
	s.wait(ctx, calmTime)
	s.orderAtEnd(ctx)
	endLoad()
	s.awaitClients()
}

// orderAtEnd changes the configuration and reads it, and evacuates each zone for long enough
// to be judged.
func (s *membershipSoak) orderAtEnd(ctx context.Context) {
	var ordering sync.WaitGroup
	calmFrom := s.fleet.clock.Now()
	for _, zone := range s.evacuated {
		random := s.newRandom()
		ordering.Go(func() { s.addDelay(calmFrom, s.evacuateAtEnd(ctx, zone, random)) })
	}
	changeCtx, cancel := context.WithTimeout(ctx, finalChangeTime)
	defer cancel()
	s.addDelay(calmFrom, s.changes.Change(changeCtx))
	s.addDelay(calmFrom, s.changes.Read(changeCtx))
	ordering.Wait()
	s.versions.Store(s.changes.Acknowledged())
}

func (s *membershipSoak) startProbes(ctx context.Context) {
	for _, machine := range s.fleet.machines {
		probe := &standin.KeyProbe{
			Name:     "probe-" + machine.Name,
			Front:    machine.Frontend(),
			Newest:   s.changes.Submitted,
			Pause:    probePause,
			Dial:     s.fleet.dial,
			Clock:    s.fleet.clock,
			Recorder: s.recorder,
			Random:   s.newRandom(),
		}
		s.clients.Go(func() { probe.Run(ctx) })
	}
}

// changeInSeries changes the configuration until the context ends. A change is never broken
// off.
func (s *membershipSoak) changeInSeries(ctx context.Context) {
	random := s.newRandom()
	for ctx.Err() == nil {
		changeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
		from := s.fleet.clock.Now()
		s.addDelay(from, s.changes.Change(changeCtx))
		cancel()
		s.wait(ctx, time.Duration(random.Int64N(int64(maxMembershipGap))))
	}
}

// runMembershipSteps runs the steps of each lane in sequence and different lanes
// concurrently.
func (s *membershipSoak) runMembershipSteps(ctx context.Context, steps []membershipStep) {
	start := s.fleet.clock.Now()
	length := time.Duration(s.options.Seconds) * time.Second
	lanes := map[string][]membershipStep{}
	for i, scheduled := range steps {
		lane := scheduled.lane(i)
		lanes[lane] = append(lanes[lane], scheduled)
	}
	var running sync.WaitGroup
	for _, lane := range lanes {
		running.Go(func() {
			for _, scheduled := range lane {
				s.wait(ctx, scheduled.At-s.fleet.clock.Now().Sub(start))
				// A step that comes too late for its window is left out.
				if late := s.fleet.clock.Now().Sub(start) - scheduled.At; late < maxStepDelay && scheduled.At < length {
					s.runMembershipStep(ctx, scheduled)
				}
			}
		})
	}
	running.Wait()
}

// maxStepDelay is the longest time by which a step may start late.
const maxStepDelay = 2 * time.Second

func (s *membershipSoak) runMembershipStep(ctx context.Context, scheduled membershipStep) {
	if ctx.Err() != nil {
		return
	}
	if scheduled.Action == hangups {
		for _, target := range s.fleet.processesOf(scheduled.Machines[0]) {
			s.sendHangups(ctx, target, scheduled.Count)
		}
		return
	}
	if scheduled.HasCore {
		core := scheduled.Machines[0] + ".core"
		none := ""
		s.disturbedCore.Store(&core)
		defer s.disturbedCore.CompareAndSwap(&core, &none)
	}
	switch scheduled.Action {
	case cutLinks:
		s.cutLinks(ctx, scheduled)
	case freeze:
		s.freeze(ctx, scheduled)
	case leave, leaveKilled, lose:
		s.departInSeries(ctx, scheduled)
	}
}

// cutLinks cuts the links of machines for a while, in one manner after another.
func (s *membershipSoak) cutLinks(ctx context.Context, scheduled membershipStep) {
	from := s.fleet.clock.Now()
	cut := cut{machines: scheduled.Machines, others: s.otherMachines(scheduled), manner: scheduled.Manner, direction: scheduled.Direction}
	id := s.fleet.relays.begin(cut)
	part := scheduled.Length / time.Duration(1+len(scheduled.Changes))
	s.wait(ctx, part)
	for _, variant := range scheduled.Changes {
		cut.manner, cut.direction = variant.Manner, variant.Direction
		s.fleet.relays.change(id, cut)
		s.wait(ctx, part)
	}
	s.fleet.relays.end(id)
	for _, machine := range scheduled.Machines {
		s.addDisturbance(machine, string(cutLinks), true, from)
	}
}

// otherMachines returns the machines from which a cut parts those of the step.
func (s *membershipSoak) otherMachines(scheduled membershipStep) []string {
	var others []string
	for _, machine := range s.fleet.machines {
		isOnSide := slices.Contains(scheduled.Machines, machine.Name)
		if !isOnSide && (machine.HasCore || !scheduled.FromCores) {
			others = append(others, machine.Name)
		}
	}
	return others
}

func (s *membershipSoak) addDisturbance(machine, kind string, isLink bool, from time.Time) {
	hasCore := slices.ContainsFunc(s.fleet.machines, func(m standin.Machine) bool { return m.Name == machine && m.HasCore })
	s.recorder.AddDisturbance(standin.Disturbance{Machine: machine, HasCore: hasCore, Kind: kind, Link: isLink, From: from, To: s.fleet.clock.Now()})
}

func (s *membershipSoak) freeze(ctx context.Context, scheduled membershipStep) {
	machine := scheduled.Machines[0]
	processes := s.fleet.processesOf(machine)
	from := s.fleet.clock.Now()
	signalAll(processes, syscall.SIGSTOP)
	s.wait(ctx, scheduled.Length)
	signalAll(processes, syscall.SIGCONT)
	s.addDisturbance(machine, standin.KindFreeze, false, from)
}

// departInSeries carries out a departure and its repeats, which are short.
func (s *membershipSoak) departInSeries(ctx context.Context, scheduled membershipStep) {
	for range 1 + scheduled.Repeats {
		s.depart(ctx, scheduled)
		scheduled.Length = min(scheduled.Length, minAway)
	}
}

// depart ends the processes of a machine, with or without a word, lets its addresses answer
// as the step has it, and starts the processes again under the same name.
func (s *membershipSoak) depart(ctx context.Context, scheduled membershipStep) {
	machine := scheduled.Machines[0]
	processes := s.fleet.processesOf(machine)
	for _, target := range processes {
		s.awaitSignalHandling(ctx, target)
		if target.hasExited() {
			s.addProblem("%s had ended by itself", target.name)
		}
	}
	from := s.fleet.clock.Now()
	away := cut{machines: []string{machine}, others: s.allMachines(), manner: scheduled.Manner, direction: cutBoth}
	var id int
	switch scheduled.Action {
	case lose:
		id = s.fleet.relays.begin(away)
		s.killAll(ctx, processes)
	case leaveKilled:
		signalAll(processes, syscall.SIGTERM)
		s.wait(ctx, scheduled.KillDelay)
		id = s.fleet.relays.begin(away)
		s.killAll(ctx, processes)
	default:
		s.leave(ctx, processes, scheduled)
		id = s.fleet.relays.begin(away)
	}
	vacant, err := occupy(processes[0].machine, scheduled.Manner)
	s.addError(err)
	s.wait(ctx, scheduled.Length)
	if err == nil {
		vacant.close()
	}
	s.fleet.relays.end(id)
	s.startAll(processes)
	s.addDisturbance(machine, string(scheduled.Action), false, from)
}

func (s *membershipSoak) killAll(ctx context.Context, processes []*process) {
	signalAll(processes, syscall.SIGKILL)
	for _, target := range processes {
		_ = target.awaitExit(ctx, grace) // ended by the signal
	}
}

// leave sends SIGTERM and further signals, which must not shorten the drain, and awaits the
// exits.
func (s *membershipSoak) leave(ctx context.Context, processes []*process, scheduled membershipStep) {
	from := s.fleet.clock.Now()
	signalAll(processes, syscall.SIGTERM)
	stopSignals := make(chan struct{})
	var signals sync.WaitGroup
	for _, target := range processes {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(scheduled.At)))
		signals.Go(func() { s.sendFurtherSignals(target, scheduled.Count, random, stopSignals) })
	}
	for _, target := range processes {
		s.addDelay(from, target.awaitExit(ctx, grace))
	}
	close(stopSignals)
	signals.Wait()
}

// addStall records a stall as a disturbance of all machines.
func (s *membershipSoak) addStall(found stall.Stall) {
	select {
	case s.stalls <- found:
	default:
	}
	for _, machine := range s.fleet.machines {
		s.recorder.AddDisturbance(standin.Disturbance{Machine: machine.Name, HasCore: machine.HasCore, Kind: standin.KindFreeze, From: found.From, To: found.To})
	}
}

// addDelay records an error of something that was awaited since an instant; nil is ignored.
func (s *membershipSoak) addDelay(from time.Time, err error) {
	if err == nil {
		return
	}
	select {
	case s.delays <- delay{from, s.fleet.clock.Now(), err}:
	default:
	}
}

// judgeDelays adds the delays in which this machine did not stall as problems. The others,
// and the stalls, are in the summary.
func (s *membershipSoak) judgeDelays(summary *MembershipSummary) {
	close(s.stalls)
	close(s.delays)
	var stalls []stall.Stall
	for found := range s.stalls {
		stalls = append(stalls, found)
		summary.Stalls++
		summary.StalledTime += found.To.Sub(found.From).Milliseconds()
	}
	for late := range s.delays {
		isStalled := slices.ContainsFunc(stalls, func(found stall.Stall) bool { return !found.From.After(late.to) && !found.To.Before(late.from) })
		if isStalled {
			summary.Unjudged = append(summary.Unjudged, late.err.Error())
			continue
		}
		s.addError(late.err)
	}
}

func (s *membershipSoak) allMachines() []string {
	var names []string
	for _, machine := range s.fleet.machines {
		names = append(names, machine.Name)
	}
	return names
}

func (s *membershipSoak) summarize(steps []membershipStep) MembershipSummary {
	recording := s.recorder.Snapshot()
	stability := standin.NewStability(&recording, evacuationBounds.Contact, coreCount)
	found := standin.FindChangeFaults(&recording, changeBounds, stability)
	evacuations := standin.FindEvacuationFaults(&recording, evacuationBounds, s.fleet.clock.Now())
	summary := MembershipSummary{Seed: s.options.Seed, Steps: map[string]int{}, Versions: s.versions.Load(), Orders: len(recording.ZoneOrders),
		JudgedOrders: found.JudgedOrders, LongestCalmWait: found.LongestCalmWait.Milliseconds(), JudgedRequests: found.Judged,
		Evacuations: evacuations.Evacuations, JudgedEvacuations: evacuations.Judged}
	for _, scheduled := range steps {
		summary.Steps[string(scheduled.Action)]++
	}
	for _, outcome := range recording.Outcomes {
		summary.count(outcome)
	}
	for _, order := range recording.ZoneOrders {
		if !order.Acknowledged {
			summary.GivenUp++
		}
	}
	for i, fault := range found.Faults {
		if i == shownFaults {
			s.addProblem("%d faults in all", len(found.Faults))
			break
		}
		s.addProblem("%s", fault)
	}
	evacuations.Unacknowledged = nil // judged by Acks above, which knows of cuts
	s.addFindings(evacuations)
	for _, undone := range standin.FindUndoneOrders(recording.ZoneOrders, s.zoneChanges(), s.fleet.clock.Now()) {
		s.addProblem("%s", undone)
	}
	s.judgeDelays(&summary)
	s.writeRecord(&recording)
	s.writeMembershipRecord(&recording)
	summary.Problems = s.takeProblems()
	return summary
}

// shownFaults is the number of faults that are shown.
const shownFaults = 6

func (m *MembershipSummary) count(outcome standin.Outcome) {
	switch {
	case outcome.Kind == standin.KindOperator || outcome.Kind == standin.KindCheck:
		return
	case outcome.KeyVersion > 0:
		m.Probes++
		return
	}
	m.Requests++
	if outcome.Complete && outcome.Status == 200 {
		m.Whole++
	}
}

// changesFile is the name of the file, in Options.KeepDir, with the changes and the probes.
const changesFile = "changes.txt"

func (s *membershipSoak) writeMembershipRecord(recording *standin.Recording) {
	if !s.fleet.keep {
		return
	}
	var text strings.Builder
	for _, change := range recording.Changes {
		fmt.Fprintln(&text, change)
	}
	for _, outcome := range recording.Outcomes {
		if outcome.KeyVersion > 0 || outcome.Kind == standin.KindOperator {
			fmt.Fprintf(&text, "%s at %s, key of %d: sent %s, ended %s, status %d %s\n", outcome.ID, outcome.Node, outcome.KeyVersion,
				outcome.Sent.Format(recordTime), outcome.Ended.Format(recordTime), outcome.Status, outcome.Problem)
		}
	}
	err := os.WriteFile(filepath.Join(s.fleet.folder, changesFile), []byte(text.String()), fileMode)
	s.addError(errors.Wrap(err, "write the record"))
}
