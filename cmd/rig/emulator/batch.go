package emulator

import "stepwick/cmd/rig/history"

// batch holds the requests of a model server: the running ones, at most one per slot,
// and the queued ones.
type batch struct {
	queue   []*job
	running []*job
}

func (b *batch) inFlight() int { return len(b.running) + len(b.queue) }

// job is one request in a batch.
type job struct {
	run           history.Run
	request       string // request ID
	prefix        string
	prefixTokens  int
	prefillTokens float64 // tokens that remain to be prefilled
	remaining     int     // events that remain to be sent
	sent          int     // events sent
	eventCredit   float64 // decoded but unsent events, including a fraction of the next
	out           chan frame
	canceled      <-chan struct{} // closed when the caller cancels the request
	fault         Fault
	faultAt       int // index of the event at which the fault is injected
}

// frame is one message from a job to its HTTP handler.
type frame struct {
	event    history.Event
	final    bool
	count    int   // total number of events; set in the final frame
	endFault Fault // if set, ends the stream without a final event
}

// trySend sends a frame to the handler without blocking; false if the channel is full.
func (j *job) trySend(f frame) bool {
	select {
	case j.out <- f:
		return true
	default:
		return false
	}
}

func (j *job) isCanceled() bool {
	select {
	case <-j.canceled:
		return true
	default:
		return false
	}
}

// prefillBudget is the number of prompt tokens that a batch may still prefill in a step.
type prefillBudget float64

// spend prefills a job as far as the budget allows and deducts the tokens.
func (b *prefillBudget) spend(j *job) {
	spent := min(float64(*b), j.prefillTokens)
	j.prefillTokens -= spent
	*b -= prefillBudget(spent)
}

// step advances the batch by one tick: queued jobs fill free slots, then each running
// job prefills within the shared budget or decodes.
func (m *ModelServer) step(s *modelState) {
	if s.unresponsive || !s.isUp() {
		return
	}
	m.fillBatch(s)
	budget := prefillBudget(m.spec.PrefillRate * m.spec.Tick.Seconds())
	if m.warmingUp(s) {
		budget *= prefillBudget(m.spec.WarmUpFactor)
	}
	remaining := s.batch.running[:0]
	for _, running := range s.batch.running {
		if m.advance(s, running, &budget) {
			remaining = append(remaining, running)
		}
	}
	s.batch.running = remaining
}

func (m *ModelServer) fillBatch(s *modelState) {
	for len(s.batch.running) < m.spec.Slots && len(s.batch.queue) > 0 {
		next := s.batch.queue[0]
		s.batch.queue = s.batch.queue[1:]
		m.admit(s, next)
		s.batch.running = append(s.batch.running, next)
	}
}

// admit starts a job. A cached prefix needs no prefill.
func (m *ModelServer) admit(s *modelState, j *job) {
	s.prompts++
	if _, ok := s.cache[j.prefix]; ok && j.prefix != "" {
		s.cacheHits++
		j.run.CacheHit = true
		s.cache[j.prefix] = cacheEntry{j.prefixTokens, m.recorder.Now()}
		j.prefillTokens -= float64(j.prefixTokens)
	}
	j.prefillTokens = max(j.prefillTokens, 1)
	j.run.Ran = true
	m.recorder.PutRun(j.run)
}

// advance prefills or decodes one job for a tick; false when the job has ended.
func (m *ModelServer) advance(s *modelState, j *job, budget *prefillBudget) bool {
	if j.isCanceled() {
		m.finish(s, j, frame{})
		return false
	}
	if j.prefillTokens > 0 {
		budget.spend(j)
		if j.prefillTokens > 0 {
			return true
		}
		m.cachePrefix(s, j)
	}
	j.eventCredit += m.spec.DecodeRate * m.spec.Tick.Seconds()
	for j.eventCredit >= 1 {
		j.eventCredit--
		if !m.emit(s, j) {
			return false
		}
	}
	return true
}

func (m *ModelServer) cachePrefix(s *modelState, j *job) {
	if j.prefix == "" {
		return
	}
	s.cache[j.prefix] = cacheEntry{j.prefixTokens, m.recorder.Now()}
	s.cache.evict(m.spec.CacheTokens)
}

// emit sends a job's next event and injects the job's fault when it is due; false when
// the job has ended.
func (m *ModelServer) emit(s *modelState, j *job) bool {
	atFault := j.sent == j.faultAt
	switch {
	case atFault && (j.fault == EarlyEnd || j.fault == AbortedStream):
		m.finish(s, j, frame{endFault: j.fault})
		return false
	case atFault && j.fault == StalledStream:
		return true
	case atFault && j.fault == DroppedEvent && j.remaining > 1:
		j.sent++
		j.remaining--
	}
	event := j.nextEvent()
	if atFault && j.fault == CrossedEvent {
		event = s.batch.crossedEvent(j, event)
	}
	if !j.trySend(frame{event: event}) {
		m.finish(s, j, frame{endFault: AbortedStream})
		return false
	}
	if atFault && j.fault == DuplicatedEvent {
		j.trySend(frame{event: event})
	}
	j.sent++
	j.remaining--
	if j.remaining > 0 {
		return true
	}
	m.finish(s, j, frame{final: true, count: j.sent, event: history.Event{ID: event.ID}})
	return false
}

func (j *job) nextEvent() history.Event {
	id := j.request
	if j.fault == WrongID {
		id = nonexistentID(id)
	}
	return history.Event{
		ID:    id,
		Seq:   j.sent,
		Token: j.run.Token,
		Run:   j.run.ID,
		Index: j.sent,
	}
}

// crossedEvent returns an event of another running job, at the position of j's next
// event, or the original event if no other job is running.
func (b *batch) crossedEvent(j *job, original history.Event) history.Event {
	for _, other := range b.running {
		if other != j {
			return history.Event{
				ID:    other.request,
				Seq:   j.sent,
				Token: other.run.Token,
				Run:   other.run.ID,
				Index: other.sent,
			}
		}
	}
	return original
}

// finish ends a job, sends its last frame if that is final or a fault, and records the
// run.
func (m *ModelServer) finish(s *modelState, j *job, last frame) {
	if last.final || last.endFault != NoFault {
		j.trySend(last)
	}
	close(j.out)
	if last.final {
		s.answered++
	}
	j.run.Sent = j.sent
	j.run.Final = last.final
	j.run.Done = m.recorder.Now()
	j.run.Fault = string(j.fault)
	m.recorder.PutRun(j.run)
}
