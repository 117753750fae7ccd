// Package events holds the catalogue of numbered log events and the log that
// emits them.
package events

// Level of an event: how soon someone should look.
type Level string

// Levels.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Event is one row of the catalogue. Numbers never change meaning. Ask says
// what the event asks of whoever is on call; it is empty where nothing is.
type Event struct {
	Number int
	Name   string
	Level  Level
	Help   string
	Ask    string
}

// Log emits events with keys and values. It never blocks for long and bounds
// the rate of each event.
type Log interface {
	Emit(e Event, keyvals ...any)
}

// Discard drops every event.
var Discard Log = discard{}

type discard struct{}

func (discard) Emit(Event, ...any) {}
