// Package statemachine is the replicated state machine of the control plane:
// the commands that the replicas agree on, one for each slot of the log, and the
// state that they build. The configuration (package sheet), the evacuated zones,
// the roster of members, the holders of singleton roles and the history of
// orders are all in one State.
//
// Invariants:
//
//   - Apply is a pure function of the state, the version and the command. It
//     gives the same state, byte for byte, on every replica.
//   - A State is immutable. A command copies what it changes and shares the
//     rest, so that a State may be read by any goroutine.
//   - Each command uses exactly one version, also where it is rejected.
//   - An order that is known by its id is applied once (see Order).
//
// The package does no I/O, reads no clock and draws nothing at random. Agreement
// on the log is package paxos's job; writing it to disk is the replica's.
package statemachine

import (
	"encoding/json"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"

	"github.com/pkg/errors"
)

// State is what the log of agreed commands builds. It is immutable.
type State struct {
	// Version is the slot of the last command that was applied, and so the number
	// of commands. SheetVersion is the version of the last accepted order that
	// changed the sheet; orders name it as their base.
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	// Revision is the operators' own number of the sheet, where they number it.
	Revision uint64       `json:"revision,omitempty"`
	Sheet    *sheet.Sheet `json:"sheet,omitempty"`
	// Evacuated maps a region or zone to the version that evacuated it. It is
	// independent of the sheet: no sheet takes an evacuation back.
	Evacuated map[string]uint64 `json:"evacuated,omitempty"`
	// Roster has the members by name, as of RosterVersion. PriorRoster is the
	// roster before the last change until that change is committed, and empty
	// afterwards: in between, a quorum needs majorities of both.
	Roster        map[string]Member `json:"roster,omitempty"`
	RosterVersion uint64            `json:"roster_epoch,omitempty"`
	PriorRoster   map[string]Member `json:"prior_roster,omitempty"`
	// Roles has the current term of each singleton role, by the role's name.
	Roles map[string]RoleTerm `json:"duties,omitempty"`
	// History has the last MaxHistory accepted orders, oldest first.
	History []Record `json:"history,omitempty"`
}

// Step applies the encoded command of a version, which must follow the state's;
// otherwise the state stays as it is and the code is VersionBehind. Bytes that
// are no command use their version and give Internal.
func (s State) Step(version uint64, command []byte) (State, Result) {
	if version != s.Version+1 {
		return s, s.result(apierror.VersionBehind, "the state is at %d; epoch %d is not the next", s.Version, version)
	}
	decoded, err := Decode(command)
	if err != nil {
		next, _ := Noop{}.Apply(s, version)
		return next, next.result(apierror.Internal, "%v", err)
	}
	return decoded.Apply(s, version)
}

// Predict returns the result of an operator's command where this state decides
// it, whatever may be agreed on next: an order that was accepted before, one
// whose base has changed, or one that is invalid on its base. Such an order need
// not be proposed. The second result is false for all others.
func (s State) Predict(command Command) (Result, bool) {
	order, ok := OrderOf(command)
	if !ok {
		return Result{}, false
	}
	_, result := command.Apply(s, s.Version+1)
	if result.Code != apierror.OK && result.Code != apierror.BaseMoved {
		result.Version = s.Version
	}
	switch result.Code {
	case apierror.OK:
		_, known := s.AppliedOrder(order.OrderID)
		return result, known && order.OrderID != ""
	case apierror.BaseMoved:
		if order.Revision > 0 {
			return result, order.BaseRevision < s.Revision
		}
		return result, order.Base < s.SheetVersion
	case apierror.UnknownMember:
		// A member may be added before the order is applied.
		return Result{}, false
	}
	return result, true
}

// Index builds the index of the state's sheet.
func (s State) Index() *sheet.Index { return sheet.NewIndex(s.Sheet) }

// Encode returns the state's bytes, which are the same on every replica. It
// panics on a state that JSON can't represent; no command makes one, since
// numbers that are not finite are rejected by the sheet's checks.
func (s State) Encode() []byte {
	data, err := json.Marshal(s)
	if err != nil {
		panic(errors.Wrap(err, "encode state"))
	}
	return data
}

// DecodeState reads what Encode wrote.
func DecodeState(data []byte) (State, error) {
	var s State
	if err := json.Unmarshal(data, &s); err != nil {
		return State{}, errors.Wrap(err, "decode state")
	}
	return s, nil
}
