// Package events declares the numbered log events and implements the log that
// emits them. All events are declared in the catalogue. The number and name of
// an event never change meaning, since operators' alerts refer to them. The Go
// identifier of an event may differ from its name in the log.
package events

// Level is the severity of an event.
type Level string

// Levels, in ascending order.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is an entry of the catalogue.
type Event struct {
	Number int
	Name   string
	Level  Level
	// Help states what happened.
	Help string
	// Action advises the operator on call what to do; empty if nothing is needed.
	Action string
}

// Log emits events with alternating keys and values. Implementations limit the
// rate of each event and never block for long.
type Log interface {
	Emit(event Event, keyvals ...any)
}

// Discard drops every event.
var Discard Log = discard{}

type discard struct{}

func (discard) Emit(Event, ...any) {}
