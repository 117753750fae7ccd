package route

import (
	"container/list"
	"slices"
	"time"

	"stepwick/internal/wire"
)

// server is a model server in virtual time: one prefill at a time, decode in a
// batch, prefixes in a KV cache of bounded tokens, the least recently
// used evicted first.
type server struct {
	name, region, zone string
	cfg                ServerConfig
	sim                *sim

	up, listed  bool
	incarnation uint64
	answered    uint64
	warmAfter   uint64
	draining    bool
	running     map[*call]bool
	queue       []*call
	prefillFree time.Duration
	cache       map[uint64]*list.Element
	recent      *list.List
	cached      int

	inFlight map[*call]bool
	report   ServerReport
}

type cachedPrefix struct {
	prefix uint64
	tokens int
}

// ServerConfig is a model server's size: Slots requests decode at once and
// Queue more wait; Prefill is prompt tokens a second, Decode tokens a second
// over the batch and PerCall for one request; KV is the cache in tokens. Until a
// server has given ColdCalls answers it works at ColdPace of its speed.
type ServerConfig struct {
	Slots, Queue    int
	Prefill, Decode float64
	PerCall         float64
	KV              int
	ColdCalls       uint64
	ColdPace        float64
}

// ServerReport counts the requests of one server.
type ServerReport struct {
	Server       string
	Peak         int // most requests in flight
	PeakCold     int // most in flight during slow start after a restart
	Over         int // arrivals beyond the bound of slow start
	Excess       int // most requests by which that bound was exceeded
	Busy, Served int
	Hits, Misses int
}

func newServer(s *sim, name, region, zone string, cfg ServerConfig) *server {
	v := &server{name: name, region: region, zone: zone, cfg: cfg, sim: s, inFlight: map[*call]bool{}}
	v.report.Server = name
	v.boot(0)
	return v
}

func (v *server) boot(cold uint64) {
	v.up, v.listed, v.answered, v.warmAfter = true, true, 0, cold
	v.incarnation++
	v.running, v.queue, v.prefillFree = map[*call]bool{}, nil, 0
	v.cache, v.recent, v.cached = map[uint64]*list.Element{}, list.New(), 0
}

func (v *server) status() *wire.ServerStatus {
	status := &wire.ServerStatus{Name: v.name, Address: v.name, Kind: "model", Services: []string{"chat"}, Region: v.region, Zone: v.zone,
		State: wire.ServerState_SERVER_STATE_READY, Incarnation: v.incarnation, Slots: uint32(v.cfg.Slots), Running: uint32(len(v.running)),
		Queued: uint32(len(v.queue)), TokensPerSecond: v.cfg.Decode, PrefillPerSecond: v.cfg.Prefill,
		KvUsed: float64(v.cached) / float64(v.cfg.KV), Reachable: true, Answered: v.answered}
	switch {
	case !v.up:
		status.State, status.Reachable = wire.ServerState_SERVER_STATE_GONE, false
	case v.draining:
		status.State = wire.ServerState_SERVER_STATE_DRAINING
	case v.answered < v.warmAfter:
		status.State = wire.ServerState_SERVER_STATE_COLD
	}
	return status
}

func (v *server) arrive(c *call) {
	if !v.up {
		v.sim.finishAttempt(c, c.attempt, refused)
		return
	}
	if len(v.running) >= v.cfg.Slots && len(v.queue) >= v.cfg.Queue {
		v.report.Busy++
		v.sim.finishAttempt(c, c.attempt, busy)
		return
	}
	v.inFlight[c] = true
	v.countInFlight()
	v.queue = append(v.queue, c)
	v.admit()
}

// countInFlight compares the requests in flight to the bounds of slow start.
func (v *server) countInFlight() {
	n := len(v.inFlight)
	v.report.Peak = max(v.report.Peak, n)
	if v.incarnation > 1 && v.answered < uint64(v.cfg.Slots) {
		v.report.PeakCold = max(v.report.PeakCold, n)
	}
	if allowed := rampStart + int(v.answered); v.answered < uint64(v.cfg.Slots) && n > allowed {
		v.report.Over++
		v.report.Excess = max(v.report.Excess, n-allowed)
	}
}

// admit starts queued requests while there are free slots.
func (v *server) admit() {
	for len(v.queue) > 0 && len(v.running) < v.cfg.Slots {
		c := v.queue[0]
		v.queue = v.queue[1:]
		v.running[c] = true
		pace := 1.0
		if v.answered < v.warmAfter {
			pace = v.cfg.ColdPace
		}
		work := float64(c.session)
		if v.lookUpPrefix(c.prefix, c.prefixTokens) {
			v.report.Hits++
		} else {
			v.report.Misses++
			work += float64(c.prefixTokens)
		}
		v.prefillFree = max(v.prefillFree, v.sim.now) + seconds(work/(v.cfg.Prefill*pace))
		rate := min(v.cfg.PerCall, v.cfg.Decode/float64(len(v.running))) * pace
		first := v.prefillFree + seconds(1/rate)
		incarnation, attempt := v.incarnation, c.attempt
		v.sim.at(first, func() {
			if v.up && v.incarnation == incarnation {
				v.sim.firstToken(c, attempt)
			}
		})
		v.sim.at(first+seconds(float64(c.output)/rate), func() {
			if v.up && v.incarnation == incarnation {
				v.finish(c, attempt)
			}
		})
	}
}

func (v *server) cancel(c *call) bool {
	if !v.inFlight[c] {
		return false
	}
	delete(v.inFlight, c)
	delete(v.running, c)
	v.queue = slices.DeleteFunc(v.queue, func(q *call) bool { return q == c })
	v.admit()
	return true
}

func (v *server) finish(c *call, attempt int) {
	if !v.running[c] {
		return
	}
	delete(v.running, c)
	delete(v.inFlight, c)
	v.answered++
	v.report.Served++
	v.sim.finishAttempt(c, attempt, answered)
	v.admit()
}

// lookUpPrefix reports whether a prefix is cached, and caches it if not.
func (v *server) lookUpPrefix(prefix uint64, tokens int) bool {
	if e := v.cache[prefix]; e != nil {
		v.recent.MoveToFront(e)
		return true
	}
	for v.cached+tokens > v.cfg.KV && v.recent.Len() > 0 {
		last := v.recent.Back()
		v.recent.Remove(last)
		evicted := last.Value.(cachedPrefix)
		delete(v.cache, evicted.prefix)
		v.cached -= evicted.tokens
	}
	v.cache[prefix] = v.recent.PushFront(cachedPrefix{prefix, tokens})
	v.cached += tokens
	return false
}

// crash ends the process and interrupts all of its requests.
func (v *server) crash() {
	v.up = false
	lost := v.inFlight
	v.inFlight, v.running, v.queue = map[*call]bool{}, map[*call]bool{}, nil
	for _, c := range v.sim.inOrder(lost) {
		v.sim.finishAttempt(c, c.attempt, interrupted)
	}
}
