package gatewaysoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/settings"
	"stepwick/platform/standin"
)

const (
	evacuationSeedWord = 42

	minShort       = 100 * time.Millisecond // an evacuation that is soon taken back
	maxShort       = time.Second
	maxOrderGap    = 500 * time.Millisecond // between an order and the contrary one
	minLong        = 12 * time.Second       // an evacuation that is judged, also beside an unstable core
	maxLong        = 16 * time.Second
	maxShortSeries = 3               // evacuations that are soon taken back, before one that is judged
	maxServed      = 4 * time.Second // between two evacuations
	resentOneIn    = 4               // one in so many orders is sent again after it was acknowledged
	// otherFirstOneIn: of so many orders beside a disturbed core one goes to any core first.
	otherFirstOneIn = 3
	calmTime        = 4 * time.Second // after the last disturbance: contactMs
	finalTime       = 9 * time.Second // of the last evacuation, and after it
	finalOrderTime  = 15 * time.Second
)

// evacuationBounds are those of the platform's rule EVAC, as its pages have them.
var evacuationBounds = standin.EvacuationBounds{Evacuate: 5 * time.Second, Outer: 6 * time.Second, Contact: 4 * time.Second, Cores: coreCount}

// EvacuationSummary is the result of an evacuation soak.
type EvacuationSummary struct {
	Seed        uint64         `json:"seed"`
	Steps       map[string]int `json:"steps"`
	Requests    int            `json:"requests"`
	Whole       int            `json:"whole"` // answered with 200
	Orders      int            `json:"zone_orders"`
	Calls       int            `json:"zone_calls"`
	Unanswered  int            `json:"zone_calls_unanswered"`
	GivenUp     int            `json:"zone_orders_given_up"`
	Evacuations int            `json:"evacuations"` // acknowledged
	Judged      int            `json:"evacuations_judged"`
	Versions    uint64         `json:"versions"` // acknowledged
	Problems    []string       `json:"problems,omitempty"`
}

// evacuationSoak is a running evacuation soak.
type evacuationSoak struct {
	*soak
	// evacuated are the zones that are evacuated, each by an operator of its own.
	evacuated []string
	// disturbedCore is the core that was disturbed last; its name is empty once it runs
	// again.
	disturbedCore atomic.Pointer[string]
}

// RunEvacuations runs a soak of evacuations in series beside disturbed machines, and
// returns what it found. The error says why it could not be run.
func RunEvacuations(ctx context.Context, options Options) (EvacuationSummary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	base, err := newSoak(ctx, options)
	if err != nil {
		return EvacuationSummary{}, err
	}
	s := &evacuationSoak{soak: base, evacuated: zones[1:]}
	defer s.fleet.close()
	defer s.operator.Close()
	if err := s.start(ctx); err != nil {
		return EvacuationSummary{}, err
	}
	steps := newEvacuationSchedule(options.Seed, s.machineNames(), time.Duration(options.Seconds)*time.Second)
	s.run(ctx, steps)
	s.checkLogs()
	return s.summarize(steps), nil
}

func (s *evacuationSoak) machineNames() evacuationTargets {
	var targets evacuationTargets
	for _, machine := range s.fleet.machines {
		if machine.HasCore {
			targets.cores = append(targets.cores, machine.Name)
		} else {
			targets.others = append(targets.others, machine.Name)
		}
	}
	return targets
}

// run runs the steps and the evacuations beside clients, and a last evacuation of each
// zone once the fleet is calm.
func (s *evacuationSoak) run(ctx context.Context, steps []step) {
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	s.startClients(loadCtx)
	s.wait(ctx, trafficBefore)
	var disturbing, ordering sync.WaitGroup
	seriesCtx, endSeries := context.WithCancel(ctx)
	for _, zone := range s.evacuated {
		random := s.newRandom()
		ordering.Go(func() { s.evacuateInSeries(seriesCtx, zone, random) })
	}
	s.startSteps(ctx, &disturbing, steps)
	disturbing.Wait()
	endSeries()
	ordering.Wait()
	recoveryCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	s.addError(s.awaitReady(recoveryCtx))
	cancel()
	s.wait(ctx, calmTime)
	for _, zone := range s.evacuated {
		random := s.newRandom()
		ordering.Go(func() { s.addError(s.evacuateAtEnd(ctx, zone, random)) })
	}
	ordering.Wait()
	s.addError(s.operator.Read(ctx))
	endLoad()
	s.awaitClients()
}

// startSteps runs the steps of each machine in sequence and those of different machines
// concurrently.
func (s *evacuationSoak) startSteps(ctx context.Context, running *sync.WaitGroup, steps []step) {
	start := s.fleet.clock.Now()
	lanes := map[string][]step{}
	for _, scheduled := range steps {
		lanes[scheduled.Target] = append(lanes[scheduled.Target], scheduled)
	}
	operatorSteps := lanes[operatorLane]
	delete(lanes, operatorLane)
	for _, lane := range lanes {
		random := s.newRandom()
		running.Go(func() {
			for _, scheduled := range lane {
				s.wait(ctx, scheduled.At-s.fleet.clock.Now().Sub(start))
				if s.fleet.clock.Now().Sub(start) < time.Duration(s.options.Seconds)*time.Second {
					s.disturb(ctx, scheduled, random)
				}
			}
		})
	}
	running.Go(func() { s.operate(ctx, operatorSteps, start) })
}

// disturb carries out a step on all processes of a machine.
func (s *evacuationSoak) disturb(ctx context.Context, scheduled step, random *rand.Rand) {
	processes := s.fleet.processesOf(scheduled.Target)
	for _, target := range processes {
		s.awaitSignalHandling(ctx, target)
		if target.hasExited() {
			s.addProblem("%s had ended by itself", target.name)
		}
	}
	disturbance := standin.Disturbance{Machine: scheduled.Target, HasCore: processes[0].machine.HasCore, Kind: string(scheduled.Action), From: s.fleet.clock.Now()}
	if disturbance.HasCore {
		core := scheduled.Target + "." + settings.RoleCore
		none := ""
		s.disturbedCore.Store(&core)
		defer s.disturbedCore.CompareAndSwap(&core, &none)
	}
	switch scheduled.Action {
	case freeze, freezeStop:
		signalAll(processes, syscall.SIGSTOP)
		s.wait(ctx, scheduled.Length)
		if scheduled.Action == freezeStop {
			signalAll(processes, syscall.SIGTERM)
		}
		signalAll(processes, syscall.SIGCONT)
		if scheduled.Action == freezeStop {
			s.restartAll(ctx, processes, random)
		}
	case kill:
		signalAll(processes, syscall.SIGKILL)
		for _, target := range processes {
			_ = target.awaitExit(ctx, grace) // ended by the signal
		}
		s.wait(ctx, time.Duration(random.Int64N(int64(maxKillDownTime))))
		s.startAll(processes)
	case terminate:
		signalAll(processes, syscall.SIGTERM)
		s.restartAll(ctx, processes, random)
	}
	disturbance.To = s.fleet.clock.Now()
	s.recorder.AddDisturbance(disturbance)
}

func signalAll(processes []*process, sent syscall.Signal) {
	for _, target := range processes {
		target.signal(sent)
	}
}

// restartAll waits for the exits of processes that were sent SIGTERM and starts them again.
func (s *evacuationSoak) restartAll(ctx context.Context, processes []*process, random *rand.Rand) {
	for _, target := range processes {
		s.addError(target.awaitExit(ctx, grace))
	}
	s.wait(ctx, time.Duration(random.Int64N(int64(maxDownTime))))
	s.startAll(processes)
}

func (s *evacuationSoak) startAll(processes []*process) {
	for _, target := range processes {
		s.addError(target.start())
	}
}

func (s *evacuationSoak) newZoneOperator(zone string, random *rand.Rand) *standin.ZoneOperator {
	name := fmt.Sprintf("operator of %s %d", zone, random.Uint32())
	operator := standin.NewZoneOperator(name, s.fleet.controls(), s.fleet.dial, s.fleet.clock, s.recorder, random)
	// The list from which the platform's operator chooses lags; most orders go to a core in
	// disturbance first.
	operator.First = func() string {
		if name := s.disturbedCore.Load(); name != nil && random.IntN(otherFirstOneIn) > 0 {
			return *name
		}
		return ""
	}
	return operator
}

// evacuateInSeries evacuates a zone and takes that back a few times, and evacuates it again
// for a longer time, until the context ends. Some orders are sent again after they were acknowledged.
func (s *evacuationSoak) evacuateInSeries(ctx context.Context, zone string, random *rand.Rand) {
	operator := s.newZoneOperator(zone, random)
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)+1))
	}
	submit := func(order func(context.Context, string) (bool, error)) {
		// An order is never broken off: its copies would be nobody's.
		resends := 0
		if random.IntN(resentOneIn) == 0 {
			resends = 1
		}
		for range 1 + resends {
			_, err := order(context.WithoutCancel(ctx), zone)
			s.addError(err)
		}
	}
	for ctx.Err() == nil {
		for range 1 + random.IntN(maxShortSeries) {
			submit(operator.Evacuate)
			s.wait(ctx, between(minShort, maxShort))
			submit(operator.Restore)
			s.wait(ctx, between(0, maxOrderGap))
		}
		submit(operator.Evacuate)
		s.wait(ctx, between(minLong, maxLong))
		submit(operator.Restore)
		s.wait(ctx, between(0, maxServed))
	}
}

// evacuateAtEnd evacuates a zone and takes that back in a calm fleet, each for long enough
// to be judged. It returns an error if one of the orders is not acknowledged.
func (s *evacuationSoak) evacuateAtEnd(ctx context.Context, zone string, random *rand.Rand) error {
	operator := s.newZoneOperator(zone, random)
	var unacknowledged error
	for _, order := range []func(context.Context, string) (bool, error){operator.Evacuate, operator.Restore} {
		orderCtx, cancel := context.WithTimeout(ctx, finalOrderTime)
		acknowledged := false
		for !acknowledged && orderCtx.Err() == nil {
			var err error
			acknowledged, err = order(orderCtx, zone)
			s.addError(err)
		}
		cancel()
		if !acknowledged {
			unacknowledged = errors.Errorf("the last orders on %s were not acknowledged within %s", zone, finalOrderTime)
		}
		s.wait(ctx, finalTime)
	}
	return unacknowledged
}

// evacuationsFile is the name of the file, in Options.KeepDir, with the orders on zones
// and the disturbances.
const evacuationsFile = "evacuations.txt"

func (s *evacuationSoak) summarize(steps []step) EvacuationSummary {
	recording := s.recorder.Snapshot()
	findings := standin.FindEvacuationFaults(&recording, evacuationBounds, s.fleet.clock.Now())
	summary := EvacuationSummary{Seed: s.options.Seed, Steps: map[string]int{}, Orders: len(recording.ZoneOrders), Calls: len(recording.ZoneCalls),
		Evacuations: findings.Evacuations, Judged: findings.Judged, Versions: s.versions.Load()}
	for _, scheduled := range steps {
		summary.Steps[string(scheduled.Action)]++
	}
	for _, outcome := range recording.Outcomes {
		if outcome.Kind == standin.KindOperator || outcome.Kind == standin.KindCheck {
			continue
		}
		summary.Requests++
		if outcome.Complete && outcome.Status == 200 {
			summary.Whole++
		}
	}
	for _, call := range recording.ZoneCalls {
		if call.Outcome.Status == 0 {
			summary.Unanswered++
		}
	}
	for _, order := range recording.ZoneOrders {
		if !order.Acknowledged {
			summary.GivenUp++
		}
	}
	s.addFindings(findings)
	for _, undone := range standin.FindUndoneOrders(recording.ZoneOrders, s.zoneChanges(), s.fleet.clock.Now()) {
		s.addProblem("%s", undone)
	}
	s.writeRecord(&recording)
	summary.Problems = s.takeProblems()
	return summary
}

// shownArrivals is the number of requests in an evacuated zone that are shown.
const shownArrivals = 3

func (s *evacuationSoak) addFindings(findings standin.EvacuationFindings) {
	for i, arrival := range findings.Arrivals {
		if i == shownArrivals {
			s.addProblem("EVAC: %d requests in all", len(findings.Arrivals))
			break
		}
		s.addProblem("%s", arrival)
	}
	for _, order := range findings.Unserved {
		s.addProblem("not served after %s", order)
	}
	for _, order := range findings.Unacknowledged {
		s.addProblem("not acknowledged although the core was stable: %s", order)
	}
}

func (s *evacuationSoak) writeRecord(recording *standin.Recording) {
	if !s.fleet.keep {
		return
	}
	var text strings.Builder
	for _, order := range recording.ZoneOrders {
		fmt.Fprintln(&text, order)
	}
	for _, call := range recording.ZoneCalls {
		fmt.Fprintf(&text, "call %s at %s: sent %s, ended %s, status %d %s\n", call.Path, call.Outcome.Node, call.Outcome.Sent.Format(recordTime),
			call.Outcome.Ended.Format(recordTime), call.Outcome.Status, call.Outcome.Problem)
	}
	for _, disturbance := range recording.Disturbances {
		fmt.Fprintf(&text, "%s %s: %s to %s\n", disturbance.Kind, disturbance.Machine, disturbance.From.Format(recordTime), disturbance.To.Format(recordTime))
	}
	s.addError(os.WriteFile(filepath.Join(s.fleet.folder, evacuationsFile), []byte(text.String()), fileMode))
}

// recordTime is the form of times in evacuationsFile.
const recordTime = "15:04:05.000"
