package route

import (
	"time"

	"stepwick/internal/wire"
)

const (
	// durationWeight is that of a new duration in an exponentially weighted mean.
	durationWeight = 0.05

	// maxSlowStartGrowth bounds the growth of the rate that is expected of servers in
	// slow start.
	maxSlowStartGrowth = 4.0

	maxWaitSeconds = 3600

	minFirstEventTimeout  = time.Second
	maxFirstEventTimeout  = time.Minute
	firstEventMeans       = 5 // least time-out, in mean times to the first event
	firstEventLoadFactor  = 2 // by which the time that the load explains is multiplied
	coldPrefillSlowFactor = 4
)

// meanDuration is an exponentially weighted mean, in nanoseconds.
type meanDuration struct{ value float64 }

// meanDurations are means by service.
type meanDurations map[string]*meanDuration

func (m meanDurations) add(service string, duration time.Duration) {
	mean := m[service]
	if mean == nil {
		mean = &meanDuration{float64(duration)}
		m[service] = mean
	}
	mean.value += (float64(duration) - mean.value) * durationWeight
}

// recordDurations records how long a request took. One that ended without an answer
// or a first event counts for nothing.
func (t *Table) recordDurations(outcome Outcome) {
	if outcome.Service == "" || outcome.Took <= 0 {
		return
	}
	if outcome.Result != Answered && outcome.FirstToken <= 0 {
		return
	}
	t.durations.add(outcome.Service, outcome.Took)
	if outcome.FirstToken > 0 {
		t.firstEvents.add(outcome.Service, outcome.FirstToken)
	}
}

// expectedDuration returns the mean duration of a request from its start, times a
// margin; 0 while none is known.
func (t *Table) expectedDuration(req *Request, margin float64) time.Duration {
	if mean := t.durations[req.Service]; mean != nil {
		return time.Duration(mean.value * margin)
	}
	return 0
}

// firstEventTimeout returns a bound of the time to the first event: several times the
// mean, and twice what the server takes to prefill all that it may have in flight, as
// if each request were like this one and none in its cache, and to free a slot.
func (t *Table) firstEventTimeout(server *server, req *Request) time.Duration {
	if server.status.PrefillPerSecond <= 0 || req.Tokens <= 0 {
		return 0
	}
	ahead := max(server.load.total(), int(server.status.Running+server.status.Queued)) + 1
	seconds := float64(ahead) * req.Tokens / server.status.PrefillPerSecond
	if server.status.State == wire.ServerState_SERVER_STATE_COLD {
		seconds *= coldPrefillSlowFactor
	}
	explained := firstEventLoadFactor * seconds * float64(time.Second)
	if ahead > int(server.status.Slots) {
		explained += float64(t.expectedDuration(req, firstEventLoadFactor))
	}
	if mean := t.firstEvents[req.Service]; mean != nil {
		explained = max(explained, firstEventMeans*mean.value)
	}
	return max(minFirstEventTimeout, time.Duration(min(explained, float64(maxFirstEventTimeout))))
}

// estimatedWait returns how long it takes until a number of requests have been answered
// by the servers that could take this one; 0 while too little is known.
func (t *Table) estimatedWait(req *Request, requests int, now time.Time) time.Duration {
	perSecond := 0.0
	if req.Home != "" {
		perSecond = t.pools[poolKey{req.Service, req.Home}].expectedRate(now)
	} else {
		for _, entry := range t.regionsOf(req).entries {
			perSecond += entry.pool.expectedRate(now)
		}
	}
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(min(float64(requests)/perSecond, maxWaitSeconds) * float64(time.Second))
}

// expectedRate returns the answers per second that a pool, which may be nil, will give
// once its servers have reached their full caps.
func (p *pool) expectedRate(now time.Time) float64 {
	if p == nil {
		return 0
	}
	growth := float64(p.fullCap()) / float64(max(1, p.cap))
	return p.rate.perSecond(now) * min(maxSlowStartGrowth, max(1, growth))
}

// fullCap returns the sum of the servers' full caps, estimated from the first of
// several groups.
func (p *pool) fullCap() int {
	sum := 0
	for _, s := range p.groups[0] {
		sum += s.capacity.full
	}
	return sum * len(p.groups)
}
