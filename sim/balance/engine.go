package balance

import "container/list"

// job is one request at one server.
type job struct {
	number      uint64
	chain       []promptPart
	own         float64
	left        float64 // tokens still to be read
	context     float64 // tokens of the prompt that are in the cache
	out         float64 // tokens still to be written
	unsent      int     // tokens of an event that is not full yet
	lastEventAt float64
	pause       float64 // the longest between two events
	began       func()
	ended       func()
	found       bool // the cached prefix was looked up
}

// promptPart is one shared part of a prompt.
type promptPart struct {
	id     uint64
	tokens float64
}

// engine is one server.
type engine struct {
	sim     *run
	config  Engine
	name    string
	reading []*job // in the order of their coming
	writing []*job
	waiting []*job // beyond the slots
	busy    bool
	cached  map[uint64]*list.Element
	recent  *list.List // the most recently used first
	used    float64
}

func newEngine(sim *run, config Engine, name string) *engine {
	return &engine{sim: sim, config: config, name: name, cached: map[uint64]*list.Element{}, recent: list.New()}
}

// arrive takes a request; it is looked at after a while.
func (e *engine) arrive(j *job) {
	e.sim.after(e.config.First, func() {
		e.waiting = append(e.waiting, j)
		e.work()
	})
}

// work begins a step unless one is under way or there is nothing to do.
func (e *engine) work() {
	for len(e.waiting) > 0 && len(e.reading)+len(e.writing) < e.config.Slots {
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if e.busy || len(e.reading)+len(e.writing) == 0 {
		return
	}
	e.busy = true
	took := e.config.Step + e.config.StepPerSlot*float64(len(e.writing)) + e.read()
	e.sim.after(took, e.stepped)
}

// read takes up to a chunk of the waiting prompts and returns how long that
// takes.
func (e *engine) read() (took float64) {
	room := e.config.Chunk
	for _, j := range e.reading {
		if room <= 0 {
			break
		}
		if !j.found {
			e.lookUp(j)
		}
		tokens := min(room, j.left)
		took += tokens/e.config.ReadPerMS + tokens*(j.context+tokens/2)*e.config.PairsPerM/1e6
		j.left -= tokens
		j.context += tokens
		room -= tokens
	}
	return took
}

// stepped ends a step: prompts that are read begin to be answered, and every
// answer gets a token.
func (e *engine) stepped() {
	e.busy = false
	kept := e.writing[:0]
	for _, j := range e.writing {
		j.out--
		j.write(e.sim.now, e.config.Stride)
		if j.out > 0 {
			kept = append(kept, j)
			continue
		}
		j.ended()
	}
	e.writing = kept
	still := e.reading[:0]
	for _, j := range e.reading {
		if !j.found || j.left > 0 {
			still = append(still, j)
			continue
		}
		j.lastEventAt = e.sim.now
		j.began()
		e.writing = append(e.writing, j)
	}
	e.reading = still
	e.work()
}

// write adds a token to the event in hand, which leaves when it is full or the
// last.
func (j *job) write(now float64, stride int) {
	j.unsent++
	if j.unsent < stride && j.out > 0 {
		return
	}
	j.pause = max(j.pause, now-j.lastEventAt)
	j.unsent, j.lastEventAt = 0, now
}

// lookUp finds the cached prefix of a prompt, and caches the rest.
func (e *engine) lookUp(j *job) {
	j.found, j.left = true, j.own
	held := true
	for _, p := range j.chain {
		held = held && e.holds(p.id)
		if held {
			j.context += p.tokens
			e.sim.used(p)
		} else {
			j.left += p.tokens
			e.sim.readAnew(p)
		}
		e.keep(p)
	}
	e.keep(promptPart{id: j.number, tokens: j.own + j.out})
}

func (e *engine) holds(id uint64) bool {
	at := e.cached[id]
	return at != nil
}

// keep makes a part the most recently used one, and evicts the least recently used
// ones where the cache is full.
func (e *engine) keep(p promptPart) {
	if at := e.cached[p.id]; at != nil {
		e.recent.MoveToFront(at)
		return
	}
	e.cached[p.id] = e.recent.PushFront(p)
	e.used += p.tokens
	for e.used > e.config.Memory && e.recent.Len() > 1 {
		last := e.recent.Back()
		evicted := e.recent.Remove(last).(promptPart)
		delete(e.cached, evicted.id)
		e.used -= evicted.tokens
	}
}
