package statemachine

import (
	"maps"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Verbs of the commands that change the roster, as requests and the stored log
// have them.
const (
	VerbAddMembers    = "add"
	VerbRemoveMembers = "remove"
	VerbCommitRoster  = "settle"
)

// Member is one process of the roster. Names are identities: a restart under
// the same name is the same member.
type Member struct {
	Name   string `json:"name"`
	Region string `json:"region,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Core   bool   `json:"core,omitempty"`
	Front  bool   `json:"front,omitempty"`
}

// AddMembers adds processes to the roster. Members whose names are on it stay as
// they are. While an earlier change is uncommitted, it is rejected with
// VersionBehind, to be retried later.
type AddMembers struct {
	Members    []Member `json:"members"`
	ProposedBy string   `json:"by,omitempty"`
}

// RemoveMembers removes names from the roster. Proposed by a replica, it is a
// change that must be committed. Ordered by an operator, who vouches that the
// machines are off, it takes effect at once: the names leave the prior roster
// too, and count for no quorum.
type RemoveMembers struct {
	Order
	Names      []string `json:"names"`
	ProposedBy string   `json:"by,omitempty"`
}

// CommitRoster ends the change of the roster that was made at RosterVersion; for
// any other version it has no effect.
type CommitRoster struct {
	RosterVersion uint64 `json:"roster_epoch"`
}

// Verb implements Command.
func (AddMembers) Verb() string { return VerbAddMembers }

// Verb implements Command.
func (RemoveMembers) Verb() string { return VerbRemoveMembers }

// Verb implements Command.
func (CommitRoster) Verb() string { return VerbCommitRoster }

// Apply adds those of the members that are new.
func (c AddMembers) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	roster := state.Roster
	for _, member := range c.Members {
		if _, known := state.Roster[member.Name]; known || member.Name == "" {
			continue
		}
		if len(roster) == len(state.Roster) {
			roster = cloned(roster)
		}
		if _, repeated := roster[member.Name]; !repeated {
			roster[member.Name] = member
		}
	}
	return state.changeRoster(roster)
}

// Apply removes the names.
func (c RemoveMembers) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	if c.byOperator() {
		return c.applyAtOnce(s)
	}
	return s.changeRoster(withoutMembers(s.Roster, c.Names))
}

// applyAtOnce removes the names from the roster and from the prior one.
func (c RemoveMembers) applyAtOnce(state State) (State, Result) {
	order := c.order()
	if result, known := state.checkReplay(order); known {
		return state, result
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
	return state.accepted(order, c.Verb(), names)
}

// Apply commits the roster if its version is the one named.
func (c CommitRoster) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	if c.RosterVersion == s.RosterVersion {
		s.PriorRoster = nil
	}
	return s, s.result(apierror.OK, "")
}

// RosterCommitted reports whether the last change of the roster is committed.
func (s State) RosterCommitted() bool { return len(s.PriorRoster) == 0 }

// changeRoster starts a change to a roster that has members more or fewer; a
// roster of the same size is the current one.
func (s State) changeRoster(roster map[string]Member) (State, Result) {
	if len(roster) == len(s.Roster) {
		return s, s.result(apierror.OK, "")
	}
	if !s.RosterCommitted() {
		return s, s.result(apierror.VersionBehind, "the roster's change of epoch %d is not settled", s.RosterVersion)
	}
	s.PriorRoster = s.Roster
	s.Roster = roster
	s.RosterVersion = s.Version
	return s, s.result(apierror.OK, "")
}

// withoutMembers returns the roster without the names: the same map if it has
// none of them, otherwise a copy.
func withoutMembers(roster map[string]Member, names []string) map[string]Member {
	remaining := roster
	for _, name := range names {
		if _, known := remaining[name]; !known {
			continue
		}
		if len(remaining) == len(roster) {
			remaining = cloned(roster)
		}
		delete(remaining, name)
	}
	return remaining
}

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
