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
	networkDelay = time.Millisecond // between front and server, one way
	maxAttempts  = 3
)

// request is one request of a caller.
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

// attempt is the current attempt of a request at a server.
type attempt struct {
	number     int
	server     string
	startedAt  time.Duration
	firstToken time.Duration // time to it; zero: none yet
}

// ending is how an attempt ended.
type ending int

const (
	answered ending = iota
	refused
	busy
	interrupted
	late
)

// arrive offers a request and schedules the next one.
func (r *run) arrive(number int) {
	if r.now >= r.Length {
		return
	}
	r.after(seconds(r.random.ExpFloat64()/r.currentRate()), func() { r.arrive(number + 1) })
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
	index, _ := slices.BinarySearch(r.zipf, r.random.Float64()*r.zipf[len(r.zipf)-1])
	prefix := xxhash.Sum64String(fmt.Sprintf("prefix %d", index))
	req := &request{
		id:           fmt.Sprintf("r%d", number),
		prefix:       prefix,
		prefixTokens: r.PrefixTokens/2 + int(prefix%uint64(r.PrefixTokens+1)),
		arrivedAt:    r.now,
		deadline:     r.now + r.Deadline,
	}
	// The order of these random draws is part of a seed's result.
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

// route sends a request to a server, queues or rejects it.
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
	s := r.byName[choice.Server]
	number := req.attempt.number
	r.at(req.deadline, func() {
		if !req.ended && req.attempt.number == number && s.cancel(req) {
			r.finishAttempt(req, number, late)
		}
	})
	r.after(networkDelay, func() { s.receive(req) })
}

func (r *run) reject(req *request, err *apierror.Error) {
	req.ended = true
	r.result.Refused++
	r.result.Codes[err.Code.String()]++
}

// receiveFirstToken records the first token that the caller gets.
func (r *run) receiveFirstToken(req *request, number int) {
	if req.streaming || req.ended || number != req.attempt.number {
		return
	}
	req.streaming = true
	req.attempt.firstToken = r.now - req.attempt.startedAt
	r.result.TTFT = append(r.result.TTFT, r.now-req.arrivedAt)
}

// finishAttempt reports the end of an attempt to the front.
func (r *run) finishAttempt(req *request, number int, how ending) {
	server := req.attempt.server
	r.after(networkDelay, func() {
		req.front.table.Finished(server, route.Outcome{
			Result:           resultOf(how, req.streaming),
			Service:          service,
			TimeToFirstEvent: req.attempt.firstToken,
			Duration:         r.now - req.attempt.startedAt,
		}, r.clock())
		r.startReady(req.front)
		if !req.ended && number == req.attempt.number {
			r.endOrRetry(req, server, how)
		}
	})
}

// endOrRetry ends a request by the end of its last attempt, or routes it again.
func (r *run) endOrRetry(req *request, server string, how ending) {
	req.ended = true
	switch {
	case how == late || how == answered && r.now > req.deadline:
		r.result.Late++
	case how == answered:
		r.result.countServed(r.now)
	case how == interrupted && req.streaming:
		r.result.Interrupted++
	case len(req.tried)+1 >= maxAttempts:
		r.result.Rejected++
	default:
		req.ended = false
		req.tried = append(req.tried, server)
		r.route(req)
	}
}

// resultOf returns what the end of an attempt tells the front's table.
func resultOf(how ending, streaming bool) route.Result {
	switch {
	case how == answered:
		return route.Answered
	case how == refused:
		return route.Refused
	case how == busy:
		return route.Busy
	case how == late && !streaming:
		return route.TimedOut
	}
	return route.Inconclusive
}
