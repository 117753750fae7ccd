package route

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"stepwick/internal/wire"
)

// firstCap is the bound of a server's requests in flight at the begin of slow start.
const firstCap = 2

// ServerConfig configures the model servers.
type ServerConfig struct {
	Slots            int     // requests that decode at once
	Queue            int     // requests that wait for a slot
	Prefill          float64 // prompt tokens a second
	Decode           float64 // tokens a second over the batch
	DecodePerRequest float64 // tokens a second for one request at most
	CacheTokens      int     // size of the KV cache

	// Until a server has given ColdAnswers answers after a restart it works at the
	// fraction ColdSpeed of its speed.
	ColdAnswers uint64
	ColdSpeed   float64
}

// ServerReport counts the requests of one server.
type ServerReport struct {
	Server        string
	Peak          int // most requests in flight
	PeakCold      int // most in flight during slow start after a restart
	OverSlowStart int // arrivals beyond the bound of slow start
	MaxExcess     int // most requests by which that bound was exceeded
	Busy          int
	Served        int
	Hits          int
	Misses        int
}

// server is a model server in virtual time: one prefill at a time, decode in a batch.
type server struct {
	name   string
	region string
	zone   string
	config ServerConfig
	run    *run
	report ServerReport

	up          bool
	draining    bool
	incarnation uint64
	answered    uint64
	warmAfter   uint64 // answers
	prefillFree time.Duration
	cache       prefixCache
	inFlight    map[*request]bool
	decoding    map[*request]bool // have a slot, as a part of inFlight
	queue       []*request
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

// boot starts a new incarnation that is cold for a number of answers.
func (s *server) boot(coldAnswers uint64) {
	s.up = true
	s.incarnation++
	s.answered = 0
	s.warmAfter = coldAnswers
	s.decoding = map[*request]bool{}
	s.queue = nil
	s.prefillFree = 0
	s.cache = newPrefixCache(s.config.CacheTokens)
}

func (s *server) cold() bool { return s.answered < s.warmAfter }

// speed returns the fraction of its speed that the server works at.
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
		s.report.Busy++
		s.run.finishAttempt(req, req.attempt.number, busy)
		return
	}
	s.inFlight[req] = true
	s.countInFlight()
	s.queue = append(s.queue, req)
	s.startQueued()
}

// countInFlight compares the requests in flight to the bounds of slow start.
func (s *server) countInFlight() {
	count := len(s.inFlight)
	s.report.Peak = max(s.report.Peak, count)
	if s.answered >= uint64(s.config.Slots) {
		return
	}
	if s.incarnation > 1 {
		s.report.PeakCold = max(s.report.PeakCold, count)
	}
	if allowed := firstCap + int(s.answered); count > allowed {
		s.report.OverSlowStart++
		s.report.MaxExcess = max(s.report.MaxExcess, count-allowed)
	}
}

// startQueued starts queued requests while there are free slots.
func (s *server) startQueued() {
	for len(s.queue) > 0 && len(s.decoding) < s.config.Slots {
		req := s.queue[0]
		s.queue = s.queue[1:]
		s.decoding[req] = true
		s.start(req)
	}
}

// start schedules the first token and the end of a request.
func (s *server) start(req *request) {
	s.prefillFree = max(s.prefillFree, s.run.now) + seconds(s.prefillTokens(req)/(s.config.Prefill*s.speed()))
	decodeRate := min(s.config.DecodePerRequest, s.config.Decode/float64(len(s.decoding))) * s.speed()
	firstToken := s.prefillFree + seconds(1/decodeRate)
	incarnation, number := s.incarnation, req.attempt.number
	s.run.at(firstToken, func() {
		if s.up && s.incarnation == incarnation {
			s.run.receiveFirstToken(req, number)
		}
	})
	s.run.at(firstToken+seconds(float64(req.outputTokens)/decodeRate), func() {
		if s.up && s.incarnation == incarnation {
			s.finish(req, number)
		}
	})
}

// prefillTokens returns the tokens of a request's prompt that are not cached.
func (s *server) prefillTokens(req *request) float64 {
	if s.cache.lookUpOrAdd(req.prefix, req.prefixTokens) {
		s.report.Hits++
		return float64(req.sessionTokens)
	}
	s.report.Misses++
	return float64(req.sessionTokens) + float64(req.prefixTokens)
}

// cancel ends a request and reports whether it was in flight.
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

// crash ends the process and interrupts all of its requests.
func (s *server) crash() {
	s.up = false
	lost := s.inFlight
	s.inFlight = map[*request]bool{}
	s.decoding = map[*request]bool{}
	s.queue = nil
	for _, req := range sortedByID(lost) {
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

// prefixCache is a KV cache of a bounded number of tokens that evicts the least
// recently used prefix first.
type prefixCache struct {
	maxTokens int
	tokens    int
	entries   map[uint64]*list.Element
	recent    *list.List // of cachedPrefix, the most recently used first
}

type cachedPrefix struct {
	prefix uint64
	tokens int
}

func newPrefixCache(maxTokens int) prefixCache {
	return prefixCache{
		maxTokens: maxTokens,
		entries:   map[uint64]*list.Element{},
		recent:    list.New(),
	}
}

// lookUpOrAdd reports whether a prefix is cached, and adds it if not.
func (c *prefixCache) lookUpOrAdd(prefix uint64, tokens int) bool {
	if entry := c.entries[prefix]; entry != nil {
		c.recent.MoveToFront(entry)
		return true
	}
	for c.tokens+tokens > c.maxTokens && c.recent.Len() > 0 {
		c.evict(c.recent.Back())
	}
	c.entries[prefix] = c.recent.PushFront(cachedPrefix{prefix, tokens})
	c.tokens += tokens
	return false
}

func (c *prefixCache) evict(entry *list.Element) {
	c.recent.Remove(entry)
	evicted := entry.Value.(cachedPrefix)
	delete(c.entries, evicted.prefix)
	c.tokens -= evicted.tokens
}
