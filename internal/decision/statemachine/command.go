package statemachine

import (
	"fmt"
	"maps"

	"stepwick/internal/apierror"
)

// Command is one entry of the replicated log.
type Command interface {
	// Verb returns the name of the command's type in the stored log.
	Verb() string
	// Apply returns the state at the given version and the result. A rejected
	// command advances the version and changes nothing else.
	Apply(state State, version uint64) (State, Result)
}

// Result is the outcome of a command. It is the same on every replica.
//
// Version is the version at which the command was applied. For a replayed order
// it is the version of the first application, and for BaseMoved on a base version
// it is the first version that changed the sheet after that base. SheetVersion is
// the version of the sheet after the command.
type Result struct {
	Code         apierror.Code
	Version      uint64
	SheetVersion uint64
	Detail       string
}

// APIError returns the result as an API error, or nil if the code is OK.
func (r Result) APIError() *apierror.Error {
	if r.Code == apierror.OK {
		return nil
	}
	return &apierror.Error{Code: r.Code, Detail: r.Detail}
}

// result returns a result with the state's versions.
func (s State) result(code apierror.Code, format string, args ...any) Result {
	return Result{
		Code:         code,
		Version:      s.Version,
		SheetVersion: s.SheetVersion,
		Detail:       fmt.Sprintf(format, args...),
	}
}

// rejection returns the result of a command that failed validation.
func (s State) rejection(apiErr *apierror.Error) Result {
	return Result{
		Code:         apiErr.Code,
		Version:      s.Version,
		SheetVersion: s.SheetVersion,
		Detail:       apiErr.Detail,
	}
}

// VerbNoop is the verb of Noop.
const VerbNoop = "noop"

// Noop fills a log slot when there is no command to propose in it.
type Noop struct{}

// Verb implements Command.
func (Noop) Verb() string { return VerbNoop }

// Apply advances the version and changes nothing else.
func (Noop) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	return state, state.result(apierror.OK, "")
}

// cloneMap returns a shallow copy of a map. The copy of a nil map is empty and
// writable.
func cloneMap[V any](entries map[string]V) map[string]V {
	if entries == nil {
		return make(map[string]V)
	}
	return maps.Clone(entries)
}
