// Package controlapi implements the HTTP API for operators, which every node serves.
// Each call and its handler are declared in a table.
//
// Orders and reads of the replicated state are validated and forwarded to a core
// through an OrderClient. Queries about the node itself are answered by an Inspector.
// The package holds no state of the fleet and decides nothing: the cores validate each
// order again. The number of calls in flight is bounded; calls beyond the limit are
// rejected at once.
package controlapi

import (
	"net/http"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
)

const (
	controlPathPrefix = "/v1/control/"
	maxOrderBytes     = 64 << 10
)

// BodyKind is the kind of body that a call accepts.
type BodyKind string

// Kinds of bodies. A SheetBody is bounded by Config.MaxSheetBytes, an OrderBody by
// 64 KiB.
const (
	NoBody    BodyKind = "none"
	OrderBody BodyKind = "order"
	SheetBody BodyKind = "sheet"
)

// Call declares one call of the API.
type Call struct {
	Method string
	// Path may end in the name of an argument in braces.
	Path string
	// Verb identifies the call to the core or the Inspector.
	Verb string
	Body BodyKind
	// QueryParameter is the name of the query parameter that the call accepts, "" for
	// none.
	QueryParameter string
	Help           string
	handle         func(*exchange) reply
}

// Calls returns the calls of the API in the order of the documentation.
func Calls() []Call { return append([]Call(nil), calls...) }

var calls = []Call{
	{
		Method: http.MethodGet,
		Path:   controlPathPrefix + "sheet",
		Verb:   "get",
		Body:   NoBody,
		Help:   "Returns the sheet, its epochs and the evacuated zones, read from a majority of the cores.",
		handle: (*exchange).read,
	},
	{
		Method: http.MethodPut,
		Path:   controlPathPrefix + "sheet",
		Verb:   sheet.VerbPut,
		Body:   SheetBody,
		Help:   "Replaces the sheet if its epoch is still the base epoch.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodPatch,
		Path:   controlPathPrefix + "sheet",
		Verb:   sheet.VerbPatch,
		Body:   SheetBody,
		Help:   "Changes cells of the sheet if its epoch is still the base epoch.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodGet,
		Path:   controlPathPrefix + "history",
		Verb:   "history",
		Body:   NoBody,
		Help:   "Returns the accepted orders in the history, oldest first, read from a majority of the cores.",
		handle: (*exchange).read,
	},
	{
		Method: http.MethodPost,
		Path:   controlPathPrefix + "evacuate",
		Verb:   sheet.VerbEvacuate,
		Body:   OrderBody,
		Help:   "Evacuates a region or a zone, regardless of the sheet.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodPost,
		Path:   controlPathPrefix + "restore",
		Verb:   sheet.VerbRestore,
		Body:   OrderBody,
		Help:   "Ends the evacuation of a region or a zone.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodPost,
		Path:   controlPathPrefix + "members/remove",
		Verb:   statemachine.VerbRemoveMembers,
		Body:   OrderBody,
		Help:   "Removes members from the roster; the operator must have made sure that their machines are off.",
		handle: (*exchange).order,
	},
	{
		Method: http.MethodGet,
		Path:   controlPathPrefix + "status",
		Verb:   "status",
		Body:   NoBody,
		Help:   "Returns the status of the node that serves the call, and the status of the fleet from a core or why no core answered.",
		handle: (*exchange).status,
	},
	{
		Method: http.MethodGet,
		Path:   controlPathPrefix + "plan",
		Verb:   "plan",
		Body:   NoBody,
		Help:   "Returns the plan that the node applies in the current period.",
		handle: (*exchange).inspect,
	},
	{
		Method:         http.MethodGet,
		Path:           controlPathPrefix + "tally",
		Verb:           "tally",
		Body:           NoBody,
		QueryParameter: "tenant",
		Help:           "Returns the spend of the tenants as the node estimates it.",
		handle:         (*exchange).inspect,
	},
	{
		Method: http.MethodGet,
		Path:   controlPathPrefix + "explain/{id}",
		Verb:   "explain",
		Body:   NoBody,
		Help:   "Explains how a request was routed; the node must be the one that handled it.",
		handle: (*exchange).inspect,
	},
}

// findCall returns the call for a method and path, and the argument in the path. If
// the error is BadMethod, the second result is the list of methods for the Allow
// header instead.
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
		return nil, allowed, apierror.Errorf(apierror.BadMethod, "allowed methods: %s", allowed)
	}
	return nil, "", apierror.Errorf(apierror.UnknownPath, "")
}

// match reports whether the call has the path, and returns the argument in it.
func (c *Call) match(path string) (argument string, matches bool) {
	fixedPart, _, takesArgument := strings.Cut(c.Path, "{")
	if !takesArgument {
		return "", path == c.Path
	}
	argument, hasFixedPart := strings.CutPrefix(path, fixedPart)
	if !hasFixedPart || argument == "" || strings.Contains(argument, "/") {
		return "", false
	}
	return argument, true
}
