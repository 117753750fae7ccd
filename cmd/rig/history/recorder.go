package history

import (
	"maps"
	"slices"
	"time"

	"stepwick/cmd/rig/owner"
	"stepwick/internal/clock"
)

// records is a recording with an index of its runs.
type records struct {
	Recording
	runIndex map[string]int // position in Runs by run ID
}

// Recorder builds a recording from many goroutines.
type Recorder struct {
	clock clock.Clock
	start time.Time
	owner *owner.Owner[records]
}

// NewRecorder starts an empty recording; the seed is that of the run.
func NewRecorder(seed int64) *Recorder {
	systemClock := clock.System()
	return &Recorder{
		clock: systemClock,
		start: systemClock.Now(),
		owner: owner.New(records{
			Recording: Recording{
				Seed:       seed,
				Allowances: map[string]Allowance{},
				Zones:      map[string]string{},
			},
			runIndex: map[string]int{},
		}),
	}
}

// Now returns the offset from the start of the recording.
func (r *Recorder) Now() Instant { return r.clock.Now().Sub(r.start) }

// Update queues a change of the recording and doesn't wait for it.
func (r *Recorder) Update(change func(*Recording)) {
	r.owner.Post(func(all *records) { change(&all.Recording) })
}

// AddAttempt adds a finished attempt.
func (r *Recorder) AddAttempt(attempt Attempt) {
	r.Update(func(recording *Recording) {
		recording.Attempts = append(recording.Attempts, attempt)
	})
}

// PutRun adds a run or replaces the one of the same ID.
func (r *Recorder) PutRun(run Run) {
	r.owner.Post(func(all *records) {
		if i, ok := all.runIndex[run.ID]; ok {
			all.Runs[i] = run
			return
		}
		all.runIndex[run.ID] = len(all.Runs)
		all.Runs = append(all.Runs, run)
	})
}

// AddAction adds something that the rig does now. After a final one nothing is
// repaired any more.
func (r *Recorder) AddAction(description string, final bool) {
	action := Action{
		At:          r.Now(),
		Description: description,
		Final:       final,
	}
	r.Update(func(recording *Recording) {
		recording.Actions = append(recording.Actions, action)
	})
}

// AddInterruption records that a process is being ended, suspended or resumed
// without warning.
func (r *Recorder) AddInterruption(target string) {
	interruption := Interruption{
		At:     r.Now(),
		Target: target,
	}
	r.Update(func(recording *Recording) {
		recording.Interruptions = append(recording.Interruptions, interruption)
	})
}

// SetPartitioned records whether links between nodes are partitioned from now on.
func (r *Recorder) SetPartitioned(partitioned bool) {
	now := r.Now()
	r.Update(func(recording *Recording) { recording.setPartitioned(partitioned, now) })
}

func (r *Recording) setPartitioned(partitioned bool, now Instant) {
	count := len(r.Partitions)
	ongoing := count > 0 && r.Partitions[count-1].To == 0
	switch {
	case ongoing && !partitioned:
		r.Partitions[count-1].To = now
	case !ongoing && partitioned:
		r.Partitions = append(r.Partitions, Interval{From: now})
	}
}

// Snapshot returns a copy of the recording that ends now.
func (r *Recorder) Snapshot() Recording {
	var snapshot Recording
	r.owner.Do(func(all *records) { snapshot = all.clone() })
	snapshot.End = r.Now()
	return snapshot
}

func (r *Recording) clone() Recording {
	copied := *r
	copied.Attempts = slices.Clone(r.Attempts)
	copied.Runs = slices.Clone(r.Runs)
	copied.Orders = slices.Clone(r.Orders)
	copied.ReadBacks = slices.Clone(r.ReadBacks)
	copied.KeyChecks = slices.Clone(r.KeyChecks)
	copied.KeyRotations = slices.Clone(r.KeyRotations)
	copied.ListingChanges = slices.Clone(r.ListingChanges)
	copied.ReadinessChecks = slices.Clone(r.ReadinessChecks)
	copied.Actions = slices.Clone(r.Actions)
	copied.Interruptions = slices.Clone(r.Interruptions)
	copied.Partitions = slices.Clone(r.Partitions)
	copied.Allowances = maps.Clone(r.Allowances)
	copied.Zones = maps.Clone(r.Zones)
	return copied
}

// Close stops the recorder; later changes are dropped.
func (r *Recorder) Close() { r.owner.Close() }
