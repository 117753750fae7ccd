package emulator

import "math/rand/v2"

// Fault is a fault that a server injects into its handling of one request.
type Fault string

// Faults of servers, drawn for each request by their odds. Faults that are not listed
// in drawOrder are never drawn.
const (
	NoFault         Fault = ""
	EarlyEnd        Fault = "early_end"   // model: ends the stream without an error or a final event
	DroppedEvent    Fault = "too_little"  // model: omits one event
	DuplicatedEvent Fault = "repeat"      // model: sends one event twice
	CrossedEvent    Fault = "cross"       // model: replaces one event by one of another request
	WrongID         Fault = "wrong_id"    // answers with a wrong request ID
	AbortedStream   Fault = "abort"       // model: breaks the connection during the stream
	Busy            Fault = "busy"        // answers 503 without executing the request
	StalledStream   Fault = "stall"       // model: sends no further events and keeps the connection open
	ResetBeforeRead Fault = "reset_early" // web: resets the connection before reading the request
	ResetBeforeRun  Fault = "reset_read"  // web: reads the request, then resets the connection
	ResetAfterRun   Fault = "reset_ran"   // web: executes the request, then resets the connection
	TruncatedBody   Fault = "truncated"   // web: sends less than the Content-Length
	CrossedBody     Fault = "cross_body"  // web: sends the complete body of the previous request, with a wrong request ID
	SlowAnswer      Fault = "slow"        // web: answers after slowAnswerDelay
)

// drawOrder is the order in which the odds of faults are accumulated. A seed gives the
// same run only as long as this order is unchanged.
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

// draw returns a random fault for a request.
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
