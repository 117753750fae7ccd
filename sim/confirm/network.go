package confirm

// connected reports whether messages between two nodes arrive.
func (w *world) connected(a, b *nodeState) bool { return a == b || !w.partitioned[a.id][b.id] }

func (w *world) schedule(ticks int64, event func()) {
	w.events[w.tick+ticks] = append(w.events[w.tick+ticks], event)
}

// latency returns how many ticks a message takes: one in twenty is slow.
func (w *world) latency() int64 {
	if w.config.FixedLatency {
		return 1
	}
	if w.random.IntN(20) == 0 {
		return int64(1 + w.random.IntN(16))
	}
	return int64(1 + w.random.IntN(2))
}

// deliver runs a step at a process. A frozen process buffers it until it resumes.
func (w *world) deliver(proc *process, step func()) {
	if proc.node.process != proc {
		return
	}
	if proc.frozenUntil > w.now {
		proc.mailbox = append(proc.mailbox, step)
		return
	}
	step()
}

// call is a request from a process to a node and its answer.
type call struct {
	world   *world
	caller  *process
	to      *nodeState
	serve   func(callee *process) (answer func())
	refused func() // may be nil
}

// call sends a request to another node and its answer back. Refused runs when the
// node's process is down; a partition drops messages in both directions.
func (w *world) call(caller *process, to *nodeState, serve func(callee *process) (answer func()), refused func()) {
	c := &call{world: w, caller: caller, to: to, serve: serve, refused: refused}
	w.schedule(w.latency(), c.arrive)
}

func (c *call) arrive() {
	w := c.world
	switch {
	case !w.connected(c.caller.node, c.to):
		if w.config.Mutation == TimeoutIsRefusal && c.refused != nil {
			w.deliver(c.caller, c.refused)
		}
	case c.to.process == nil:
		if c.refused != nil {
			c.reply(c.refused)
		}
	default:
		callee := c.to.process
		w.deliver(callee, func() { c.handle(callee) })
	}
}

func (c *call) handle(callee *process) {
	if answer := c.serve(callee); answer != nil {
		c.reply(answer)
	}
}

// reply runs a step at the caller, unless a partition drops it.
func (c *call) reply(step func()) {
	w := c.world
	w.schedule(w.latency(), func() {
		if w.connected(c.caller.node, c.to) {
			w.deliver(c.caller, step)
		}
	})
}
