package statemachine

import "slices"

// MaxHistory bounds the number of accepted orders that a state retains. Replays
// of older orders are no longer recognised.
const MaxHistory = 512

// Record describes an accepted order: its operator, its effect, and the versions
// of the state and the sheet after it. ReceivedAtMS is the time of arrival in Unix
// milliseconds on the proposing replica's clock.
type Record struct {
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	Operator     string `json:"operator,omitempty"`
	Verb         string `json:"verb"`
	OrderID      string `json:"order_id"`
	Digest       string `json:"digest"`
	ReceivedAtMS int64  `json:"at_ms"`
	Summary      string `json:"summary,omitempty"`
}

// AppliedOrder returns the record of an accepted order, or false if the history
// doesn't contain it.
func (s State) AppliedOrder(orderID string) (Record, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].OrderID == orderID {
			return s.History[i], true
		}
	}
	return Record{}, false
}

// withRecord appends a record to the history and drops the oldest if the history
// is full.
func (s State) withRecord(record Record) State {
	retained := s.History
	if len(retained) >= MaxHistory {
		retained = retained[len(retained)-MaxHistory+1:]
	}
	// Clip forces append to copy: earlier states share the backing array.
	s.History = append(slices.Clip(retained), record)
	return s
}

// sheetVersionAfter returns the first retained version after base that changed the
// sheet, or the current sheet version if there is none.
func (s State) sheetVersionAfter(base uint64) uint64 {
	for _, record := range s.History {
		if record.Version > base && record.SheetVersion == record.Version {
			return record.Version
		}
	}
	return s.SheetVersion
}
