package history

import (
	"maps"
	"slices"
	"time"

	"stepwick/cmd/rig/owner"
	"stepwick/internal/clock"
)

// records is a recording with an index of its runs by ID.
type records struct {
	Recording
	runIndex map[string]int // position in Runs by run ID
}

// Recorder builds a recording. Its methods may be called concurrently.
type Recorder struct {
	clock clock.Clock
	start time.Time
	owner *owner.Owner[records]
}

// NewRecorder starts an empty recording of a run with the given seed.
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

// Update queues a change of the recording and returns without waiting for it.
func (r *Recorder) Update(change func(*Recording)) {
	r.owner.Post(func(current *records) { change(&current.Recording) })
}

// AddAttempt adds a finished attempt.
func (r *Recorder) AddAttempt(attempt Attempt) {
	r.Update(func(recording *Recording) {
		recording.Attempts = append(recording.Attempts, attempt)
	})
}

// PutRun adds a run or replaces the run with the same ID.
func (r *Recorder) PutRun(run Run) {
	r.owner.Post(func(current *records) {
		if i, ok := current.runIndex[run.ID]; ok {
			current.Runs[i] = run
			return
		}
		current.runIndex[run.ID] = len(current.Runs)
		current.Runs = append(current.Runs, run)
	})
}

// AddAction records an action of the rig at the present time. No fault is repaired
// after a final action.
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

// AddInterruption records that the process of a node or server is being killed,
// suspended or resumed.
func (r *Recorder) AddInterruption(target string) {
	interruption := Interruption{
		At:     r.Now(),
		Target: target,
	}
	r.Update(func(recording *Recording) {
		recording.Interruptions = append(recording.Interruptions, interruption)
	})
}

// SetPartitioned records that a partition of links between nodes begins or ends now.
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

// Snapshot returns a copy of the recording up to the present time.
func (r *Recorder) Snapshot() Recording {
	var snapshot Recording
	r.owner.Do(func(current *records) { snapshot = current.clone() })
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

// Close stops the recorder; later changes are discarded.
func (r *Recorder) Close() { r.owner.Close() }
