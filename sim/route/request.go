package route

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/route"
)

const (
	networkDelay = time.Millisecond // one-way, between front and server
	maxAttempts  = 3
)

// request is the state of one request.
type request struct {
	id            string
	front         *front
	prefix        uint64
	prefixTokens  int
	sessionTokens int
	outputTokens  int
	arrivedAt     time.Duration
	deadline      time.Duration

	attempt   attempt
	tried     []string
	streaming bool // the caller has received the first token
	ended     bool
}

// attempt is an attempt to serve a request at one server.
type attempt struct {
	number           int
	server           string
	startedAt        time.Duration
	timeToFirstToken time.Duration // from startedAt; 0: none yet
}

// attemptOutcome is the way in which an attempt ended.
type attemptOutcome int

const (
	answered    attemptOutcome = iota
	refused                    // the server was down
	busy                       // all slots and the queue of the server were full
	interrupted                // the server crashed
	late                       // the deadline passed
)

// arrive creates and routes a request, and schedules the arrival of the next one.
func (r *run) arrive(number int) {
	if r.now >= r.Length {
		return
	}
	r.scheduleAfter(seconds(r.random.ExpFloat64()/r.currentRate()), func() { r.arrive(number + 1) })
	r.result.Offered++
	r.route(r.newRequest(number))
}

func (r *run) currentRate() float64 {
	if r.Surge > 0 && r.now >= r.SurgeFrom && r.now < r.SurgeTo {
		return r.Rate * r.Surge
	}
	return r.Rate
}

func (r *run) newRequest(number int) *request {
	index, _ := slices.BinarySearch(r.cumulativePrefixWeights, r.random.Float64()*r.cumulativePrefixWeights[len(r.cumulativePrefixWeights)-1])
	prefix := xxhash.Sum64String(fmt.Sprintf("prefix %d", index))
	req := &request{
		id:           fmt.Sprintf("r%d", number),
		prefix:       prefix,
		prefixTokens: r.PrefixTokens/2 + int(prefix%uint64(r.PrefixTokens+1)),
		arrivedAt:    r.now,
		deadline:     r.now + r.Deadline,
	}
	// The result of a seed depends on the order of these random draws.
	req.front = r.drawFront()
	req.sessionTokens = r.drawTokens(r.SessionTokens)
	req.outputTokens = r.drawTokens(r.OutputTokens)
	return req
}

func (r *run) drawTokens(mean int) int { return max(1, mean/2+r.random.IntN(mean+1)) }

func (r *run) drawFront() *front {
	if r.FrontWeights == nil {
		return r.fronts[r.random.IntN(len(r.fronts))]
	}
	total := 0.0
	for _, weight := range r.FrontWeights {
		total += weight
	}
	drawn := r.random.Float64() * total
	for i, weight := range r.FrontWeights {
		if drawn < weight {
			return r.fronts[i]
		}
		drawn -= weight
	}
	return r.fronts[0]
}

// route sends a request to a server, or queues or rejects it, as its front decides.
func (r *run) route(req *request) {
	routed := route.Request{
		ID:           req.id,
		Service:      service,
		Prefix:       req.prefix,
		Deadline:     origin.Add(req.deadline),
		TriedServers: req.tried,
	}
	choice := req.front.table.Choose(routed, r.clock())
	if !choice.Queued {
		r.startAttempt(req, choice)
		return
	}
	if err := req.front.table.Enqueue(routed, r.clock()); err != nil {
		r.reject(req, err)
		return
	}
	req.front.queued[req.id] = req
}

func (r *run) startAttempt(req *request, choice route.Choice) {
	if choice.Err != nil {
		r.reject(req, choice.Err)
		return
	}
	req.front.table.Started(choice.Server)
	req.attempt = attempt{
		number:    req.attempt.number + 1,
		server:    choice.Server,
		startedAt: r.now,
	}
	s := r.serversByName[choice.Server]
	number := req.attempt.number
	r.schedule(req.deadline, func() {
		if !req.ended && req.attempt.number == number && s.cancel(req) {
			r.finishAttempt(req, number, late)
		}
	})
	r.scheduleAfter(networkDelay, func() { s.receive(req) })
}

func (r *run) reject(req *request, err *apierror.Error) {
	req.ended = true
	r.result.RejectedByFront++
	r.result.Codes[err.Code.String()]++
}

// receiveFirstToken records the caller's first token, unless the attempt is no longer the
// current one.
func (r *run) receiveFirstToken(req *request, number int) {
	if req.streaming || req.ended || number != req.attempt.number {
		return
	}
	req.streaming = true
	req.attempt.timeToFirstToken = r.now - req.attempt.startedAt
	r.result.TTFT = append(r.result.TTFT, r.now-req.arrivedAt)
}

// finishAttempt reports the end of an attempt to the front, one network delay later.
func (r *run) finishAttempt(req *request, number int, outcome attemptOutcome) {
	server := req.attempt.server
	r.scheduleAfter(networkDelay, func() {
		req.front.table.Finished(server, route.Outcome{
			Result:           routeResult(outcome, req.streaming),
			Service:          service,
			TimeToFirstEvent: req.attempt.timeToFirstToken,
			Duration:         r.now - req.attempt.startedAt,
		}, r.clock())
		r.startReadyRequests(req.front)
		if !req.ended && number == req.attempt.number {
			r.endOrRetry(req, server, outcome)
		}
	})
}

// endOrRetry ends a request according to the outcome of its last attempt, or routes it
// again. It never retries a request whose caller has received tokens.
func (r *run) endOrRetry(req *request, server string, outcome attemptOutcome) {
	req.ended = true
	switch {
	case outcome == late || outcome == answered && r.now > req.deadline:
		r.result.Late++
	case outcome == answered:
		r.result.countServed(r.now)
	case outcome == interrupted && req.streaming:
		r.result.Interrupted++
	case len(req.tried)+1 >= maxAttempts:
		r.result.AttemptsExhausted++
	default:
		req.ended = false
		req.tried = append(req.tried, server)
		r.route(req)
	}
}

// routeResult returns the result of an attempt as reported to the front's route.Table.
func routeResult(outcome attemptOutcome, streaming bool) route.Result {
	switch {
	case outcome == answered:
		return route.Answered
	case outcome == refused:
		return route.Refused
	case outcome == busy:
		return route.Busy
	case outcome == late && !streaming:
		return route.TimedOut
	}
	return route.Inconclusive
}
