package controlapi

import (
	"context"
	"encoding/json"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

const (
	// statusTimeout bounds how long a status call waits for a core.
	statusTimeout = 3 * time.Second
	// coreTimeMargin is the part of a call's time, as its reciprocal, by which a
	// core must answer sooner, so that its answer arrives in time.
	coreTimeMargin = 16
	// noCoreRetryAfter is when a call that no core answered should be retried.
	noCoreRetryAfter = time.Second
)

// order checks an order and forwards it under its id; one without an id gets
// one, so that it may be sent to two cores and is applied once.
func (x *exchange) order() reply {
	limits := statemachine.OrderLimits{MaxBytes: len(x.body), ValidateSetting: x.api.config.ValidateSetting}
	command, apiErr := statemachine.ParseOrder(x.call.Verb, x.operator, x.body, limits, 0)
	if apiErr != nil {
		return errorReply(apiErr, "")
	}
	order, _ := statemachine.OrderOf(command)
	orderID := order.OrderID
	if orderID == "" {
		orderID = x.api.config.NewOrderID()
	}
	body, apiErr := withOrderID(x.body, orderID)
	if apiErr != nil {
		return errorReply(apiErr, "")
	}
	return x.forward(body, orderID, x.api.config.OrderTimeout)
}

// withOrderID returns an order's body with the id in it.
func withOrderID(body []byte, orderID string) ([]byte, *apierror.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	var current string
	if json.Unmarshal(fields["order_id"], &current) == nil && current == orderID {
		return body, nil
	}
	quoted, err := json.Marshal(orderID)
	if err != nil {
		return nil, apierror.From(err)
	}
	fields["order_id"] = quoted
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, apierror.From(err)
	}
	return data, nil
}

// read forwards a question about the agreed state.
func (x *exchange) read() reply { return x.forward(nil, "", x.api.config.OrderTimeout) }

// status joins the node's own status with the fleet's as a core has it. It waits
// for a core only briefly, since it is called most when no core can be reached.
func (x *exchange) status() reply {
	code, node := x.api.inspector.Inspect(x.r.Context(), "status", "")
	if code != apierror.OK {
		return errorReply(apierror.Errorf(code, "status"), "")
	}
	fleet := x.forward(nil, "", min(statusTimeout, x.api.config.OrderTimeout))
	body := struct {
		Code       apierror.Code   `json:"code"`
		Node       json.RawMessage `json:"node"`
		Fleet      json.RawMessage `json:"fleet,omitempty"`
		FleetFault json.RawMessage `json:"fleet_fault,omitempty"`
	}{Node: node}
	if fleet.code == apierror.OK {
		body.Fleet = fleet.body
	} else {
		body.FleetFault = fleet.body
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errorReply(apierror.From(err), "")
	}
	return reply{code: apierror.OK, body: data}
}

// inspect answers a question about this node.
func (x *exchange) inspect() reply {
	code, body := x.api.inspector.Inspect(x.r.Context(), x.call.Verb, x.argument)
	if code != apierror.OK {
		return errorReply(apierror.Errorf(code, "%s %s", x.call.Verb, x.argument), "")
	}
	return reply{code: code, body: body}
}

// forward sends the call to a core and waits for its response until the
// time-out.
func (x *exchange) forward(body []byte, orderID string, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(x.r.Context(), timeout)
	defer cancel()
	start := x.api.clock.Now()
	resp, err := x.api.orders.Order(ctx, &wire.OrderRequest{
		From:     x.api.config.NodeName,
		Operator: x.operator,
		Verb:     x.call.Verb,
		Body:     body,
		WaitMs:   uint32((timeout - timeout/coreTimeMargin).Milliseconds()),
	})
	if err != nil {
		apiErr := apierror.From(err)
		if ctx.Err() != nil && apiErr.Code == apierror.Internal {
			apiErr = x.noCoreAnswered()
		}
		return errorReply(apiErr, orderID)
	}
	took := x.api.clock.Now().Sub(start)
	x.api.log.Emit(events.OrderForwarded, "order", orderID, "verb", x.call.Verb, "operator", x.operator,
		"code", apierror.Code(resp.Code), "took", took)
	return coreReply(resp, orderID)
}

// noCoreAnswered returns the error for a call that timed out. The outcome of an
// order is then unknown.
func (x *exchange) noCoreAnswered() *apierror.Error {
	if x.call.Body != NoBody {
		return apierror.Errorf(apierror.OutcomePending, "no core answered in time; send the order again with its id").WithRetryAfter(noCoreRetryAfter)
	}
	return apierror.Errorf(apierror.NoMajority, "no core answered in time").WithRetryAfter(noCoreRetryAfter)
}
