package statemachine

import "stepwick/internal/apierror"

// VerbAcquireRole is the verb of AcquireRole, as the stored log has it.
const VerbAcquireRole = "duty"

// RoleTerm is the current term of a singleton role and the member that holds
// it.
type RoleTerm struct {
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
}

// AcquireRole claims the next term of a singleton role. The first claim in the
// log wins; the log's order is the fence between holders.
type AcquireRole struct {
	Role   string `json:"duty"`
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
}

// Verb implements Command.
func (AcquireRole) Verb() string { return VerbAcquireRole }

// Apply gives the role to the holder if the term is the next one, or is the
// holder's already; otherwise the code is BaseMoved.
func (c AcquireRole) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	current := state.Roles[c.Role]
	claimed := RoleTerm{Term: c.Term, Holder: c.Holder}
	if current == claimed {
		return state, state.result(apierror.OK, "")
	}
	if c.Term != current.Term+1 || c.Role == "" || c.Holder == "" {
		return state, state.result(apierror.BaseMoved, "term %d of %s is %s's", current.Term, c.Role, current.Holder)
	}
	state.Roles = cloned(state.Roles)
	state.Roles[c.Role] = claimed
	return state, state.result(apierror.OK, "")
}
