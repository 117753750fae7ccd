// Package events has the catalogue of numbered log events and the log that
// emits them. The catalogue is the only place where events are declared; an
// event's number and name never change meaning, since operators' alerts refer
// to them. The Go names follow the field's terms and may differ from the names
// in the log.
package events

// Level of an event: how soon someone should look.
type Level string

// Levels, from the lowest.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is one row of the catalogue.
type Event struct {
	Number int
	Name   string
	Level  Level
	// Help states what happened.
	Help string
	// Action is what whoever is on call should do; empty for nothing.
	Action string
}

// Log emits events with keys and values in turn. Implementations limit the rate
// of each event and never block for long.
type Log interface {
	Emit(event Event, keyvals ...any)
}

// Discard drops every event.
var Discard Log = discard{}

type discard struct{}

func (discard) Emit(Event, ...any) {}
