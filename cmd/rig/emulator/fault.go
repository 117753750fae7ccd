package emulator

import "math/rand/v2"

// Fault is what a server does wrong with one request.
type Fault string

// Faults of a server, drawn for each request by their odds. A new one has to be in
// drawOrder too, or it is never drawn.
const (
	NoFault         Fault = ""
	EarlyEnd        Fault = "early_end"   // model: ends cleanly without a final event
	DroppedEvent    Fault = "too_little"  // model: leaves one event out
	DuplicatedEvent Fault = "repeat"      // model: sends one event twice
	CrossedEvent    Fault = "cross"       // model: sends one event of another request
	WrongID         Fault = "wrong_id"    // answers under another request's ID
	AbortedStream   Fault = "abort"       // model: breaks the connection midway
	Busy            Fault = "busy"        // answers 503 and runs nothing
	StalledStream   Fault = "stall"       // model: stops midway and keeps the connection
	ResetBeforeRead Fault = "reset_early" // web: resets before it reads the request
	ResetBeforeRun  Fault = "reset_read"  // web: reads the request, then resets
	ResetAfterRun   Fault = "reset_ran"   // web: runs the request, then resets
	TruncatedBody   Fault = "truncated"   // web: announces a length and sends less
	CrossedBody     Fault = "cross_body"  // web: sends another request's complete answer
	SlowAnswer      Fault = "slow"        // web: answers after slowAnswerDelay
)

// drawOrder is the order in which the odds of faults are summed up. It is part of
// what a seed stands for: another order gives other faults.
var drawOrder = []Fault{
	EarlyEnd,
	DroppedEvent,
	DuplicatedEvent,
	CrossedEvent,
	WrongID,
	AbortedStream,
	Busy,
	StalledStream,
	ResetBeforeRead,
	ResetBeforeRun,
	ResetAfterRun,
	TruncatedBody,
	CrossedBody,
	SlowAnswer,
}

// FaultOdds is the probability of each fault for a request, 0 to 1.
type FaultOdds map[Fault]float64

// draw returns the fault of a request.
func (o FaultOdds) draw(random *rand.Rand) Fault {
	remainder := random.Float64()
	for _, fault := range drawOrder {
		remainder -= o[fault]
		if remainder < 0 {
			return fault
		}
	}
	return NoFault
}
