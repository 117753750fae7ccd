package balance

import (
	"slices"
	"time"
)

// serverLoad is the work of this node at one server.
type serverLoad struct {
	inFlight int
	// unanswered are the attempts whose responses have not started, the oldest first.
	unanswered []*Attempt
	// backlogTokens are the prompt tokens of the unanswered attempts.
	backlogTokens float64
	lastResponse  time.Time
}

func (l *serverLoad) start(attempt *Attempt) {
	l.inFlight++
	l.unanswered = append(l.unanswered, attempt)
	l.backlogTokens += attempt.prefillTokens
}

func (l *serverLoad) responseStarted(attempt *Attempt, now time.Time) {
	l.lastResponse = now
	l.removeUnanswered(attempt)
}

func (l *serverLoad) finish(attempt *Attempt) {
	l.inFlight--
	l.removeUnanswered(attempt)
}

func (l *serverLoad) removeUnanswered(attempt *Attempt) {
	position := slices.Index(l.unanswered, attempt)
	if position < 0 {
		return
	}
	l.unanswered = slices.Delete(l.unanswered, position, position+1)
	l.backlogTokens -= attempt.prefillTokens
	if len(l.unanswered) == 0 {
		l.backlogTokens = 0 // drops what rounding has left
	}
}

// StallLevel is how long a server has not responded to what this node sent it,
// against what is expected of it. By itself it only raises the cost of the server,
// from Stalled on. The gateway has the server probed from Slow on, and reports it to
// the fleet as Unresponsive or when a probe fails.
type StallLevel int

// Stall levels, in ascending order.
const (
	// NotStalled: no longer than expected.
	NotStalled StallLevel = iota
	// Slow: longer than expected, which may be due to another node's requests there.
	Slow
	// Stalled: so long that requests avoid the server.
	Stalled
	// Unresponsive: so long that hardly any load explains it.
	Unresponsive
)

// stallThresholds are checked from the highest level. A server that has not
// responded since its oldest unanswered request was sent has a level when that has
// waited for factor times the expected time and margin more.
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
	if srv.load.lastResponse.After(oldest.began) {
		return NotStalled
	}
	expected := float64(t.speed(oldest.service).expected(srv.load.backlogTokens))
	waited := now.Sub(oldest.began)
	for _, threshold := range stallThresholds {
		if waited >= time.Duration(threshold.factor*expected)+threshold.margin {
			return threshold.level
		}
	}
	return NotStalled
}
