package faultcase

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
)

const (
	// soakGrace is how soon after SIGTERM a process must have ended, and soakDrainGrace
	// the setting drain.grace, which leaves 1.2 s of it for the hand-over.
	soakGrace      = 8 * time.Second
	soakDrainGrace = "6.8s"

	// soakRecovery is how soon after the last step of a storm every node must serve by
	// the newest sheet again.
	soakRecovery = checker.RecoveryTime

	stormLength          = 10 * time.Second
	persistentInterval   = 150 * time.Millisecond
	soakLoadFactor       = 0.4 // of the first deployment's load
	excessiveLoadFactor  = 4   // of one tenant, which then asks for 1.6 of its allowance
	maxProblemsInMessage = 10
)

// SoakSize is the size of a soak.
type SoakSize struct {
	fleet.Size
	Clients int // that keep using one connection each
}

// SmallSoak is the size of the case soak: that of the first deployment in nodes.
func SmallSoak() SoakSize {
	return SoakSize{
		Size:    fleet.Size{Cores: 3, Fronts: 6, Models: 9, Webs: 3},
		Clients: 27,
	}
}

// SoakSummary counts what happened in a soak.
type SoakSummary struct {
	Steps            map[soakAction]int `json:"steps"`
	OrdersKept       int                `json:"orders_kept"`         // acknowledged, and in force at every node at the end
	KeptRequests     int                `json:"kept_requests"`       // sent on a connection that was open before
	LeavingAnswers   int                `json:"leaving_answers"`     // of those, answered that the node is leaving
	ClosedUnread     int                `json:"closed_unread"`       // of those, whose connection was closed without an answer
	SlowestExit      int64              `json:"slowest_exit_ms"`     // from SIGTERM
	SlowestRecovery  int64              `json:"slowest_recovery_ms"` // from the end of a storm
	HangupsDelivered int                `json:"hangups"`
	EndedBeforeStart int                `json:"ended_before_start"` // by SIGTERM, before the program had begun
}

// Soak returns the case of a soak of a size.
func Soak(size SoakSize) Case {
	return Case{
		Name:      "soak",
		Group:     8,
		Help:      "signals, restarts, settings and sheet changes in series that overlap, while clients keep their connections",
		Seconds:   60,
		Configure: func(options *Options) { configureSoak(options, size) },
		Run:       func(r *Run) error { return runSoak(r, size) },
	}
}

func configureSoak(options *Options, size SoakSize) {
	options.Spec = fleet.SizedDeployment(size.Size)
	options.Spec.Settings = map[string]string{"drain.grace": soakDrainGrace}
	options.Tenants = append(options.Tenants, loadgen.PersistentTenants()...)
}

// soak is a soak that runs.
type soak struct {
	*Run
	size     SoakSize
	progress *owner.Owner[soakProgress]

	nextTenant atomic.Int64 // number of the last tenant that an order added
}

// soakProgress is what a soak has found and done so far.
type soakProgress struct {
	problems []string
	summary  SoakSummary
	orders   map[string]uint64 // version by the tenant that an acknowledged order added
}

func runSoak(r *Run, size SoakSize) error {
	s := &soak{
		Run:  r,
		size: size,
		progress: owner.New(soakProgress{
			summary: SoakSummary{Steps: map[soakAction]int{}},
			orders:  map[string]uint64{},
		}),
	}
	defer s.progress.Close()
	r.Callers.SetLoadFactor("", soakLoadFactor)
	r.Callers.SetLoadFactor(mostExcessiveTenant, excessiveLoadFactor)
	r.parts.Go(func() { r.Callers.RunPersistent(r.ctx, size.Clients, persistentInterval) })
	for i, length := range stormLengths(time.Duration(r.Seconds) * time.Second) {
		storm := uint64(i)
		s.runStorm(drawSoakSchedule(r.Seed, storm, s.targets(), length))
		s.checkCalm(storm)
	}
	s.checkLogs()
	return s.conclude()
}

// stormLengths divides the length of a soak into storms. What a storm has begun, and
// the check after it, take a few seconds more.
func stormLengths(total time.Duration) []time.Duration {
	var lengths []time.Duration
	for remaining := total; remaining > 0; remaining -= stormLength {
		lengths = append(lengths, min(stormLength, remaining))
	}
	return lengths
}

func (s *soak) targets() soakTargets {
	var targets soakTargets
	for _, node := range s.Fleet.Nodes {
		if node.Core {
			targets.cores = append(targets.cores, node.Name)
		} else {
			targets.fronts = append(targets.fronts, node.Name)
		}
	}
	for _, model := range s.Fleet.Models {
		targets.models = append(targets.models, model.Name)
	}
	return targets
}

// runStorm runs the steps of a storm: those of one target one after another, those of
// different targets, and hangups, beside each other.
func (s *soak) runStorm(steps []soakStep) {
	start := s.Recorder.Now()
	byTarget := map[string][]soakStep{}
	for _, step := range steps {
		lane := step.Target
		if step.Action == soakHangups {
			lane += " hangups"
		}
		byTarget[lane] = append(byTarget[lane], step)
	}
	var running sync.WaitGroup
	for _, lane := range byTarget {
		running.Go(func() {
			for _, step := range lane {
				s.runStep(step, start)
			}
		})
	}
	running.Wait()
}

func (s *soak) runStep(step soakStep, start history.Instant) {
	if wait := start + step.At - s.Recorder.Now(); wait > 0 && !s.Wait(wait) {
		return
	}
	s.Recorder.AddAction(fmt.Sprintf("soak: %s %s %s %d", step.Action, step.Target, step.Length, step.Count), false)
	s.progress.Post(func(p *soakProgress) { p.summary.Steps[step.Action]++ })
	if node := s.Fleet.Node(step.Target); node != nil {
		s.runNodeStep(step, node)
		return
	}
	switch step.Action {
	case soakChangeSheet:
		s.changeSheet(step)
	case soakRaceOperators:
		s.raceOperators(step)
	case soakReplaceServer:
		s.noteError(s.replaceModelServer(step.Target))
	case soakCrashServer:
		s.Fleet.CrashModelServer(step.Target)
		s.Wait(step.Length)
		s.noteError(s.Fleet.RestartModelServer(step.Target))
	}
}

// addProblem notes something that must not happen.
func (s *soak) addProblem(format string, args ...any) {
	problem := fmt.Sprintf("at %.3fs: ", s.Recorder.Now().Seconds()) + fmt.Sprintf(format, args...)
	s.progress.Post(func(p *soakProgress) { p.problems = append(p.problems, problem) })
}

func (s *soak) noteError(err error) {
	if err != nil {
		s.addProblem("%v", err)
	}
}

// checkLogs looks for panics and parts that failed in the logs of all nodes.
func (s *soak) checkLogs() {
	for _, node := range s.Fleet.Nodes {
		line, err := findFailure(node.LogFile())
		s.noteError(err)
		if line != "" {
			s.addProblem("the log of %s has: %s", node.Name, line)
		}
	}
}

// conclude sets the run's summary and returns an error that names the problems.
func (s *soak) conclude() error {
	var problems []string
	s.progress.Do(func(p *soakProgress) {
		problems = p.problems
		summary := p.summary
		summary.OrdersKept = len(p.orders)
		s.Soak = &summary
	})
	recording := s.Recorder.Snapshot()
	s.Soak.countAttempts(&recording)
	if len(problems) == 0 {
		return nil
	}
	shown := problems[:min(len(problems), maxProblemsInMessage)]
	return errors.Errorf("%d problems:\n    %s", len(problems), strings.Join(shown, "\n    "))
}

func (s *SoakSummary) countAttempts(recording *history.Recording) {
	for _, attempt := range recording.Attempts {
		if !attempt.Reused {
			continue
		}
		s.KeptRequests++
		switch {
		case attempt.Code == int(apierror.FrontDraining):
			s.LeavingAnswers++
		case attempt.Outcome == history.ConnectionBroken && attempt.Status == 0:
			s.ClosedUnread++
		}
	}
}
