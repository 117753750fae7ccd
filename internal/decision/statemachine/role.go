package statemachine

import "stepwick/internal/apierror"

// VerbAcquireRole is the verb of AcquireRole in the stored log.
const VerbAcquireRole = "duty"

// RoleTerm is a term of a singleton role and the member that holds the role in
// it.
type RoleTerm struct {
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
}

// AcquireRole claims the next term of a singleton role. The first claim of a term
// in the log wins, so the order of the log fences successive holders.
type AcquireRole struct {
	Role   string `json:"duty"`
	Term   uint64 `json:"term"`
	Holder string `json:"holder"`
}

// Verb implements Command.
func (AcquireRole) Verb() string { return VerbAcquireRole }

// Apply assigns the role to the claimant if the claim is for the next term. It
// also succeeds if the claimant already holds the claimed term. All other claims
// are rejected with BaseMoved.
func (c AcquireRole) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	current := state.Roles[c.Role]
	claimed := RoleTerm{Term: c.Term, Holder: c.Holder}
	if current == claimed {
		return state, state.result(apierror.OK, "")
	}
	if c.Term != current.Term+1 || c.Role == "" || c.Holder == "" {
		return state, state.result(apierror.BaseConflict, "%q can't claim term %d of role %q: the current term is %d, held by %q", c.Holder, c.Term, c.Role, current.Term, current.Holder)
	}
	state.Roles = cloneMap(state.Roles)
	state.Roles[c.Role] = claimed
	return state, state.result(apierror.OK, "")
}
