package route

import (
	"time"

	"stepwick/internal/wire"
)

const (
	// durationWeight is the weight of a new value in an exponentially weighted mean.
	durationWeight = 0.05

	// maxSlowStartGrowth limits the factor by which the answer rate of servers in slow
	// start is expected to grow.
	maxSlowStartGrowth = 4.0

	maxWaitSeconds = 3600 // limits estimatedWait

	minFirstEventTimeout = time.Second
	maxFirstEventTimeout = time.Minute
	firstEventMeanFactor = 5 // minimum time-out, in mean times to the first event
	firstEventLoadFactor = 2 // factor from the time that the load accounts for to the time-out
	coldPrefillFactor    = 4 // by which prefill is slower at a cold server
)

// meanDuration is an exponentially weighted mean, in nanoseconds.
type meanDuration struct{ value float64 }

// meanDurations maps services to their mean durations.
type meanDurations map[string]*meanDuration

func (m meanDurations) record(service string, duration time.Duration) {
	mean := m[service]
	if mean == nil {
		mean = &meanDuration{float64(duration)}
		m[service] = mean
	}
	mean.value += (float64(duration) - mean.value) * durationWeight
}

// recordDurations records the duration of a request and its time to the first event. A
// request that had neither an answer nor a first event is ignored.
func (t *Table) recordDurations(outcome Outcome) {
	if outcome.Service == "" || outcome.Duration <= 0 {
		return
	}
	if outcome.Result != Answered && outcome.TimeToFirstEvent <= 0 {
		return
	}
	t.durations.record(outcome.Service, outcome.Duration)
	if outcome.TimeToFirstEvent > 0 {
		t.firstEvents.record(outcome.Service, outcome.TimeToFirstEvent)
	}
}

// expectedDuration returns the mean duration of the service's requests multiplied by
// margin, or 0 before any has been recorded. Time in the queue is not included.
func (t *Table) expectedDuration(req *Request, margin float64) time.Duration {
	if mean := t.durations[req.Service]; mean != nil {
		return time.Duration(mean.value * margin)
	}
	return 0
}

// firstEventTimeout returns the time-out for the first event of a request, or 0 if too
// little is known to set one. It is at least firstEventMeanFactor times the mean time to
// the first event and at least firstEventLoadFactor times the time that the server needs
// to prefill this and all requests that it may have in flight and, if all its slots are in
// use, to free a slot. Each of these requests is assumed to have as many tokens as this
// one, none of them cached. The result is between minFirstEventTimeout and
// maxFirstEventTimeout.
func (t *Table) firstEventTimeout(server *server, req *Request) time.Duration {
	if server.status.PrefillPerSecond <= 0 || req.PromptTokens <= 0 {
		return 0
	}
	toPrefill := max(server.load.total(), int(server.status.Running+server.status.Queued)) + 1
	seconds := float64(toPrefill) * req.PromptTokens / server.status.PrefillPerSecond
	if server.status.State == wire.ServerState_SERVER_STATE_COLD {
		seconds *= coldPrefillFactor
	}
	timeout := firstEventLoadFactor * seconds * float64(time.Second)
	if toPrefill > int(server.status.Slots) {
		timeout += float64(t.expectedDuration(req, firstEventLoadFactor))
	}
	if mean := t.firstEvents[req.Service]; mean != nil {
		timeout = max(timeout, firstEventMeanFactor*mean.value)
	}
	return max(minFirstEventTimeout, time.Duration(min(timeout, float64(maxFirstEventTimeout))))
}

// estimatedWait returns the expected time until the servers that could take this request
// have answered the given number of requests. It returns 0 if too little is known.
func (t *Table) estimatedWait(req *Request, requests int, now time.Time) time.Duration {
	perSecond := 0.0
	if req.HomeRegion != "" {
		perSecond = t.pools[poolKey{req.Service, req.HomeRegion}].expectedRate(now)
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

// expectedRate returns the expected answers per second of a pool once its servers have
// reached their full caps. The pool may be nil.
func (p *pool) expectedRate(now time.Time) float64 {
	if p == nil {
		return 0
	}
	growth := float64(p.fullCap()) / float64(max(1, p.cap))
	return p.rate.perSecond(now) * min(maxSlowStartGrowth, max(1, growth))
}

// fullCap returns the sum of the servers' full caps. With several groups it is an estimate
// from the first one.
func (p *pool) fullCap() int {
	sum := 0
	for _, s := range p.groups[0] {
		sum += s.capacity.full
	}
	return sum * len(p.groups)
}
