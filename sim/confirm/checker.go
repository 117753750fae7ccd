package confirm

import "stepwick/internal/decision/lease"

// sampleTicks is the interval, in ticks, at which all running fronts are sampled.
const sampleTicks = 10

// acknowledgement is the acknowledgement of an order.
type acknowledgement struct {
	version uint64
	atMS    int64
	// byFence is set if no majority of the roster had confirmed the version: all other
	// fronts were fenced.
	byFence bool
}

// servingLimitMS returns how long a front may still serve with an older version.
func (a acknowledgement) servingLimitMS() int64 {
	if a.byFence {
		return outdatedLeaseLimitMS
	}
	return outdatedServingLimitMS
}

// checker checks that no front serves with a version older than an acknowledged one.
type checker struct {
	// recentAcknowledgements holds those not older than outdatedServingLimitMS.
	recentAcknowledgements []acknowledgement
	// requiredVersion is the highest version acknowledged more than its
	// servingLimitMS ago: no front may serve with an older one. requiredByLease
	// is the highest one acknowledged more than outdatedLeaseLimitMS ago: no front may
	// serve with an older one by a lease.
	requiredVersion acknowledgement
	requiredByLease acknowledgement

	samples        int
	servingSamples int
	violation      *Violation // the first one found
}

func (c *checker) recordAcknowledgement(acknowledged acknowledgement) {
	c.recentAcknowledgements = append(c.recentAcknowledgements, acknowledged)
}

// updateRequiredVersions raises the required versions as acknowledgements age.
func (c *checker) updateRequiredVersions(nowMS int64) {
	recent := c.recentAcknowledgements[:0]
	for _, acknowledged := range c.recentAcknowledgements {
		if nowMS > acknowledged.atMS+outdatedLeaseLimitMS && acknowledged.version > c.requiredByLease.version {
			c.requiredByLease = acknowledged
		}
		if nowMS <= acknowledged.atMS+acknowledged.servingLimitMS() {
			recent = append(recent, acknowledged)
		} else if acknowledged.version > c.requiredVersion.version {
			c.requiredVersion = acknowledged
		}
	}
	c.recentAcknowledgements = recent
}

// checkNode checks the version with which a node would serve a request now.
func (w *world) checkNode(node *nodeState) {
	proc := node.process
	version := proc.state.Version
	sample := w.tick%sampleTicks == 0
	if version == node.servedVersion && version >= w.checker.requiredByLease.version && !sample {
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

// checkServing checks the version with which a node serves.
func (w *world) checkServing(node *nodeState, source lease.Source) {
	version := node.process.state.Version
	switch {
	case version < w.checker.requiredVersion.version:
		w.recordViolation(node, "serves with an older version than was acknowledged", w.checker.requiredVersion, source)
	case version < w.checker.requiredByLease.version && source == lease.SourceLease:
		w.recordViolation(node, "holds a lease at an older version than was acknowledged", w.checker.requiredByLease, source)
	case version < node.servedVersion:
		w.recordViolation(node, "reverted to an older version", acknowledgement{version: node.servedVersion}, source)
	}
}

func (w *world) recordViolation(node *nodeState, rule string, required acknowledgement, source lease.Source) {
	if w.checker.violation != nil {
		return
	}
	w.checker.violation = &Violation{
		Mix:             w.config.Name,
		Seed:            w.seed,
		AtMS:            w.now,
		Node:            node.name,
		Rule:            rule,
		Version:         node.process.state.Version,
		RequiredVersion: required.version,
		AcknowledgedMS:  required.atMS,
		Source:          source,
		Faults:          w.faults,
	}
}

// finalOutcome returns the outcome after the end of the run.
func (w *world) finalOutcome() Outcome {
	w.outcome.Violation = w.checker.violation
	if w.checker.samples > 0 {
		w.outcome.ServingRatio = float64(w.checker.servingSamples) / float64(w.checker.samples)
	}
	return w.outcome
}
