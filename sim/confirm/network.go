package confirm

// connected reports whether messages between two nodes are delivered.
func (w *world) connected(a, b *nodeState) bool { return a == b || !w.partitioned[a.id][b.id] }

// setRefused sets whether partitions refuse connections or are silent.
func (w *world) setRefused(refused bool) {
	for _, links := range w.refused {
		for to := range links {
			links[to] = refused
		}
	}
}

// schedule schedules an event after a number of ticks.
func (w *world) schedule(ticks int64, event func()) {
	w.scheduledEvents[w.tick+ticks] = append(w.scheduledEvents[w.tick+ticks], event)
}

// latency draws the number of ticks that a message takes: 1 to 16 for one message in
// twenty, otherwise 1 or 2.
func (w *world) latency() int64 {
	if w.config.FixedLatency {
		return 1
	}
	if w.random.IntN(20) == 0 {
		return int64(1 + w.random.IntN(16))
	}
	return int64(1 + w.random.IntN(2))
}

// deliver runs a step at a process, unless the process has ended. Steps at a frozen
// process are deferred until it resumes.
func (w *world) deliver(proc *process, step func()) {
	if proc.node.process != proc {
		return
	}
	if proc.frozenUntil > w.now {
		proc.undelivered = append(proc.undelivered, step)
		return
	}
	step()
}

// call is a request from a process to a node and its answer.
type call struct {
	world     *world
	caller    *process
	to        *nodeState
	serve     func(callee *process) (answer func())
	onRefused func() // may be nil
}

// call sends a request to another node, which serves it and sends an answer. If no
// process runs on the node, or a partition refuses the connection, onRefused runs at the
// caller instead. A silent partition drops messages in both directions.
func (w *world) call(caller *process, to *nodeState, serve func(callee *process) (answer func()), onRefused func()) {
	c := &call{world: w, caller: caller, to: to, serve: serve, onRefused: onRefused}
	w.schedule(w.latency(), c.handleArrival)
}

func (c *call) handleArrival() {
	w := c.world
	switch {
	case !w.connected(c.caller.node, c.to):
		if w.refused[c.caller.node.id][c.to.id] && c.onRefused != nil {
			w.deliver(c.caller, c.onRefused)
		}
	case c.to.process == nil:
		if c.onRefused != nil {
			c.reply(c.onRefused)
		}
	default:
		callee := c.to.process
		w.deliver(callee, func() { c.serveRequest(callee) })
	}
}

func (c *call) serveRequest(callee *process) {
	if answer := c.serve(callee); answer != nil {
		c.reply(answer)
	}
}

// reply runs a step at the caller after the latency, unless a partition drops it.
func (c *call) reply(step func()) {
	w := c.world
	w.schedule(w.latency(), func() {
		if w.connected(c.caller.node, c.to) {
			w.deliver(c.caller, step)
		}
	})
}
