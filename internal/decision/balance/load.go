package balance

import (
	"slices"
	"time"
)

// serverLoad is the load that this node places on one server.
type serverLoad struct {
	inFlight int
	// unanswered are the attempts whose responses have not started, oldest first.
	unanswered []*Attempt
	// backlogTokens is the sum of prefillTokens over the unanswered attempts.
	backlogTokens  float64
	lastResponseAt time.Time
}

func (l *serverLoad) start(attempt *Attempt) {
	l.inFlight++
	l.unanswered = append(l.unanswered, attempt)
	l.backlogTokens += attempt.prefillTokens
}

func (l *serverLoad) responseStarted(attempt *Attempt, now time.Time) {
	l.lastResponseAt = now
	l.removeUnanswered(attempt)
}

func (l *serverLoad) finish(attempt *Attempt) {
	l.inFlight--
	l.removeUnanswered(attempt)
}

func (l *serverLoad) removeUnanswered(attempt *Attempt) {
	index := slices.Index(l.unanswered, attempt)
	if index < 0 {
		return
	}
	l.unanswered = slices.Delete(l.unanswered, index, index+1)
	l.backlogTokens -= attempt.prefillTokens
	if len(l.unanswered) == 0 {
		l.backlogTokens = 0 // discards the accumulated rounding error
	}
}

// StallLevel compares how long a server has not responded to this node's requests
// with the expected time to the first byte. Within this package it only raises the
// cost of the server, at Stalled and above. The gateway has the server probed at Slow
// and above, and reports it to the fleet at Unresponsive or when a probe fails.
type StallLevel int

// Stall levels, in ascending order.
const (
	// NotStalled means that the delay is within the expected range.
	NotStalled StallLevel = iota
	// Slow means a delay beyond the expected one, which requests of other nodes to the
	// server may cause.
	Slow
	// Stalled means a delay at which requests avoid the server.
	Stalled
	// Unresponsive means a delay that load is unlikely to explain.
	Unresponsive
)

// stallThresholds are ordered from the highest level. A server that has not responded
// since its oldest unanswered request was sent reaches a level once that request has
// waited for factor times the expected time plus margin.
var stallThresholds = []struct {
	level  StallLevel
	factor float64
	margin time.Duration
}{
	{Unresponsive, 3, 600 * time.Millisecond},
	{Stalled, 2, 250 * time.Millisecond},
	{Slow, 1.5, 150 * time.Millisecond},
}

func (t *Table) stallLevel(srv *server, now time.Time) StallLevel {
	if len(srv.load.unanswered) == 0 {
		return NotStalled
	}
	oldest := srv.load.unanswered[0]
	if srv.load.lastResponseAt.After(oldest.startedAt) {
		return NotStalled
	}
	expected := float64(t.prefillSpeed(oldest.service).expectedFirstByteTime(srv.load.backlogTokens))
	waited := now.Sub(oldest.startedAt)
	for _, threshold := range stallThresholds {
		if waited >= time.Duration(threshold.factor*expected)+threshold.margin {
			return threshold.level
		}
	}
	return NotStalled
}
