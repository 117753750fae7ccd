package statemachine

import (
	"fmt"
	"maps"

	"stepwick/internal/apierror"
)

// Command is one entry of the log of agreed commands.
type Command interface {
	// Verb names the type of the command in the log.
	Verb() string
	// Apply returns the state at the given version and the outcome. A rejected
	// command uses its version and changes nothing else.
	Apply(s State, version uint64) (State, Result)
}

// Result is the outcome of a command, the same on every replica. Version is the
// version that the order made (for an order that is sent again, the earlier
// one), or for BaseMoved the one that changed its base first. SheetVersion is
// the sheet's version after the command.
type Result struct {
	Code         apierror.Code
	Version      uint64
	SheetVersion uint64
	Detail       string
}

// APIError returns the result as an error with its code, or nil for OK.
func (r Result) APIError() *apierror.Error {
	if r.Code == apierror.OK {
		return nil
	}
	return &apierror.Error{Code: r.Code, Detail: r.Detail}
}

// result returns an outcome at the state's versions.
func (s State) result(code apierror.Code, format string, args ...any) Result {
	return Result{
		Code:         code,
		Version:      s.Version,
		SheetVersion: s.SheetVersion,
		Detail:       fmt.Sprintf(format, args...),
	}
}

// rejected returns the outcome of a command that failed a check.
func (s State) rejected(apiErr *apierror.Error) Result {
	return Result{
		Code:         apiErr.Code,
		Version:      s.Version,
		SheetVersion: s.SheetVersion,
		Detail:       apiErr.Detail,
	}
}

// VerbNoop is the verb of Noop.
const VerbNoop = "noop"

// Noop fills a slot for which a new leader found no command.
type Noop struct{}

// Verb implements Command.
func (Noop) Verb() string { return VerbNoop }

// Apply changes nothing but the version.
func (Noop) Apply(s State, version uint64) (State, Result) {
	s.Version = version
	return s, s.result(apierror.OK, "")
}

// cloned returns a copy of a map that may be written; of nil, an empty one.
func cloned[V any](entries map[string]V) map[string]V {
	if entries == nil {
		return make(map[string]V)
	}
	return maps.Clone(entries)
}
