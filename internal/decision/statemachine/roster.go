package statemachine

import (
	"maps"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Verbs of the commands that change the roster, in requests and in the stored log.
const (
	VerbAddMembers    = "add"
	VerbRemoveMembers = "remove"
	VerbCommitRoster  = "settle"
)

// Member is one process of the roster, identified by its name: a process that
// restarts under the same name is the same member.
type Member struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Core   bool   `json:"core,omitempty"`
	Front  bool   `json:"front,omitempty"`
}

// AddMembers adds processes to the roster. Members that the roster already
// contains are left unchanged. While an earlier change of the roster is
// uncommitted, the command is rejected with VersionBehind and may be retried.
type AddMembers struct {
	Members    []Member `json:"members"`
	ProposedBy string   `json:"by,omitempty"`
	// RosterVersion is the version of the roster that the change was decided on; on
	// another one the command is rejected with VersionBehind. 0 means any.
	RosterVersion uint64 `json:"roster_epoch,omitempty"`
}

// RemoveMembers removes members from the roster. If a replica proposes it, the
// change must be committed like any other. If an operator orders it, having made
// sure that the machines are off, it takes effect immediately: the members are
// removed from the prior roster as well and count toward no quorum. If its order has a
// base, it is rejected once the roster has changed after that version: a machine of one
// of the names may have joined since.
type RemoveMembers struct {
	Order
	Names      []string `json:"names"`
	ProposedBy string   `json:"by,omitempty"`
	// RosterVersion is that of AddMembers, for a change proposed by a replica.
	RosterVersion uint64 `json:"roster_epoch,omitempty"`
}

// CommitRoster commits the change of the roster that was made at RosterVersion. It
// has no effect if RosterVersion is not the state's.
type CommitRoster struct {
	RosterVersion uint64 `json:"roster_epoch"`
}

// Verb implements Command.
func (AddMembers) Verb() string { return VerbAddMembers }

// Verb implements Command.
func (RemoveMembers) Verb() string { return VerbRemoveMembers }

// Verb implements Command.
func (CommitRoster) Verb() string { return VerbCommitRoster }

// Apply adds those members that are not on the roster yet.
func (c AddMembers) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	if result, outdated := state.checkRosterVersion(c.RosterVersion); outdated {
		return state, result
	}
	roster := state.Roster
	for _, member := range c.Members {
		if _, exists := state.Roster[member.Name]; exists || member.Name == "" {
			continue
		}
		if len(roster) == len(state.Roster) {
			roster = cloneMap(roster)
		}
		if _, repeated := roster[member.Name]; !repeated {
			roster[member.Name] = member
		}
	}
	return state.changeRoster(roster)
}

// Apply removes the members with the given names.
func (c RemoveMembers) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	if c.byOperator() {
		return c.applyByOperator(state)
	}
	if result, outdated := state.checkRosterVersion(c.RosterVersion); outdated {
		return state, result
	}
	return state.changeRoster(withoutMembers(state.Roster, c.Names))
}

// applyByOperator removes the members from both the roster and the prior roster.
func (c RemoveMembers) applyByOperator(state State) (State, Result) {
	order := c.order()
	if result, replayed := state.checkReplay(order); replayed {
		return state, result
	}
	if order.Base > 0 && order.Base < state.RosterVersion {
		return state, state.result(apierror.BaseConflict, "base %d: the roster changed at epoch %d", order.Base, state.RosterVersion)
	}
	roster := withoutMembers(state.Roster, c.Names)
	prior := withoutMembers(state.PriorRoster, c.Names)
	names := strictjson.Excerpt(strings.Join(c.Names, ", "))
	if len(roster) == len(state.Roster) && len(prior) == len(state.PriorRoster) {
		return state, state.result(apierror.UnknownMember, "none of %s is on the roster", names)
	}
	if sameNames(roster, prior) {
		prior = nil
	}
	state.Roster = roster
	state.PriorRoster = prior
	state.RosterVersion = state.Version
	return state.recordAccepted(order, c.Verb(), names)
}

// Apply commits the roster if it is at the command's RosterVersion.
func (c CommitRoster) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	if c.RosterVersion == state.RosterVersion {
		state.PriorRoster = nil
	}
	return state, state.result(apierror.OK, "")
}

// checkRosterVersion returns the rejection of a change that was decided on another
// version of the roster. The second result is false if the change is to be applied.
func (s State) checkRosterVersion(decidedOn uint64) (Result, bool) {
	if decidedOn == 0 || decidedOn == s.RosterVersion {
		return Result{}, false
	}
	return s.result(apierror.VersionBehind, "the change was decided on the roster of epoch %d; it is at epoch %d", decidedOn, s.RosterVersion), true
}

// RosterCommitted reports whether the last change of the roster is committed.
func (s State) RosterCommitted() bool { return len(s.PriorRoster) == 0 }

// changeRoster starts a change to the given roster, which contains either all of
// the current members or some of them only. A roster of the current size is
// therefore the current roster, and needs no change.
func (s State) changeRoster(roster map[string]Member) (State, Result) {
	if len(roster) == len(s.Roster) {
		return s, s.result(apierror.OK, "")
	}
	if !s.RosterCommitted() {
		return s, s.result(apierror.VersionBehind, "the roster change of epoch %d is not committed yet", s.RosterVersion)
	}
	s.PriorRoster = s.Roster
	s.Roster = roster
	s.RosterVersion = s.Version
	return s, s.result(apierror.OK, "")
}

// withoutMembers returns the roster without the named members. If it contains none
// of them, the same map is returned, otherwise a copy.
func withoutMembers(roster map[string]Member, names []string) map[string]Member {
	remaining := roster
	for _, name := range names {
		if _, exists := remaining[name]; !exists {
			continue
		}
		if len(remaining) == len(roster) {
			remaining = cloneMap(roster)
		}
		delete(remaining, name)
	}
	return remaining
}

// sameNames reports whether two rosters contain members of the same names.
func sameNames(a, b map[string]Member) bool {
	return maps.EqualFunc(a, b, func(Member, Member) bool { return true })
}

func (c RemoveMembers) order() Order {
	if !c.byOperator() {
		return c.Order
	}
	return c.withDigest(VerbRemoveMembers, func() any { return c.Names })
}

func (c RemoveMembers) byOperator() bool { return c.Operator != "" }

func (c RemoveMembers) withOrder(order Order) Command {
	c.Order = order
	return c
}
