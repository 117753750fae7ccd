package statemachine

import (
	"encoding/json"
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"

	"github.com/pkg/errors"
)

// MaxHistory bounds how many accepted orders a state remembers; an order sent
// again is known as the same while it is among them.
const MaxHistory = 512

// Member is one process of the roster. Names are identities: a restart under
// the same name is the same member.
type Member struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Core   bool   `json:"core,omitempty"`
	Front  bool   `json:"front,omitempty"`
}

// Duty says who won a singleton duty, and in which term.
type Duty struct {
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
}

// Record is an accepted order: when, by whom, what, and the versions that it
// made. AtMS is in unix milliseconds by the proposing core's clock.
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

// State is what the log of agreed commands folds into. It is immutable: Apply
// copies what it changes and shares the rest, so a State may be read anywhere.
type State struct {
	// Version counts the commands applied. SheetEpoch is the version of the last
	// put or patch, the base that orders name.
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	// Revision is the operators' own number of the sheet, where they number it.
	Revision uint64       `json:"revision,omitempty"`
	Sheet    *sheet.Sheet `json:"sheet,omitempty"`
	// Evacuated maps a region or zone to the version that emptied it. It is
	// a layer of its own: no sheet undoes it.
	Evacuated map[string]uint64 `json:"evacuated,omitempty"`
	// Roster holds the members by name, as of RosterEpoch. PriorRoster is the
	// roster before the last change while that change isn't settled, and empty
	// otherwise: until then majorities of both count.
	Roster        map[string]Member `json:"roster,omitempty"`
	RosterVersion uint64            `json:"roster_epoch,omitempty"`
	PriorRoster   map[string]Member `json:"prior_roster,omitempty"`
	Duties        map[string]Duty   `json:"duties,omitempty"`
	// History holds the last MaxHistory accepted orders, oldest first.
	History []Record `json:"history,omitempty"`
}

// Settled says whether the last change of the roster is settled.
func (s State) Settled() bool { return len(s.PriorRoster) == 0 }

// IsEvacuated says whether a zone, or the whole region that it is in, is
// evacuated.
func (s State) IsEvacuated(region, zone string) bool {
	if len(s.Evacuated) == 0 {
		return false
	}
	if _, whole := s.Evacuated[region]; whole {
		return true
	}
	_, one := s.Evacuated[sheet.ZoneName(region, zone)]
	return one
}

// Applied returns the record of an accepted order that is still remembered.
func (s State) Applied(orderID string) (Record, bool) {
	for i := len(s.History) - 1; i >= 0; i-- {
		if s.History[i].OrderID == orderID {
			return s.History[i], true
		}
	}
	return Record{}, false
}

// Encode returns the state's bytes, the same on every machine.
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

// Step applies the command that was agreed for a version, which must be the one
// after the state's; else nothing changes and the code is EpochBehind. Bytes
// that are no command use up their version and give Internal.
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

// Foresee returns the result of an operator's command where this state alone
// settles it, whatever was agreed since: an order known already, one whose base
// has moved, or one that is unsound on its base. Such an order needs no ballot.
func (s State) Foresee(command Command) (Result, bool) {
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
		_, known := s.Applied(order.OrderID)
		return result, known && order.OrderID != ""
	case apierror.BaseMoved:
		if order.Revision > 0 {
			return result, order.BaseRevision < s.Revision
		}
		return result, order.Base < s.SheetVersion
	case apierror.UnknownMember:
		return Result{}, false
	}
	return result, true
}

func (s State) remember(r Record) State {
	keep := s.History
	if len(keep) >= MaxHistory {
		keep = keep[len(keep)-MaxHistory+1:]
	}
	s.History = append(slices.Clip(keep), r)
	return s
}

func (s State) winner(base uint64) uint64 {
	for _, r := range s.History {
		if r.Version > base && r.SheetVersion == r.Version {
			return r.Version
		}
	}
	return s.SheetVersion
}

// Index builds the index of the state's sheet.
func (s State) Index() *sheet.Index { return sheet.NewIndex(s.Sheet) }
