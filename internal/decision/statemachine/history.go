package statemachine

import "slices"

// MaxHistory bounds how many accepted orders a state retains. An order that is
// sent again is recognised while it is among them.
const MaxHistory = 512

// Record is an accepted order: who gave it, what it did, and the versions that
// it made. AtMS is in Unix milliseconds by the proposing replica's clock.
type Record struct {
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	Operator     string `json:"operator,omitempty"`
	Verb         string `json:"verb"`
	OrderID      string `json:"order_id"`
	Digest       string `json:"digest"`
	AtMS         int64  `json:"at_ms"`
	Summary      string `json:"summary,omitempty"`
}

// AppliedOrder returns the record of an accepted order that is still retained.
func (s State) AppliedOrder(orderID string) (Record, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].OrderID == orderID {
			return s.History[i], true
		}
	}
	return Record{}, false
}

// withRecord appends a record to the history and drops the oldest one where the
// history is full.
func (s State) withRecord(record Record) State {
	retained := s.History
	if len(retained) >= MaxHistory {
		retained = retained[len(retained)-MaxHistory+1:]
	}
	// Clip makes append copy: the array is shared with earlier states.
	s.History = append(slices.Clip(retained), record)
	return s
}

// sheetVersionAfter returns the first version after the base at which the sheet
// changed, as far as the history reaches.
func (s State) sheetVersionAfter(base uint64) uint64 {
	for _, record := range s.History {
		if record.Version > base && record.SheetVersion == record.Version {
			return record.Version
		}
	}
	return s.SheetVersion
}
