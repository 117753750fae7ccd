package balance

import "container/list"

// job is one request at a server.
type job struct {
	number         uint64
	chain          []promptPart
	unsharedTokens float64
	tokensToRead   float64 // prompt tokens still to be read
	contextTokens  float64 // prompt tokens already in the cache
	outputTokens   float64 // tokens still to be generated
	bufferedTokens int     // tokens of the event that is not yet sent
	lastEventAt    float64
	maxEventGap    float64 // longest time between two events, in ms
	onFirstToken   func()
	onEnd          func()
	prefixLookedUp bool // the cached prefix was looked up
}

// promptPart is a part of a prompt that requests share.
type promptPart struct {
	id     uint64
	tokens float64
}

// engine emulates a model server; see Engine.
type engine struct {
	sim          *run
	config       Engine
	name         string
	prefilling   []*job // in order of arrival
	decoding     []*job
	queued       []*job // waiting for a slot
	busy         bool
	cached       map[uint64]*list.Element
	lru          *list.List // of promptPart, most recently used first
	cachedTokens float64
}

func newEngine(sim *run, config Engine, name string) *engine {
	return &engine{sim: sim, config: config, name: name, cached: map[uint64]*list.Element{}, lru: list.New()}
}

// enqueue accepts a request, which is queued after the fixed delay Engine.QueueDelay.
func (e *engine) enqueue(j *job) {
	e.sim.schedule(e.config.QueueDelay, func() {
		e.queued = append(e.queued, j)
		e.startStep()
	})
}

// startStep assigns free slots to queued requests, and starts a step unless one is
// running or there is no request.
func (e *engine) startStep() {
	for len(e.queued) > 0 && len(e.prefilling)+len(e.decoding) < e.config.Slots {
		e.prefilling = append(e.prefilling, e.queued[0])
		e.queued = e.queued[1:]
	}
	if e.busy || len(e.prefilling)+len(e.decoding) == 0 {
		return
	}
	e.busy = true
	duration := e.config.Step + e.config.StepPerSlot*float64(len(e.decoding)) + e.prefillChunk()
	e.sim.schedule(duration, e.finishStep)
}

// prefillChunk reads up to a chunk of tokens of the prompts and returns the duration
// in milliseconds.
func (e *engine) prefillChunk() (duration float64) {
	remaining := e.config.Chunk
	for _, j := range e.prefilling {
		if remaining <= 0 {
			break
		}
		if !j.prefixLookedUp {
			e.lookUpPrefix(j)
		}
		tokens := min(remaining, j.tokensToRead)
		duration += tokens/e.config.ReadPerMS + tokens*(j.contextTokens+tokens/2)*e.config.PairsPerM/1e6
		j.tokensToRead -= tokens
		j.contextTokens += tokens
		remaining -= tokens
	}
	return duration
}

// finishStep ends a step: every response gets a token, and requests whose prompt is
// completely read start to generate.
func (e *engine) finishStep() {
	e.busy = false
	stillDecoding := e.decoding[:0]
	for _, j := range e.decoding {
		j.outputTokens--
		j.addToken(e.sim.now, e.config.Stride)
		if j.outputTokens > 0 {
			stillDecoding = append(stillDecoding, j)
			continue
		}
		j.onEnd()
	}
	e.decoding = stillDecoding
	stillPrefilling := e.prefilling[:0]
	for _, j := range e.prefilling {
		if !j.prefixLookedUp || j.tokensToRead > 0 {
			stillPrefilling = append(stillPrefilling, j)
			continue
		}
		j.lastEventAt = e.sim.now
		j.onFirstToken()
		e.decoding = append(e.decoding, j)
	}
	e.prefilling = stillPrefilling
	e.startStep()
}

// addToken adds a token to the current event, which is sent when it has stride tokens
// or the response ends.
func (j *job) addToken(now float64, stride int) {
	j.bufferedTokens++
	if j.bufferedTokens < stride && j.outputTokens > 0 {
		return
	}
	j.maxEventGap = max(j.maxEventGap, now-j.lastEventAt)
	j.bufferedTokens, j.lastEventAt = 0, now
}

// lookUpPrefix counts the cached prefix of a prompt as read, and caches all its parts
// and the response.
func (e *engine) lookUpPrefix(j *job) {
	j.prefixLookedUp, j.tokensToRead = true, j.unsharedTokens
	prefixCached := true
	for _, p := range j.chain {
		prefixCached = prefixCached && e.isCached(p.id)
		if prefixCached {
			j.contextTokens += p.tokens
			e.sim.recordCacheHit(p)
		} else {
			j.tokensToRead += p.tokens
			e.sim.recordPrefill(p)
		}
		e.cachePart(p)
	}
	e.cachePart(promptPart{id: j.number, tokens: j.unsharedTokens + j.outputTokens})
}

func (e *engine) isCached(id uint64) bool {
	element := e.cached[id]
	return element != nil
}

// cachePart makes a part the most recently used one, and evicts the least recently
// used parts while the cache exceeds its capacity.
func (e *engine) cachePart(p promptPart) {
	if element := e.cached[p.id]; element != nil {
		e.lru.MoveToFront(element)
		return
	}
	e.cached[p.id] = e.lru.PushFront(p)
	e.cachedTokens += p.tokens
	for e.cachedTokens > e.config.Memory && e.lru.Len() > 1 {
		oldest := e.lru.Back()
		evicted := e.lru.Remove(oldest).(promptPart)
		delete(e.cached, evicted.id)
		e.cachedTokens -= evicted.tokens
	}
}
