// Package gatewaysoak runs a fleet as real processes behind the gateway of the users'
// platform, sends them overlapping series of signals, restarts and changes while clients
// keep using their connections, and finds the requests and operator's calls that were
// lost. Package platform/standin provides the surroundings.
package gatewaysoak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"stepwick/platform/standin"
)

const (
	scheduleSeedWord = 36
	operatorLane     = "operator"

	trafficBefore   = 2 * time.Second
	recoveryTimeout = 15 * time.Second // after the last step, until every front is ready
	startTimeout    = 40 * time.Second
	signalTimeout   = 5 * time.Second // for a process to handle signals after its start
	changeTimeout   = 20 * time.Second
	readInterval    = 200 * time.Millisecond
	pollInterval    = 50 * time.Millisecond
	// endTimeout bounds the time for the requests in flight at the end of the load.
	endTimeout = 12 * time.Second
	grace      = 8 * time.Second
	hangupGap  = 2 * time.Millisecond
	// maxSignalGap is the longest time between two signals during a drain.
	maxSignalGap = 1500 * time.Millisecond
	// maxStartSignalDelay is the longest time from the start of a process to a SIGTERM
	// that may precede its first log line.
	maxStartSignalDelay = 150 * time.Millisecond
)

// bounds are those of the platform's rule LOST, as its settings file has them.
var bounds = standin.Bounds{Grace: grace, LossSlack: 200 * time.Millisecond, LateWork: 3 * time.Second}

// Options of a soak.
type Options struct {
	Binary   string
	Seed     uint64
	Seconds  int
	Machines int // each has a front; the first three have a core as well
	Servers  int
	Clients  int // for each front, each with one connection
	KeepDir  string
	// OlderBinary, if it is set, is the program with which processes start first; they come
	// back with Binary, so that the fleet is rolled.
	OlderBinary string
}

// Summary is the result of a soak.
type Summary struct {
	Seed     uint64                  `json:"seed"`
	Steps    map[string]int          `json:"steps"`
	Requests int                     `json:"requests"`
	Whole    int                     `json:"whole"`   // answered with 200
	Refused  int                     `json:"refused"` // answered with 503
	Other    int                     `json:"other"`   // answered with another status
	Unsent   int                     `json:"unsent"`  // no connection could be opened
	Calls    int                     `json:"operator_calls"`
	Versions uint64                  `json:"versions"` // acknowledged
	Verdicts map[standin.Verdict]int `json:"without_answer"`
	// SlowestExit is the longest time from SIGTERM to the exit of a process.
	SlowestExit   int64    `json:"slowest_exit_ms"`
	StartsStopped int64    `json:"starts_stopped"` // by SIGTERM just after the start
	Problems      []string `json:"problems,omitempty"`
}

// soak is a running soak.
type soak struct {
	options  Options
	fleet    *testFleet
	recorder *standin.Recorder
	operator *standin.Operator
	problems chan string
	versions atomic.Uint64
	// startsStopped counts the processes that got SIGTERM just after their start.
	startsStopped atomic.Int64
	exits         chan time.Duration // from SIGTERM, of each restart
	clients       sync.WaitGroup
}

// lossesFile is the name of the file, in Options.KeepDir, with the requests that have no
// complete response.
const lossesFile = "losses.txt"

// maxProblems is the number of problems, and of exits, that are recorded.
const maxProblems = 1000

// Run runs a soak and returns what it found. The error says why it could not be run.
func Run(ctx context.Context, options Options) (Summary, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := newSoak(ctx, options)
	if err != nil {
		return Summary{}, err
	}
	defer s.fleet.close()
	defer s.operator.Close()
	if err := s.start(ctx); err != nil {
		return Summary{}, err
	}
	steps := newSchedule(options.Seed, s.fleet.targets(), time.Duration(options.Seconds)*time.Second)
	s.runLoad(ctx, steps)
	s.checkLogs()
	return s.summarize(steps), nil
}

// newSoak creates the fleet, whose processes are still to be started, and its operator.
func newSoak(ctx context.Context, options Options) (*soak, error) {
	s := &soak{options: options, recorder: standin.NewRecorder(ctx), problems: make(chan string, maxProblems), exits: make(chan time.Duration, maxProblems)}
	var err error
	if s.fleet, err = newTestFleet(ctx, options, s.recorder); err != nil {
		return nil, err
	}
	s.operator = standin.NewOperator(s.fleet.controls(), s.fleet.dial, s.fleet.clock, s.recorder, s.fleet.random)
	return s, nil
}

func (s *soak) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.fleet.start(); err != nil {
		return err
	}
	if err := s.operator.SubmitFirst(ctx); err != nil {
		return err
	}
	return s.awaitReady(ctx)
}

// awaitReady waits until every front is ready.
func (s *soak) awaitReady(ctx context.Context) error {
	for _, machine := range s.fleet.machines {
		for !standin.IsReady(ctx, s.fleet.dial, s.fleet.clock, machine.Readiness()) {
			select {
			case <-s.fleet.clock.After(pollInterval):
			case <-ctx.Done():
				return errors.Errorf("%s is not ready", machine.Name)
			}
		}
	}
	return nil
}

// runLoad runs the steps while clients and checks run beside them.
func (s *soak) runLoad(ctx context.Context, steps []step) {
	loadCtx, endLoad := context.WithCancel(ctx)
	defer endLoad()
	s.startClients(loadCtx)
	s.wait(ctx, trafficBefore)
	s.runSteps(ctx, steps)
	recoveryCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	s.addError(s.awaitReady(recoveryCtx))
	s.addError(s.operator.Read(recoveryCtx))
	endLoad()
	s.awaitClients()
}

func (s *soak) awaitClients() {
	ended := make(chan struct{})
	go func() {
		s.clients.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-s.fleet.clock.After(endTimeout):
		s.addProblem("requests were in flight %s after the load had ended", endTimeout)
	}
}

func (s *soak) startClients(ctx context.Context) {
	for _, machine := range s.fleet.machines {
		for i := range s.options.Clients {
			client := &standin.Client{
				Name:     fmt.Sprintf("%s-%d", machine.Name, i),
				Front:    machine.Frontend(),
				Profiles: standin.Profiles(),
				Pause:    pollInterval * 4,
				Dial:     s.fleet.dial,
				Clock:    s.fleet.clock,
				Recorder: s.recorder,
				Random:   s.newRandom(),
			}
			s.clients.Go(func() { client.Run(ctx) })
		}
		s.startChecker(ctx, machine.Readiness(), standin.ReadinessPath)
		s.startChecker(ctx, machine.Directory(), standin.ResolvePath)
	}
}

func (s *soak) startChecker(ctx context.Context, target standin.Front, path string) {
	checker := &standin.Checker{Name: "check " + target.Address, Target: target, Path: path, Interval: readInterval,
		Dial: s.fleet.dial, Clock: s.fleet.clock, Recorder: s.recorder}
	s.clients.Go(func() { checker.Run(ctx) })
}

func (s *soak) newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(s.fleet.random.Uint64(), scheduleSeedWord))
}

// runSteps runs the steps of each lane in sequence and different lanes concurrently.
// Between changes the operator reads the configuration.
func (s *soak) runSteps(ctx context.Context, steps []step) {
	start := s.fleet.clock.Now()
	lanes := map[string][]step{operatorLane: nil}
	for _, scheduled := range steps {
		lanes[scheduled.lane()] = append(lanes[scheduled.lane()], scheduled)
	}
	operatorSteps := lanes[operatorLane]
	delete(lanes, operatorLane)
	var running sync.WaitGroup
	for _, lane := range lanes {
		random := s.newRandom()
		running.Go(func() {
			for _, scheduled := range lane {
				s.wait(ctx, scheduled.At-s.fleet.clock.Now().Sub(start))
				s.runStep(ctx, scheduled, random)
			}
		})
	}
	running.Go(func() { s.operate(ctx, operatorSteps, start) })
	running.Wait()
}

// operate submits the changes of the steps and reads in between, for the length of the
// soak.
func (s *soak) operate(ctx context.Context, steps []step, start time.Time) {
	for _, scheduled := range append(steps, step{At: time.Duration(s.options.Seconds) * time.Second}) {
		for scheduled.At > s.fleet.clock.Now().Sub(start) && ctx.Err() == nil {
			s.addError(s.operator.Read(ctx))
			s.wait(ctx, readInterval)
		}
		changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		for range scheduled.Count {
			s.addError(s.operator.SubmitChange(changeCtx))
		}
		cancel()
	}
	s.versions.Store(s.operator.Acknowledged())
}

func (s *soak) runStep(ctx context.Context, scheduled step, random *rand.Rand) {
	if ctx.Err() != nil {
		return
	}
	if scheduled.Action == drainServer {
		s.fleet.setDraining(scheduled.Target, true)
		s.wait(ctx, scheduled.Length)
		s.fleet.setDraining(scheduled.Target, false)
		return
	}
	target := s.fleet.processes[scheduled.Target]
	switch scheduled.Action {
	case restart:
		s.restart(ctx, target, scheduled, nil)
	case restartSignals:
		s.restart(ctx, target, scheduled, random)
	case hangups:
		s.sendHangups(ctx, target, scheduled.Count)
	case changeSettings:
		s.addError(target.writeSettings(fmt.Sprintf("aFieldThatNobodyKnows = %d", scheduled.Count)))
		s.sendHangups(ctx, target, 1)
	}
}

// restart sends SIGTERM and, if random is given, further signals, and starts the process
// again after its exit.
func (s *soak) restart(ctx context.Context, target *process, scheduled step, random *rand.Rand) {
	s.awaitSignalHandling(ctx, target)
	if target.hasExited() {
		s.addProblem("%s had ended by itself", target.name)
	}
	stopped := s.fleet.clock.Now()
	target.signal(syscall.SIGTERM)
	stopSignals := make(chan struct{})
	var signals sync.WaitGroup
	if random != nil {
		signals.Go(func() { s.sendFurtherSignals(target, scheduled.Count, random, stopSignals) })
	}
	s.addError(target.awaitExit(ctx, grace))
	s.addExit(s.fleet.clock.Now().Sub(stopped))
	close(stopSignals)
	signals.Wait()
	s.wait(ctx, scheduled.Length)
	s.addError(target.start())
	if random != nil {
		s.stopDuringStart(ctx, target, random)
	}
}

// stopDuringStart sends SIGTERM to a process that was just started, and starts it again.
func (s *soak) stopDuringStart(ctx context.Context, target *process, random *rand.Rand) {
	s.wait(ctx, time.Duration(random.Int64N(int64(maxStartSignalDelay))))
	target.signal(syscall.SIGTERM)
	s.addError(target.awaitExitDuringStart(ctx, grace))
	s.startsStopped.Add(1)
	s.addError(target.start())
}

// sendFurtherSignals sends signals that must not shorten a drain.
func (s *soak) sendFurtherSignals(target *process, count int, random *rand.Rand, stop <-chan struct{}) {
	further := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGCONT}
	for range count {
		select {
		case <-s.fleet.clock.After(time.Duration(random.Int64N(int64(maxSignalGap)))):
			target.signal(further[random.IntN(len(further))])
		case <-stop:
			return
		}
	}
}

func (s *soak) sendHangups(ctx context.Context, target *process, count int) {
	for range count {
		target.signalHandled(syscall.SIGHUP)
		s.wait(ctx, hangupGap)
	}
}

// awaitSignalHandling waits until the process handles signals.
func (s *soak) awaitSignalHandling(ctx context.Context, target *process) {
	for waited := time.Duration(0); waited < signalTimeout && !target.handlesSignals(); waited += pollInterval {
		s.wait(ctx, pollInterval)
	}
}

func (s *soak) wait(ctx context.Context, duration time.Duration) {
	select {
	case <-s.fleet.clock.After(duration):
	case <-ctx.Done():
	}
}

func (s *soak) addProblem(format string, args ...any) {
	select {
	case s.problems <- fmt.Sprintf(format, args...):
	default:
	}
}

// addExit records the time of an exit; those beyond maxProblems are dropped.
func (s *soak) addExit(took time.Duration) {
	select {
	case s.exits <- took:
	default:
	}
}

func (s *soak) addError(err error) {
	if err != nil {
		s.addProblem("%v", err)
	}
}

// failureMarks are in the log of a process in which a part has failed.
var failureMarks = [][]byte{[]byte("panic"), []byte("fatal error"), []byte("event_name=service_failed"), []byte("event_name=owner_broke"), []byte("event_name=request_broke")}

func (s *soak) checkLogs() {
	for _, process := range s.fleet.processes {
		data, err := os.ReadFile(process.logFile())
		s.addError(err)
		for line := range bytes.Lines(data) {
			if slices.ContainsFunc(failureMarks, func(mark []byte) bool { return bytes.Contains(line, mark) }) {
				s.addProblem("the log of %s has: %s", process.name, bytes.TrimSpace(line))
			}
		}
	}
}

func (s *soak) summarize(steps []step) Summary {
	recording := s.recorder.Snapshot()
	summary := Summary{Seed: s.options.Seed, Steps: map[string]int{}, Versions: s.versions.Load(), Verdicts: map[standin.Verdict]int{}}
	for _, scheduled := range steps {
		summary.Steps[string(scheduled.Action)]++
	}
	for _, outcome := range recording.Outcomes {
		summary.count(outcome)
	}
	var losses strings.Builder
	for _, loss := range standin.FindLosses(&recording, bounds) {
		summary.Verdicts[loss.Verdict]++
		losses.WriteString(loss.String() + "\n")
		if loss.Breaks() {
			s.addProblem("%s", loss)
		}
	}
	if s.fleet.keep {
		s.addError(os.WriteFile(filepath.Join(s.fleet.folder, lossesFile), []byte(losses.String()), fileMode))
	}
	summary.StartsStopped = s.startsStopped.Load()
	close(s.exits)
	for took := range s.exits {
		summary.SlowestExit = max(summary.SlowestExit, took.Milliseconds())
	}
	summary.Problems = s.takeProblems()
	return summary
}

// takeProblems returns the problems that were recorded. None may be added later.
func (s *soak) takeProblems() []string {
	close(s.problems)
	var problems []string
	for problem := range s.problems {
		problems = append(problems, strings.TrimSpace(problem))
	}
	return problems
}

func (s *Summary) count(outcome standin.Outcome) {
	switch {
	case outcome.Kind == standin.KindOperator:
		s.Calls++
		return
	case outcome.Kind == standin.KindCheck:
		return
	}
	s.Requests++
	switch {
	case !outcome.Connected:
		s.Unsent++
	case !outcome.Complete:
	case outcome.Status == 200:
		s.Whole++
	case outcome.Status == 503:
		s.Refused++
	default:
		s.Other++
	}
}
