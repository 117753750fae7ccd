package statemachine

import (
	"fmt"
	"maps"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/strictjson"
)

// Result is the outcome of a command, the same wherever it is applied. Version is
// the version that the order made (for an order sent again, the earlier one), or
// for BaseMoved the one that won on its base. SheetEpoch is the sheet's version
// after the command.
type Result struct {
	Code         apierror.Code
	Version      uint64
	SheetVersion uint64
	Detail       string
}

// Fault returns the result as a fault, or nil for OK.
func (r Result) Fault() *apierror.Error {
	if r.Code == apierror.OK {
		return nil
	}
	return &apierror.Error{Code: r.Code, Detail: r.Detail}
}

// Command is one entry of the log of agreed commands.
type Command interface {
	Verb() string
	// Apply returns the state of the given version and the outcome. A refused
	// command uses up its version and changes nothing else.
	Apply(s State, version uint64) (State, Result)
}

// Order is what every operator's order carries. OrderID names it when it is
// sent again; Digest tells apart another order under the same id and is worked
// out from the order's content where it is empty. Base is the sheet's version
// that a put or patch was built on. A put or patch without an id goes by its
// digest. Other orders without one are not known again: they are harmless when
// repeated, and a zone emptied, taken back and emptied again is three orders.
//
// An order with a Revision numbers the sheet that it makes, by a number of the
// operator's own choice above the number in force; it is built on BaseRevision,
// and Base does not count.
type Order struct {
	OrderID  string `json:"order_id,omitempty"`
	Operator string `json:"operator,omitempty"`
	Digest   string `json:"digest,omitempty"`
	Base     uint64 `json:"base,omitempty"`

	Revision     uint64 `json:"revision,omitempty"`
	BaseRevision uint64 `json:"base_revision,omitempty"`

	AtMS int64 `json:"at_ms,omitempty"`
}

// The commands.
type (
	// PutSheet replaces the sheet.
	PutSheet struct {
		Order
		Sheet *sheet.Sheet `json:"sheet"`
	}
	// PatchSheet changes some cells of the sheet.
	PatchSheet struct {
		Order
		Changes []sheet.Change `json:"changes"`
	}
	// MergeSheet adds rows to the sheet, or replaces them by name, after it
	// removed others.
	MergeSheet struct {
		Order
		Upsert *sheet.Sheet  `json:"upsert,omitempty"`
		Remove sheet.Removal `json:"remove"`
	}
	// Evacuate empties a region, or a zone as region/zone. It is harmless when
	// repeated.
	Evacuate struct {
		Order
		Zone string `json:"locality"`
	}
	// Restore takes a region or zone back that was evacuated. It is harmless
	// when repeated.
	Restore struct {
		Order
		Zone string `json:"locality"`
	}
	// AddMembers puts processes on the roster. Names that are on it stay as
	// they are. While an earlier change isn't settled it is refused with
	// EpochBehind, to be tried again later.
	AddMembers struct {
		Members []Member `json:"members"`
		By      string   `json:"by,omitempty"`
	}
	// RemoveMembers takes names off the roster. Proposed by a core it is a
	// change that must be settled. Ordered by an operator, who vouches that
	// the machines are off, it holds at once: the names leave the prior roster
	// too, and count nowhere.
	RemoveMembers struct {
		Order
		Names []string `json:"names"`
		By    string   `json:"by,omitempty"`
	}
	// SettleRoster ends the change of RosterEpoch; for another one it is void.
	SettleRoster struct {
		RosterVersion uint64 `json:"roster_epoch"`
	}
	// TakeDuty claims the next term of a duty. The first in the log wins it.
	TakeDuty struct {
		Duty   string `json:"duty"`
		Term   uint64 `json:"term"`
		Holder string `json:"holder"`
	}
	// Noop fills a slot.
	Noop struct{}
)

// Apply replaces the sheet if the base still stands.
func (c PutSheet) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	order := c.seal()
	if result, done := s.before(order, true); done {
		return s, result
	}
	if apiErr := c.Sheet.Check(); apiErr != nil {
		return s, s.refused(apiErr)
	}
	summary := fmt.Sprintf("%d services, %d tenants", len(c.Sheet.Services), len(c.Sheet.Tenants))
	return s.install(c.Sheet, order).accept(order, sheet.VerbPut, summary)
}

// Apply changes the cells if the base still stands and the sheet stays sound.
func (c PatchSheet) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	order := c.seal()
	if result, done := s.before(order, true); done {
		return s, result
	}
	patched, apiErr := s.Sheet.Patch(c.Changes)
	if apiErr != nil {
		return s, s.refused(apiErr)
	}
	return s.install(patched, order).accept(order, sheet.VerbPatch, sheet.Summarize(c.Changes))
}

// Apply merges the rows if the base still stands and the sheet stays sound.
func (c MergeSheet) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	order := c.seal()
	if result, done := s.before(order, true); done {
		return s, result
	}
	merged := s.Sheet.Merged(c.Upsert, c.Remove)
	if apiErr := merged.Check(); apiErr != nil {
		return s, s.refused(apiErr)
	}
	summary := fmt.Sprintf("%d routes, %d services, %d tenants", len(merged.Routes), len(merged.Services), len(merged.Tenants))
	return s.install(merged, order).accept(order, sheet.VerbMerge, summary)
}

// Apply empties the zone; one that is empty already stays as it is.
func (c Evacuate) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	order := c.seal()
	if result, done := s.before(order, false); done {
		return s, result
	}
	if !sheet.ValidZoneName(c.Zone) {
		return s, s.result(apierror.UnknownZone, "%s is neither a region nor region/zone", strconv.Quote(strictjson.Excerpt(c.Zone)))
	}
	if _, empty := s.Evacuated[c.Zone]; !empty {
		s.Evacuated = cloned(s.Evacuated)
		s.Evacuated[c.Zone] = version
	}
	return s.accept(order, sheet.VerbEvacuate, c.Zone)
}

// Apply takes the zone back; one that isn't empty stays as it is.
func (c Restore) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	order := c.seal()
	if result, done := s.before(order, false); done {
		return s, result
	}
	if !sheet.ValidZoneName(c.Zone) {
		return s, s.result(apierror.UnknownZone, "%s is neither a region nor region/zone", strconv.Quote(strictjson.Excerpt(c.Zone)))
	}
	if _, empty := s.Evacuated[c.Zone]; empty {
		s.Evacuated = cloned(s.Evacuated)
		delete(s.Evacuated, c.Zone)
	}
	return s.accept(order, sheet.VerbRestore, c.Zone)
}

// Apply puts the new ones of the members on the roster.
func (c AddMembers) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	roster := s.Roster
	for _, member := range c.Members {
		if _, known := s.Roster[member.Name]; known || member.Name == "" {
			continue
		}
		if len(roster) == len(s.Roster) {
			roster = cloned(roster)
		}
		if _, twice := roster[member.Name]; !twice {
			roster[member.Name] = member
		}
	}
	return s.change(roster)
}

// Apply takes the names off the roster.
func (c RemoveMembers) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	byOperator := c.Operator != ""
	order := c.seal()
	if byOperator {
		if result, done := s.before(order, false); done {
			return s, result
		}
	}
	roster := without(s.Roster, c.Names)
	prior := without(s.PriorRoster, c.Names)
	if !byOperator {
		return s.change(roster)
	}
	if len(roster) == len(s.Roster) && len(prior) == len(s.PriorRoster) {
		return s, s.result(apierror.UnknownMember, "none of %s is on the roster", strictjson.Excerpt(strings.Join(c.Names, ", ")))
	}
	if sameNames(roster, prior) {
		prior = nil
	}
	s.Roster, s.PriorRoster, s.RosterVersion = roster, prior, version
	return s.accept(order, VerbRemove, strictjson.Excerpt(strings.Join(c.Names, ", ")))
}

// Apply ends the roster's change that it names.
func (c SettleRoster) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	if c.RosterVersion == s.RosterVersion {
		s.PriorRoster = nil
	}
	return s, s.result(apierror.OK, "")
}

// Apply gives the duty to the holder if the term is the next one.
func (c TakeDuty) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	current := s.Duties[c.Duty]
	if current == (Duty{Term: c.Term, Holder: c.Holder}) {
		return s, s.result(apierror.OK, "")
	}
	if c.Term != current.Term+1 || c.Duty == "" || c.Holder == "" {
		return s, s.result(apierror.BaseMoved, "term %d of %s is %s's", current.Term, c.Duty, current.Holder)
	}
	s.Duties = cloned(s.Duties)
	s.Duties[c.Duty] = Duty{Term: c.Term, Holder: c.Holder}
	return s, s.result(apierror.OK, "")
}

// Apply changes nothing but the version.
func (Noop) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	return s, s.result(apierror.OK, "")
}

func (s State) result(code apierror.Code, format string, args ...any) Result {
	return Result{Code: code, Version: s.Version, SheetVersion: s.SheetVersion, Detail: fmt.Sprintf(format, args...)}
}

func (s State) refused(apiErr *apierror.Error) Result {
	return Result{Code: apiErr.Code, Version: s.Version, SheetVersion: s.SheetVersion, Detail: apiErr.Detail}
}

func (s State) before(order Order, onBase bool) (Result, bool) {
	if order.OrderID != "" {
		if earlier, known := s.Applied(order.OrderID); known {
			if earlier.Digest != order.Digest {
				return s.result(apierror.OrderIDReused, "order %s was sent before to %s, and accepted at epoch %d", strictjson.Excerpt(order.OrderID), earlier.Verb, earlier.Version), true
			}
			return Result{Code: apierror.OK, Version: earlier.Version, SheetVersion: earlier.SheetVersion}, true
		}
	}
	if onBase && order.Revision > 0 {
		return s.beforeRevision(order)
	}
	if onBase && order.Base != s.SheetVersion {
		won := s.winner(order.Base)
		moved := s.result(apierror.BaseMoved, "base %d was taken by epoch %d; the sheet is at %d", order.Base, won, s.SheetVersion)
		if order.Base > s.SheetVersion {
			moved = s.result(apierror.BaseMoved, "base %d is not the sheet's; it is at %d", order.Base, s.SheetVersion)
		}
		moved.Version = won
		return moved, true
	}
	return Result{}, false
}

// beforeRevision holds an order that numbers its sheet to the number in force.
func (s State) beforeRevision(order Order) (Result, bool) {
	switch {
	case order.BaseRevision != s.Revision:
		return s.result(apierror.BaseMoved, "base revision %d is not the sheet's; it is at %d", order.BaseRevision, s.Revision), true
	case order.Revision <= s.Revision:
		return s.result(apierror.InvalidSheet, "revision %d is not above the sheet's, %d", order.Revision, s.Revision), true
	}
	return Result{}, false
}

// install puts a sheet in force at the state's version.
func (s State) install(sheet *sheet.Sheet, order Order) State {
	s.Sheet, s.SheetVersion = sheet, s.Version
	if order.Revision > 0 {
		s.Revision = order.Revision
	}
	return s
}

func (s State) accept(order Order, verb, summary string) (State, Result) {
	s = s.remember(Record{Version: s.Version, SheetVersion: s.SheetVersion, Operator: order.Operator, Verb: verb,
		OrderID: order.OrderID, Digest: order.Digest, AtMS: order.AtMS, Summary: summary})
	return s, s.result(apierror.OK, "")
}

func (s State) change(roster map[string]Member) (State, Result) {
	if len(roster) == len(s.Roster) {
		return s, s.result(apierror.OK, "")
	}
	if !s.Settled() {
		return s, s.result(apierror.VersionBehind, "the roster's change of epoch %d is not settled", s.RosterVersion)
	}
	s.PriorRoster, s.Roster, s.RosterVersion = s.Roster, roster, s.Version
	return s, s.result(apierror.OK, "")
}

func without(roster map[string]Member, names []string) map[string]Member {
	left := roster
	for _, name := range names {
		if _, known := left[name]; !known {
			continue
		}
		if len(left) == len(roster) {
			left = cloned(roster)
		}
		delete(left, name)
	}
	return left
}

func sameNames(a, b map[string]Member) bool {
	return maps.EqualFunc(a, b, func(Member, Member) bool { return true })
}

func cloned[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}
