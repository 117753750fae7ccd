package route

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"stepwick/internal/wire"
)

// initialSlowStartCap is the maximum number of requests in flight at a server that has not
// answered any request since its start.
const initialSlowStartCap = 2

// ServerConfig configures the model servers.
type ServerConfig struct {
	Slots            int     // maximum number of requests being processed
	Queue            int     // maximum number of requests that wait for a slot
	Prefill          float64 // prompt tokens per second
	Decode           float64 // output tokens per second, all requests together
	DecodePerRequest float64 // maximum output tokens per second of one request
	CacheTokens      int     // capacity of the KV cache

	// After a restart a server is cold until it has answered ColdAnswers requests. A
	// cold server runs at the fraction ColdSpeed of its speed.
	ColdAnswers uint64
	ColdSpeed   float64
}

// ServerReport counts the requests of one server.
type ServerReport struct {
	Server                string
	PeakInFlight          int // maximum number of requests in flight
	PeakAfterRestart      int // maximum number of requests in flight during slow start after a restart
	ArrivalsOverSlowStart int // requests that arrived over the slow start cap
	MaxOverSlowStart      int // maximum number of requests in flight over that cap
	RejectedBusy          int // rejected because all slots and the queue were full
	Served                int
	Hits                  int // prefills with a cached prefix
	Misses                int // prefills without a cached prefix
}

// server simulates a model server that prefills one prompt at a time and decodes all
// requests with a slot as a batch.
type server struct {
	name   string
	region string
	zone   string
	config ServerConfig
	run    *run
	report ServerReport

	up               bool
	draining         bool
	incarnation      uint64
	answered         uint64        // requests answered by this incarnation
	warmAfterAnswers uint64        // the server is cold until answered reaches it
	prefillFreeAt    time.Duration // end of the last scheduled prefill
	cache            prefixCache
	inFlight         map[*request]bool
	decoding         map[*request]bool // the requests of inFlight that have a slot
	queue            []*request        // the requests of inFlight that wait for a slot
}

func newServer(r *run, name, region, zone string) *server {
	s := &server{
		name:     name,
		region:   region,
		zone:     zone,
		config:   r.Server,
		run:      r,
		inFlight: map[*request]bool{},
		report:   ServerReport{Server: name},
	}
	s.boot(0)
	return s
}

// boot starts a new incarnation that is cold for its first coldAnswers answers.
func (s *server) boot(coldAnswers uint64) {
	s.up = true
	s.incarnation++
	s.answered = 0
	s.warmAfterAnswers = coldAnswers
	s.decoding = map[*request]bool{}
	s.queue = nil
	s.prefillFreeAt = 0
	s.cache = newPrefixCache(s.config.CacheTokens)
}

func (s *server) cold() bool { return s.answered < s.warmAfterAnswers }

// speed returns the current fraction of the server's full speed.
func (s *server) speed() float64 {
	if s.cold() {
		return s.config.ColdSpeed
	}
	return 1
}

func (s *server) status() *wire.ServerStatus {
	status := &wire.ServerStatus{
		Name:             s.name,
		Address:          s.name,
		Kind:             "model",
		Services:         []string{service},
		Region:           s.region,
		Zone:             s.zone,
		State:            wire.ServerState_SERVER_STATE_READY,
		Incarnation:      s.incarnation,
		Slots:            uint32(s.config.Slots),
		Running:          uint32(len(s.decoding)),
		Queued:           uint32(len(s.queue)),
		TokensPerSecond:  s.config.Decode,
		PrefillPerSecond: s.config.Prefill,
		KvUsed:           float64(s.cache.tokens) / float64(s.config.CacheTokens),
		Reachable:        true,
		Answered:         s.answered,
	}
	switch {
	case !s.up:
		status.State = wire.ServerState_SERVER_STATE_GONE
		status.Reachable = false
	case s.draining:
		status.State = wire.ServerState_SERVER_STATE_DRAINING
	case s.cold():
		status.State = wire.ServerState_SERVER_STATE_COLD
	}
	return status
}

func (s *server) receive(req *request) {
	if !s.up {
		s.run.finishAttempt(req, req.attempt.number, refused)
		return
	}
	if len(s.decoding) >= s.config.Slots && len(s.queue) >= s.config.Queue {
		s.report.RejectedBusy++
		s.run.finishAttempt(req, req.attempt.number, busy)
		return
	}
	s.inFlight[req] = true
	s.recordInFlight()
	s.queue = append(s.queue, req)
	s.startQueued()
}

// recordInFlight records the number of requests in flight and compares it with the slow
// start cap.
func (s *server) recordInFlight() {
	count := len(s.inFlight)
	s.report.PeakInFlight = max(s.report.PeakInFlight, count)
	if s.answered >= uint64(s.config.Slots) {
		return
	}
	if s.incarnation > 1 {
		s.report.PeakAfterRestart = max(s.report.PeakAfterRestart, count)
	}
	if allowed := initialSlowStartCap + int(s.answered); count > allowed {
		s.report.ArrivalsOverSlowStart++
		s.report.MaxOverSlowStart = max(s.report.MaxOverSlowStart, count-allowed)
	}
}

// startQueued assigns free slots to queued requests.
func (s *server) startQueued() {
	for len(s.queue) > 0 && len(s.decoding) < s.config.Slots {
		req := s.queue[0]
		s.queue = s.queue[1:]
		s.decoding[req] = true
		s.process(req)
	}
}

// process schedules the first token and the end of a request. The decode rate is fixed at
// its start, from the number of requests with a slot at that time.
func (s *server) process(req *request) {
	s.prefillFreeAt = max(s.prefillFreeAt, s.run.now) + seconds(s.prefillTokens(req)/(s.config.Prefill*s.speed()))
	decodeRate := min(s.config.DecodePerRequest, s.config.Decode/float64(len(s.decoding))) * s.speed()
	firstToken := s.prefillFreeAt + seconds(1/decodeRate)
	incarnation, number := s.incarnation, req.attempt.number
	s.run.schedule(firstToken, func() {
		if s.up && s.incarnation == incarnation {
			s.run.receiveFirstToken(req, number)
		}
	})
	s.run.schedule(firstToken+seconds(float64(req.outputTokens)/decodeRate), func() {
		if s.up && s.incarnation == incarnation {
			s.finish(req, number)
		}
	})
}

// prefillTokens returns the number of prompt tokens that are not cached, and caches the
// prefix.
func (s *server) prefillTokens(req *request) float64 {
	if s.cache.lookUpOrAdd(req.prefix, req.prefixTokens) {
		s.report.Hits++
		return float64(req.sessionTokens)
	}
	s.report.Misses++
	return float64(req.sessionTokens) + float64(req.prefixTokens)
}

// cancel removes a request and reports whether it was in flight.
func (s *server) cancel(req *request) bool {
	if !s.inFlight[req] {
		return false
	}
	delete(s.inFlight, req)
	delete(s.decoding, req)
	s.queue = slices.DeleteFunc(s.queue, func(queued *request) bool { return queued == req })
	s.startQueued()
	return true
}

func (s *server) finish(req *request, number int) {
	if !s.decoding[req] {
		return
	}
	delete(s.decoding, req)
	delete(s.inFlight, req)
	s.answered++
	s.report.Served++
	s.run.finishAttempt(req, number, answered)
	s.startQueued()
}

// crash stops the server and interrupts all of its requests.
func (s *server) crash() {
	s.up = false
	interruptedRequests := s.inFlight
	s.inFlight = map[*request]bool{}
	s.decoding = map[*request]bool{}
	s.queue = nil
	for _, req := range sortedByID(interruptedRequests) {
		s.run.finishAttempt(req, req.attempt.number, interrupted)
	}
}

func sortedByID(requests map[*request]bool) []*request {
	var sorted []*request
	for req := range requests {
		sorted = append(sorted, req)
	}
	slices.SortFunc(sorted, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return sorted
}

// prefixCache is an LRU cache of prompt prefixes with a capacity in tokens.
type prefixCache struct {
	maxTokens    int
	tokens       int
	entries      map[uint64]*list.Element
	recentlyUsed *list.List // of cachedPrefix, most recently used first
}

type cachedPrefix struct {
	prefix uint64
	tokens int
}

func newPrefixCache(maxTokens int) prefixCache {
	return prefixCache{
		maxTokens:    maxTokens,
		entries:      map[uint64]*list.Element{},
		recentlyUsed: list.New(),
	}
}

// lookUpOrAdd reports whether a prefix is cached, and adds it if it is not.
func (c *prefixCache) lookUpOrAdd(prefix uint64, tokens int) bool {
	if entry := c.entries[prefix]; entry != nil {
		c.recentlyUsed.MoveToFront(entry)
		return true
	}
	for c.tokens+tokens > c.maxTokens && c.recentlyUsed.Len() > 0 {
		c.evict(c.recentlyUsed.Back())
	}
	c.entries[prefix] = c.recentlyUsed.PushFront(cachedPrefix{prefix, tokens})
	c.tokens += tokens
	return false
}

func (c *prefixCache) evict(entry *list.Element) {
	c.recentlyUsed.Remove(entry)
	evicted := entry.Value.(cachedPrefix)
	delete(c.entries, evicted.prefix)
	c.tokens -= evicted.tokens
}
