// Package controlapi is the operators' HTTP API, the same at every node. Each
// call is declared beside its handler. Orders and reads are checked here and
// handed to Orders, which relays them to a core; questions about the node's own
// view go to an Inspector.
package controlapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

const (
	smallBody = 64 << 10
	prefix    = "/v1/control/"
	viewWait  = 3 * time.Second
)

// Body says what body a call takes.
type Body string

// Bodies of calls. SheetBody is bounded by the setting sheet.max, OrderBody by
// 64 KiB.
const (
	NoBody    Body = "none"
	OrderBody Body = "order"
	SheetBody Body = "sheet"
)

// Call declares one call of the API. Path may end in one name in braces. Verb
// is the order or question that it is handed on as. Query names the parameter
// that it takes, if any.
type Call struct {
	Method string
	Path   string
	Verb   string
	Body   Body
	Query  string
	Help   string
	handle func(*exchange) answer
}

// Routes returns the calls of the API in the order of the pages.
func Routes() []Call { return append([]Call(nil), calls...) }

var calls = []Call{
	{http.MethodGet, prefix + "sheet", "get", NoBody, "",
		"The sheet, its epochs and what is evacuated, read from a majority of the cores.", (*exchange).read},
	{http.MethodPut, prefix + "sheet", sheet.VerbPut, SheetBody, "",
		"Replaces the sheet that stands at the base epoch.", (*exchange).order},
	{http.MethodPatch, prefix + "sheet", sheet.VerbPatch, SheetBody, "",
		"Changes cells of the sheet that stands at the base epoch.", (*exchange).order},
	{http.MethodGet, prefix + "history", "history", NoBody, "",
		"The accepted orders that are remembered, oldest first, read from a majority of the cores.", (*exchange).read},
	{http.MethodPost, prefix + "evacuate", sheet.VerbEvacuate, OrderBody, "",
		"Empties a region or a locality, whatever the sheet says.", (*exchange).order},
	{http.MethodPost, prefix + "restore", sheet.VerbRestore, OrderBody, "",
		"Takes an evacuated region or locality back.", (*exchange).order},
	{http.MethodPost, prefix + "members/remove", statemachine.VerbRemoveMembers, OrderBody, "",
		"Takes members off the roster whose machines are known to be off.", (*exchange).order},
	{http.MethodGet, prefix + "status", "status", NoBody, "",
		"The asked node's view, and the fleet as a core sees it or why no core answered.", (*exchange).status},
	{http.MethodGet, prefix + "plan", "plan", NoBody, "",
		"The period plan that the asked node goes by.", (*exchange).inspect},
	{http.MethodGet, prefix + "tally", "tally", NoBody, "tenant",
		"The tenants' spend as the asked node knows it.", (*exchange).inspect},
	{http.MethodGet, prefix + "explain/{id}", "explain", NoBody, "",
		"Why a request went where it went, from the node that handled it.", (*exchange).inspect},
}

// find returns the call of a method and path, and the name in its braces.
func find(method, path string) (*Call, string, *apierror.Error) {
	var others []string
	for i := range calls {
		call := &calls[i]
		argument := ""
		if stem, _, braces := strings.Cut(call.Path, "{"); braces {
			rest, below := strings.CutPrefix(path, stem)
			if !below || rest == "" || strings.Contains(rest, "/") {
				continue
			}
			argument = rest
		} else if path != call.Path {
			continue
		}
		if call.Method == method {
			return call, argument, nil
		}
		others = append(others, call.Method)
	}
	if len(others) > 0 {
		return nil, strings.Join(others, ", "), apierror.Errorf(apierror.BadMethod, "it takes %s", strings.Join(others, ", "))
	}
	return nil, "", apierror.Errorf(apierror.UnknownPath, "")
}

// order checks an order and hands it on under its id; one without an id gets
// one, so that a relay may hand it to two cores.
func (x *exchange) order() answer {
	command, apiErr := statemachine.ParseOrder(x.call.Verb, x.operator, x.body,
		statemachine.OrderLimits{MaxBytes: len(x.body), ValidateSetting: x.api.config.Setting}, 0)
	if apiErr != nil {
		return refused(apiErr, "")
	}
	order, _ := statemachine.OrderOf(command)
	id := order.OrderID
	if id == "" {
		id = x.api.config.NewID()
	}
	body, apiErr := withID(x.body, id)
	if apiErr != nil {
		return refused(apiErr, "")
	}
	return x.relay(body, id, x.api.config.OrderWait)
}

// read asks for what the cores agree on.
func (x *exchange) read() answer { return x.relay(nil, "", x.api.config.OrderWait) }

// status joins the node's own view with that of a core, which it waits for only
// a little, as it is asked most when cores are out of reach.
func (x *exchange) status() answer {
	code, own := x.api.inspector.Inspect(x.r.Context(), "status", "")
	if code != apierror.OK {
		return refused(apierror.Errorf(code, "status"), "")
	}
	fleet := x.relay(nil, "", min(viewWait, x.api.config.OrderWait))
	body := struct {
		Code       apierror.Code   `json:"code"`
		Node       json.RawMessage `json:"node"`
		Fleet      json.RawMessage `json:"fleet,omitempty"`
		FleetFault json.RawMessage `json:"fleet_fault,omitempty"`
	}{Node: own, Fleet: fleet.body}
	if fleet.code != apierror.OK {
		body.Fleet, body.FleetFault = nil, fleet.body
	}
	data, err := json.Marshal(body)
	if err != nil {
		return refused(apierror.From(err), "")
	}
	return answer{code: apierror.OK, body: data}
}

// inspect asks the node itself.
func (x *exchange) inspect() answer {
	code, body := x.api.inspector.Inspect(x.r.Context(), x.call.Verb, x.argument)
	if code != apierror.OK {
		return refused(apierror.Errorf(code, "%s %s", x.call.Verb, x.argument), "")
	}
	return answer{code: code, body: body}
}

func (x *exchange) relay(body []byte, id string, wait time.Duration) answer {
	ctx, cancel := context.WithTimeout(x.r.Context(), wait)
	defer cancel()
	began := x.api.clock.Now()
	resp, err := x.api.orders.Order(ctx, &wire.OrderRequest{From: x.api.config.From, Operator: x.operator,
		Verb: x.call.Verb, Body: body, WaitMs: uint32((wait - wait/16).Milliseconds())})
	if err != nil {
		apiErr := apierror.From(err)
		if ctx.Err() != nil && apiErr.Code == apierror.Internal {
			apiErr = apierror.Errorf(apierror.NoMajority, "no core answered in time").WithRetryAfter(time.Second)
			if x.call.Body != NoBody {
				apiErr = apierror.Errorf(apierror.OutcomePending, "no core answered in time; send the order again with its id").WithRetryAfter(time.Second)
			}
		}
		return refused(apiErr, id)
	}
	x.relayed(id, apierror.Code(resp.Code), x.api.clock.Now().Sub(began))
	return answered(resp, id)
}
