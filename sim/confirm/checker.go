package confirm

import "stepwick/internal/decision/lease"

// sampleTicks is the interval at which all running fronts are sampled.
const sampleTicks = 10

// acknowledgement is of an order.
type acknowledgement struct {
	version uint64
	atMS    int64
}

// checker checks that no front serves by an older version than was acknowledged.
type checker struct {
	// recent are the acknowledgements not older than lapseMS.
	recent []acknowledgement
	// floor is the highest version acknowledged longer ago than lapseMS: no front may
	// serve by an older one. leaseFloor is the same after leaseSlackMS: no front may by
	// a lease.
	floor      acknowledgement
	leaseFloor acknowledgement

	samples        int
	servingSamples int
	violation      *Violation // the first found
}

func (c *checker) recordAcknowledgement(acknowledged acknowledgement) {
	c.recent = append(c.recent, acknowledged)
}

// raiseFloors raises the floors to what was acknowledged long enough ago.
func (c *checker) raiseFloors(nowMS int64) {
	recent := c.recent[:0]
	for _, acknowledged := range c.recent {
		if nowMS > acknowledged.atMS+leaseSlackMS && acknowledged.version > c.leaseFloor.version {
			c.leaseFloor = acknowledged
		}
		if nowMS <= acknowledged.atMS+lapseMS {
			recent = append(recent, acknowledged)
		} else if acknowledged.version > c.floor.version {
			c.floor = acknowledged
		}
	}
	c.recent = recent
}

// check checks what a node would decide now, by its state alone.
func (w *world) check(node *nodeState) {
	proc := node.process
	version := proc.state.Version
	sample := w.tick%sampleTicks == 0
	if version == node.servedVersion && version >= w.checker.leaseFloor.version && !sample {
		return
	}
	authority := proc.holder.Authority(w.clock(node))
	if sample {
		w.checker.samples++
	}
	if !authority.Granted {
		return
	}
	if sample {
		w.checker.servingSamples++
	}
	w.checkServing(node, authority.Source)
	node.servedVersion = max(node.servedVersion, version)
}

// checkServing checks the version that a node serves by.
func (w *world) checkServing(node *nodeState, source lease.Source) {
	version := node.process.state.Version
	switch {
	case version < w.checker.floor.version:
		w.recordViolation(node, "rules by an older epoch than was acknowledged", w.checker.floor, source)
	case version < w.checker.leaseFloor.version && source == lease.SourceLease:
		w.recordViolation(node, "holds a lease at an older epoch than was acknowledged", w.checker.leaseFloor, source)
	case version < node.servedVersion:
		w.recordViolation(node, "went back to an older epoch", acknowledgement{version: node.servedVersion}, source)
	}
}

func (w *world) recordViolation(node *nodeState, rule string, newer acknowledgement, source lease.Source) {
	if w.checker.violation != nil {
		return
	}
	w.checker.violation = &Violation{
		Mix:            w.config.Name,
		Seed:           w.seed,
		AtMS:           w.now,
		Node:           node.name,
		Rule:           rule,
		Version:        node.process.state.Version,
		Newer:          newer.version,
		AcknowledgedMS: newer.atMS,
		Source:         source,
		Faults:         w.faults,
	}
}

// result returns the outcome of the run.
func (w *world) result() Outcome {
	w.outcome.Violation = w.checker.violation
	if w.checker.samples > 0 {
		w.outcome.ServingRatio = float64(w.checker.servingSamples) / float64(w.checker.samples)
	}
	return w.outcome
}
