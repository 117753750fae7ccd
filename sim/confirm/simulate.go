package confirm

// Simulate runs one seed to its end or to the first violation.
func Simulate(seed uint64, config Config) Outcome {
	w := newWorld(seed, config)
	for w.now < int64(config.Seconds)*1000 && w.checker.violation == nil {
		w.step(w.injectFault)
	}
	return w.result()
}

// step runs one tick: faults, restarts, messages, then what processes do.
func (w *world) step(injectFaults func()) {
	w.tick++
	w.now += tickMS
	injectFaults()
	for _, node := range w.nodes {
		if node.process == nil && w.now >= node.downUntil {
			w.start(node)
		}
		w.resume(node)
	}
	due := w.events[w.tick]
	delete(w.events, w.tick)
	for _, event := range due {
		event()
	}
	for _, node := range w.nodes {
		if w.running(node) {
			w.act(node.process)
		}
	}
	w.checker.raiseFloors(w.now)
	for _, node := range w.nodes {
		if w.running(node) {
			w.check(node)
		}
	}
}

// resume delivers what arrived while a process was frozen. It is checked before, as
// it may serve a request first.
func (w *world) resume(node *nodeState) {
	if !w.running(node) || len(node.process.mailbox) == 0 {
		return
	}
	w.check(node)
	steps := node.process.mailbox
	node.process.mailbox = nil
	for _, step := range steps {
		step()
	}
}
