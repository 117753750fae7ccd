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
	// soakStopTimeout is the time within which a process must exit after SIGTERM. The setting
	// drain.grace, soakDrainGrace, leaves 1.2 s of it for the handover.
	soakStopTimeout = 8 * time.Second
	soakDrainGrace  = "6.8s"

	// soakRecoveryTimeout is the time after the last step of a storm within which every node
	// must serve by the newest sheet again.
	soakRecoveryTimeout = checker.RecoveryTime

	stormLength          = 10 * time.Second
	persistentInterval   = 150 * time.Millisecond
	soakLoadFactor       = 0.4 // of the first deployment's load
	excessiveLoadFactor  = 4   // of one tenant, whose demand is then 1.6 times its allowance
	maxProblemsInMessage = 10
)

// SoakSize is the size of a soak.
type SoakSize struct {
	fleet.Size
	Clients int // each keeps reusing one connection
}

// SmallSoak returns the default size of a soak, which has the nodes of the first
// deployment.
func SmallSoak() SoakSize {
	return SoakSize{
		Size:    fleet.Size{Cores: 3, Fronts: 6, Models: 9, Webs: 3},
		Clients: 27,
	}
}

// SoakSummary is the result of a soak.
type SoakSummary struct {
	Steps            map[soakAction]int `json:"steps"`
	OrdersKept       int                `json:"orders_kept"`         // acknowledged, and in force at every node at the end
	KeptRequests     int                `json:"kept_requests"`       // sent on a connection that was open before
	LeavingAnswers   int                `json:"leaving_answers"`     // of those, answered that the node is draining
	ClosedUnread     int                `json:"closed_unread"`       // of those, whose connection was closed without an answer
	SlowestExit      int64              `json:"slowest_exit_ms"`     // from SIGTERM
	SlowestRecovery  int64              `json:"slowest_recovery_ms"` // from the end of a storm
	HangupsDelivered int                `json:"hangups"`
	EndedBeforeStart int                `json:"ended_before_start"` // by SIGTERM, before the program had logged anything
}

// Soak returns the soak case for a size.
func Soak(size SoakSize) Case {
	return Case{
		Name:      "soak",
		Group:     8,
		Help:      "overlapping series of signals, restarts, settings changes and sheet changes, while clients reuse their connections",
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

// soak is a running soak.
type soak struct {
	*Run
	size     SoakSize
	progress *owner.Owner[soakProgress]

	nextTenant atomic.Int64 // number of the last tenant that an order added
}

// soakProgress holds the problems and counts of a soak so far.
type soakProgress struct {
	problems []string
	summary  SoakSummary
	orders   map[string]uint64 // version of each acknowledged order, by the tenant that it added
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
	r.background.Go(func() { r.Callers.RunPersistent(r.ctx, size.Clients, persistentInterval) })
	for i, length := range stormLengths(time.Duration(r.Seconds) * time.Second) {
		storm := uint64(i)
		s.runStorm(newSoakSteps(r.Seed, storm, s.targets(), length))
		s.checkAfterStorm(storm)
	}
	s.checkLogs()
	return s.finish()
}

// stormLengths divides the length of a soak into storms. The end of the last steps of a
// storm, and the check after it, take a few seconds more.
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
	for _, model := range s.Fleet.ModelServers {
		targets.models = append(targets.models, model.Name)
	}
	return targets
}

// runStorm runs the steps of a storm: those of one target in sequence, those of
// different targets concurrently. Hangups run concurrently with the other steps of
// their target.
func (s *soak) runStorm(steps []soakStep) {
	start := s.Recorder.Now()
	lanes := map[string][]soakStep{}
	for _, step := range steps {
		laneName := step.Target
		if step.Action == soakHangups {
			laneName += " hangups"
		}
		lanes[laneName] = append(lanes[laneName], step)
	}
	var laneRunners sync.WaitGroup
	for _, lane := range lanes {
		laneRunners.Go(func() {
			for _, step := range lane {
				s.runStep(step, start)
			}
		})
	}
	laneRunners.Wait()
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
		s.addErrorAsProblem(s.replaceModelServer(step.Target))
	case soakCrashServer:
		s.Fleet.CrashModelServer(step.Target)
		s.Wait(step.Length)
		s.addErrorAsProblem(s.Fleet.RestartModelServer(step.Target))
	}
}

// addProblem records a violation or a failed operation, with the current time.
func (s *soak) addProblem(format string, args ...any) {
	problem := fmt.Sprintf("at %.3fs: ", s.Recorder.Now().Seconds()) + fmt.Sprintf(format, args...)
	s.progress.Post(func(p *soakProgress) { p.problems = append(p.problems, problem) })
}

func (s *soak) addErrorAsProblem(err error) {
	if err != nil {
		s.addProblem("%v", err)
	}
}

// checkLogs searches the logs of all nodes for panics and failed services.
func (s *soak) checkLogs() {
	for _, node := range s.Fleet.Nodes {
		line, err := findFailure(node.LogFile())
		s.addErrorAsProblem(err)
		if line != "" {
			s.addProblem("the log of %s has: %s", node.Name, line)
		}
	}
}

// finish sets the run's summary and returns an error that lists the first problems.
func (s *soak) finish() error {
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
