// Package controlapi is the operators' HTTP API, the same at every node. Each
// call is declared as a row of a table, with its handler.
//
// Orders and reads of the agreed state are checked here and forwarded to a core
// by an OrderClient; questions about the node itself go to an Inspector. The
// package holds no state of the fleet and decides nothing: the cores check an
// order again. Calls in flight are bounded; one too many is rejected at once.
package controlapi

import (
	"net/http"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
)

const (
	prefix        = "/v1/control/"
	maxOrderBytes = 64 << 10
)

// Body is the kind of body that a call takes.
type Body string

// Bodies of calls. SheetBody is bounded by the setting sheet.max, OrderBody by
// 64 KiB.
const (
	NoBody    Body = "none"
	OrderBody Body = "order"
	SheetBody Body = "sheet"
)

// Call declares one call of the API.
type Call struct {
	Method string
	// Path may end in the name of its argument in braces.
	Path string
	// Verb names the order or question to the core or the inspector.
	Verb string
	Body Body
	// Query is the name of the parameter that the call takes, if any.
	Query  string
	Help   string
	handle func(*exchange) reply
}

// Routes returns the calls of the API in the order of the pages.
func Routes() []Call { return append([]Call(nil), calls...) }

var calls = []Call{
	{
		Method: http.MethodGet,
		Path:   prefix + "sheet",
		Verb:   "get",
		Body:   NoBody,
		Help:   "The sheet, its epochs and what is evacuated, read from a majority of the cores.",
		handle: (*exchange).read,
	},
	{
		Method: http.MethodPut,
		Path:   prefix + "sheet",
		Verb:   sheet.VerbPut,
		Body:   SheetBody,
		Help:   "Replaces the sheet that stands at the base epoch.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodPatch,
		Path:   prefix + "sheet",
		Verb:   sheet.VerbPatch,
		Body:   SheetBody,
		Help:   "Changes cells of the sheet that stands at the base epoch.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodGet,
		Path:   prefix + "history",
		Verb:   "history",
		Body:   NoBody,
		Help:   "The accepted orders that are remembered, oldest first, read from a majority of the cores.",
		handle: (*exchange).read,
	},
	{
		Method: http.MethodPost,
		Path:   prefix + "evacuate",
		Verb:   sheet.VerbEvacuate,
		Body:   OrderBody,
		Help:   "Empties a region or a locality, whatever the sheet says.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodPost,
		Path:   prefix + "restore",
		Verb:   sheet.VerbRestore,
		Body:   OrderBody,
		Help:   "Takes an evacuated region or locality back.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodPost,
		Path:   prefix + "members/remove",
		Verb:   statemachine.VerbRemoveMembers,
		Body:   OrderBody,
		Help:   "Takes members off the roster whose machines are known to be off.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodGet,
		Path:   prefix + "status",
		Verb:   "status",
		Body:   NoBody,
		Help:   "The asked node's view, and the fleet as a core sees it or why no core answered.",
		handle: (*exchange).status,
	},
	{
		Method: http.MethodGet,
		Path:   prefix + "plan",
		Verb:   "plan",
		Body:   NoBody,
		Help:   "The period plan that the asked node goes by.",
		handle: (*exchange).inspect,
	},
	{
		Method: http.MethodGet,
		Path:   prefix + "tally",
		Verb:   "tally",
		Body:   NoBody,
		Query:  "tenant",
		Help:   "The tenants' spend as the asked node knows it.",
		handle: (*exchange).inspect,
	},
	{
		Method: http.MethodGet,
		Path:   prefix + "explain/{id}",
		Verb:   "explain",
		Body:   NoBody,
		Help:   "Why a request went where it went, from the node that handled it.",
		handle: (*exchange).inspect,
	},
}

// findCall returns the call of a method and path, and the path's argument. For
// BadMethod, the argument lists the methods that the path takes.
func findCall(method, path string) (*Call, string, *apierror.Error) {
	var otherMethods []string
	for i := range calls {
		call := &calls[i]
		argument, matches := call.match(path)
		if !matches {
			continue
		}
		if call.Method == method {
			return call, argument, nil
		}
		otherMethods = append(otherMethods, call.Method)
	}
	if len(otherMethods) > 0 {
		allowed := strings.Join(otherMethods, ", ")
		return nil, allowed, apierror.Errorf(apierror.BadMethod, "it takes %s", allowed)
	}
	return nil, "", apierror.Errorf(apierror.UnknownPath, "")
}

// match reports whether the path is the call's, and returns its argument.
func (c *Call) match(path string) (argument string, matches bool) {
	stem, _, takesArgument := strings.Cut(c.Path, "{")
	if !takesArgument {
		return "", path == c.Path
	}
	argument, below := strings.CutPrefix(path, stem)
	if !below || argument == "" || strings.Contains(argument, "/") {
		return "", false
	}
	return argument, true
}
