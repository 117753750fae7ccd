package confirm

// Simulate runs one seed until its end or the first violation.
func Simulate(seed uint64, config Config) Outcome {
	w := newWorld(seed, config)
	for w.now < int64(config.Seconds)*1000 && w.checker.violation == nil {
		w.runTick(w.injectFault)
	}
	return w.finalOutcome()
}

// runTick runs one tick: faults, restarts, scheduled messages, the work of the
// processes and finally the checks.
func (w *world) runTick(injectFaults func()) {
	w.tick++
	w.now += tickMS
	injectFaults()
	for _, node := range w.nodes {
		if node.process == nil && w.now >= node.downUntil {
			w.start(node)
		}
		w.resume(node)
	}
	due := w.scheduledEvents[w.tick]
	delete(w.scheduledEvents, w.tick)
	for _, event := range due {
		event()
	}
	for _, node := range w.nodes {
		if w.running(node) {
			w.runProcess(node.process)
		}
	}
	w.checker.updateRequiredVersions(w.now)
	for _, node := range w.nodes {
		if w.running(node) {
			w.checkNode(node)
		}
	}
}

// resume runs the steps deferred while a process was frozen. The node is checked
// first, because a process may serve a request before it handles them.
func (w *world) resume(node *nodeState) {
	if !w.running(node) || len(node.process.undelivered) == 0 {
		return
	}
	w.checkNode(node)
	steps := node.process.undelivered
	node.process.undelivered = nil
	for _, step := range steps {
		step()
	}
}
