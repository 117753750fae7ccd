// Package faultcase injects faults into a running fleet: in cases, each for one kind
// of fault, in a mix of faults drawn from a seed, and in scenarios read from files. It
// records what callers, operators, servers and the platform observe; package checker
// finds the violations in the recording. The package itself reports only errors that
// keep a case from doing its work, such as an order that was not acknowledged in time.
package faultcase

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/faultproxy"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
	"stepwick/cmd/rig/owner"
	"stepwick/cmd/rig/stall"
	"stepwick/internal/clock"
)

const (
	// caseSeedWord is the second word of the PCG seed; the first is the run's seed.
	caseSeedWord = 5

	firstSheetTimeout  = 40 * time.Second
	keyCheckInterval   = 300 * time.Millisecond
	readyCheckInterval = 100 * time.Millisecond
	pollInterval       = 200 * time.Millisecond
	lateRunsWait       = time.Second // for servers to record requests that are still running at the end
	logTailBytes       = 600

	savedFileMode = 0o644
	savedDirMode  = 0o755
)

// Names of the two operators.
const (
	firstOperator  = "ade"
	secondOperator = "bola"
)

// Options of a run.
type Options struct {
	Spec    fleet.Spec
	Tenants []loadgen.Tenant
	Binary  string
	// PreviousBinary is the binary of an earlier build, for a rolling upgrade only.
	PreviousBinary string
	Seed           uint64
	Seconds        int    // length of the case
	KeepDir        string // receives the recording and the nodes' logs; empty to keep neither
	Out            io.Writer
	PrintTable     bool              // print request counts every second
	SheetSettings  map[string]string // run-time settings of the first sheet
}

// Run is a serving fleet with its callers and operators.
type Run struct {
	Options
	Fleet        *fleet.Fleet
	Recorder     *history.Recorder
	Callers      *loadgen.Callers
	Operators    *loadgen.Operators
	Random       *rand.Rand
	TrafficStart history.Instant

	// Rolling is the result of a rolling upgrade; nil in other cases.
	Rolling *RollingSummary
	// Soak is the result of a soak; nil in other cases.
	Soak *SoakSummary

	ctx        context.Context // canceled when the load ends
	cancel     context.CancelFunc
	background sync.WaitGroup // load, key checks and printed table
	dir        string
}

// Start starts a fleet, submits the first sheet, waits until every node serves by it
// and starts the load.
func Start(ctx context.Context, options Options) (*Run, error) {
	dir, err := os.MkdirTemp("", "stepwick-rig-")
	if err != nil {
		return nil, errors.Wrap(err, "create temporary directory")
	}
	run := &Run{
		Options:  options,
		Recorder: history.NewRecorder(int64(options.Seed)),
		Random:   rand.New(rand.NewPCG(options.Seed, caseSeedWord)),
		dir:      dir,
	}
	run.ctx, run.cancel = context.WithCancel(ctx)
	if run.Fleet, err = fleet.New(options.Spec, options.Binary, dir, run.Recorder, options.Seed); err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	if err := run.Fleet.Start(); err != nil {
		run.abort()
		return nil, err
	}
	run.Operators = loadgen.NewOperators(run.Fleet, options.Seed)
	run.Callers = loadgen.NewCallers(run.Fleet, options.Tenants, options.Seed)
	if err := run.submitFirstSheet(); err != nil {
		run.abort()
		return nil, err
	}
	run.startLoad()
	return run, nil
}

func (r *Run) startLoad() {
	r.TrafficStart = r.Recorder.Now()
	r.background.Go(func() { r.Callers.Run(r.ctx) })
	r.background.Go(func() { r.Operators.RunKeyChecks(r.ctx, r.keyCheckInterval()) })
	r.background.Go(r.recordStalls)
	if r.PrintTable {
		r.background.Go(r.printTable)
	}
}

// recordStalls records the times in which this machine does not run the rig.
func (r *Run) recordStalls() {
	system := clock.System()
	stall.Watch(r.ctx, system, func(found stall.Stall) {
		now, length := r.Recorder.Now(), found.To.Sub(found.From)
		r.Recorder.Update(func(recording *history.Recording) {
			recording.Stalls = append(recording.Stalls, history.Interval{From: now - length, To: now})
		})
	})
}

// keyCheckInterval returns the interval between key checks. It grows with the fleet,
// so that the checks of a large fleet don't outnumber its requests.
func (r *Run) keyCheckInterval() time.Duration {
	firstNodes := len(fleet.FirstDeployment().Nodes)
	return keyCheckInterval * time.Duration(max(1, len(r.Fleet.Nodes)/firstNodes))
}

// submitFirstSheet submits the first sheet and waits until every node serves by it.
func (r *Run) submitFirstSheet() error {
	ctx, cancel := context.WithTimeout(r.ctx, firstSheetTimeout)
	defer cancel()
	key := r.Operators.NextKey()
	sheet := loadgen.NewSheet(r.Fleet, r.Tenants, key)
	sheet.Settings = r.SheetSettings
	order := r.Operators.Put(firstOperator, 0, sheet, key)
	if answer := r.Operators.Submit(ctx, order, r.Fleet.Nodes); !answer.Acknowledged() {
		return errors.Errorf("the first sheet was not acknowledged: status %d code %d %s; node logs:\n%s",
			answer.Status, answer.Code, answer.Detail, r.logTails())
	}
	for _, node := range r.Fleet.Nodes {
		if err := r.awaitKey(ctx, node, key); err != nil {
			return err
		}
	}
	return nil
}

// awaitKey waits until a node accepts a key.
func (r *Run) awaitKey(ctx context.Context, node *fleet.Node, key int) error {
	for {
		check := r.Operators.CheckKey(node, key)
		if check.Accepted() {
			return nil
		}
		if !owner.Sleep(ctx, readyCheckInterval) {
			return errors.Errorf("node %s did not serve within %s: key check status %d code %d %s; node logs:\n%s",
				node.Name, firstSheetTimeout, check.Status, check.Code, check.Detail, r.logTails())
		}
	}
}

// logTails returns the last logTailBytes of each node's log.
func (r *Run) logTails() string {
	var text strings.Builder
	for _, node := range r.Fleet.Nodes {
		data, _ := os.ReadFile(node.LogFile())
		tail := data[max(0, len(data)-logTailBytes):]
		fmt.Fprintf(&text, "--- %s\n%s\n", node.Name, tail)
	}
	return text.String()
}

// abort ends a run whose load has not started.
func (r *Run) abort() {
	r.cancel()
	r.saveLogs()
	r.Fleet.Close()
	r.Recorder.Close()
	_ = os.RemoveAll(r.dir)
}

// saveLogs copies the nodes' logs to KeepDir if it is set.
func (r *Run) saveLogs() {
	if r.KeepDir == "" {
		return
	}
	_ = os.MkdirAll(r.KeepDir, savedDirMode)
	for _, node := range r.Fleet.Nodes {
		if data, err := os.ReadFile(node.LogFile()); err == nil {
			_ = os.WriteFile(filepath.Join(r.KeepDir, node.Name+".log"), data, savedFileMode)
		}
	}
}

func (r *Run) saveRecording(recording history.Recording) {
	if r.KeepDir == "" {
		return
	}
	if data, err := json.Marshal(recording); err == nil {
		_ = os.WriteFile(filepath.Join(r.KeepDir, "ledger.json"), data, savedFileMode)
	}
}

// Close stops the load, gives servers time to record requests that are still running,
// stops the fleet and returns the recording.
func (r *Run) Close() history.Recording {
	r.cancel()
	r.background.Wait()
	owner.Sleep(context.Background(), lateRunsWait)
	recording := r.Recorder.Snapshot()
	r.saveLogs()
	r.saveRecording(recording)
	r.Fleet.Close()
	r.Callers.Close()
	r.Recorder.Close()
	_ = os.RemoveAll(r.dir)
	return recording
}

// Context returns a context that is canceled when the load ends.
func (r *Run) Context() context.Context { return r.ctx }

// Wait waits for a duration; it returns false if the run ends first.
func (r *Run) Wait(d time.Duration) bool { return owner.Sleep(r.ctx, d) }

// end returns the instant at which a case that began at start ends.
func (r *Run) end(start history.Instant) history.Instant {
	return start + time.Duration(r.Seconds)*time.Second
}

// waitUntilEnd waits until the end of a case that began at start.
func (r *Run) waitUntilEnd(start history.Instant) {
	if remaining := r.end(start) - r.Recorder.Now(); remaining > 0 {
		r.Wait(remaining)
	}
}

// hasTimeLeft reports whether a case that began at start has not ended yet.
func (r *Run) hasTimeLeft(start history.Instant) bool {
	return r.ctx.Err() == nil && r.Recorder.Now() < r.end(start)
}

// seconds converts a number of seconds to a duration.
func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

// Partition blocks the links between two groups, in both directions.
func (r *Run) Partition(left, right []string) {
	r.Recorder.AddAction(fmt.Sprintf("cut %v from the rest", left), false)
	r.Recorder.SetPartitioned(true)
	r.Fleet.Links.SetBetween(left, right, faultproxy.Mode{Blocked: true})
}

// Heal removes all faults from all links.
func (r *Run) Heal() {
	r.Recorder.AddAction("heal", false)
	r.Fleet.Links.Heal()
	r.Recorder.SetPartitioned(false)
}

// Others returns the nodes that are not in a group.
func (r *Run) Others(group []string) []string {
	var names []string
	for _, node := range r.Fleet.Nodes {
		if !slices.Contains(group, node.Name) {
			names = append(names, node.Name)
		}
	}
	return names
}

// isolate partitions a group of nodes from all other nodes; servers stay reachable.
func (r *Run) isolate(group ...string) { r.Partition(group, r.Others(group)) }

// printTable prints the counts of requests in each second until the load ends.
func (r *Run) printTable() {
	ticker := clock.System().Ticker(time.Second)
	defer ticker.Stop()
	var previous loadgen.Counts
	r.printf("%6s %8s %9s %8s %8s %7s %8s\n", "second", "served", "refused", "failed", "unsent", "epoch", "skipped")
	for second := 1; ; second++ {
		select {
		case <-ticker.C():
		case <-r.ctx.Done():
			return
		}
		counts := r.Callers.Counts()
		_, version := r.Operators.NewestKey()
		r.printf("%6d %8d %9d %8d %8d %7d %8d\n", second, counts.Served-previous.Served, counts.Rejected-previous.Rejected,
			counts.Failed-previous.Failed, counts.Unsent-previous.Unsent, version, r.Callers.Skipped.Load())
		previous = counts
	}
}

func (r *Run) printf(format string, args ...any) { _, _ = fmt.Fprintf(r.Out, format, args...) }

// NodeVersions checks, through requests with the newest key, which running nodes serve
// by the newest sheet. It returns the newest version by node name, or 0 for a node
// that does not accept the key within the timeout.
func (r *Run) NodeVersions(timeout time.Duration) map[string]uint64 {
	versions := map[string]uint64{}
	key, version := r.Operators.NewestKey()
	deadline := r.Recorder.Now() + timeout
	for _, node := range r.Fleet.Nodes {
		if _, runs := node.Running(); !runs {
			continue
		}
		versions[node.Name] = 0
		if r.acceptsKey(node, key, deadline) {
			versions[node.Name] = version
		}
	}
	return versions
}

// acceptsKey checks a key at a node until it is accepted. It returns false if that
// has not happened by the deadline, and makes at least one check even after it.
func (r *Run) acceptsKey(node *fleet.Node, key int, deadline history.Instant) bool {
	for {
		if r.Operators.CheckKey(node, key).Accepted() {
			return true
		}
		if r.Recorder.Now() > deadline || !r.Wait(pollInterval) {
			return false
		}
	}
}
