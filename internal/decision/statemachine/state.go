// Package statemachine is the replicated state machine of the control plane: the
// commands that the replicas agree on, one for each slot of the log, and the State
// that results from applying them in order. A State contains the configuration
// (package sheet), the evacuated zones, the roster of members, the holders of
// singleton roles and the history of orders.
//
// Invariants:
//
//   - Apply is a pure function of the state, the version and the command. The
//     encoded state is identical, byte for byte, on every replica.
//   - A State is immutable. A command copies what it changes and shares the
//     rest, so that any goroutine may read a State.
//   - Each command advances the version by exactly one, even if it is rejected.
//   - An order with an id is applied at most once while the history contains it
//     (see Order and MaxHistory).
//
// The package does no I/O, reads no clock and uses no randomness. Package paxos
// provides agreement on the log, and package replica writes the log to disk.
package statemachine

import (
	"encoding/json"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"

	"github.com/pkg/errors"
)

// State is the result of applying a prefix of the log. It is immutable.
type State struct {
	// Version is the slot of the last applied command, which is also the number
	// of applied commands. SheetVersion is the version of the last accepted order
	// that changed the sheet; orders refer to it as their base.
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	// Revision is the operators' own number for the sheet; 0 if none was given.
	Revision uint64       `json:"revision,omitempty"`
	Sheet    *sheet.Sheet `json:"sheet,omitempty"`
	// Evacuated maps a region or zone to the version that evacuated it. It is
	// independent of the sheet: changing the sheet does not end an evacuation.
	Evacuated map[string]uint64 `json:"evacuated,omitempty"`
	// Roster maps names to members, as of RosterVersion. PriorRoster is the roster
	// before the last change while that change is uncommitted, and empty otherwise.
	// A quorum needs majorities of both rosters while PriorRoster is not empty.
	Roster        map[string]Member `json:"roster,omitempty"`
	RosterVersion uint64            `json:"roster_epoch,omitempty"`
	PriorRoster   map[string]Member `json:"prior_roster,omitempty"`
	// Roles maps the name of each singleton role to its current term.
	Roles map[string]RoleTerm `json:"duties,omitempty"`
	// History contains the last MaxHistory accepted orders, oldest first.
	History []Record `json:"history,omitempty"`
}

// Step decodes and applies the command of the given version, which must be the
// state's version plus one; otherwise the state is returned unchanged with
// VersionBehind. A command that can't be decoded advances the version, changes
// nothing else and results in Internal.
func (s State) Step(version uint64, command []byte) (State, Result) {
	if version != s.Version+1 {
		return s, s.result(apierror.VersionBehind, "the state is at epoch %d; epoch %d does not follow it", s.Version, version)
	}
	decoded, err := Decode(command)
	if err != nil {
		next, _ := Noop{}.Apply(s, version)
		return next, next.result(apierror.Internal, "%v", err)
	}
	return decoded.Apply(s, version)
}

// Predict returns the result of an operator's command if this state determines it
// regardless of the commands that may be agreed on before it: a replay, an order
// whose base has changed, or an order that is invalid on its base. Such an order
// need not be proposed. The second result is false for all other commands.
func (s State) Predict(command Command) (Result, bool) {
	order, ok := OrderOf(command)
	if !ok {
		return Result{}, false
	}
	_, result := command.Apply(s, s.Version+1)
	if result.Code != apierror.OK && result.Code != apierror.BaseConflict {
		result.Version = s.Version
	}
	switch result.Code {
	case apierror.OK:
		_, applied := s.AppliedOrder(order.OrderID)
		return result, applied && order.OrderID != ""
	case apierror.BaseConflict:
		switch {
		case !changesSheet(command.Verb()):
			// Another command may bring the zone into the state that the order wants.
			return Result{}, false
		case order.Revision > 0:
			return result, order.BaseRevision < s.Revision
		}
		return result, order.Base < s.SheetVersion
	case apierror.UnknownMember:
		// Another command may add the member before the order is applied.
		return Result{}, false
	}
	return result, true
}

// Index returns a new index of the state's sheet.
func (s State) Index() *sheet.Index { return sheet.NewIndex(s.Sheet) }

// Encode returns the state as JSON, which is identical on every replica. It panics
// on a state that JSON can't represent; no command produces one, since the sheet's
// validation rejects non-finite numbers.
func (s State) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "encode state"))
	}
	return data
}

// DecodeState is the inverse of State.Encode.
func DecodeState(data []byte) (State, error) {
	var state State
	if err := json.Unmarshal(data, &state); err != nil {
		return State{}, errors.Wrap(err, "decode state")
	}
	return state, nil
}
