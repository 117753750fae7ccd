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
	// statusTimeout bounds how long a status call waits for a core. It is short because
	// operators request the status mostly when no core can be reached.
	statusTimeout = 3 * time.Second
	// responseMarginDivisor determines how much earlier than the call's time-out a core
	// must respond, so that the response arrives in time: by 1/16 of the time-out.
	responseMarginDivisor = 16
	// noCoreRetryAfter is how long a client should wait after a call that no core
	// answered.
	noCoreRetryAfter = time.Second
)

// order validates an order and forwards it. An order without an id gets one, so that
// it is applied once even if it is sent to two cores.
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

// withOrderID returns an order's body with order_id set to the id.
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

// read forwards a read of the replicated state.
func (x *exchange) read() reply { return x.forward(nil, "", x.api.config.OrderTimeout) }

// status returns the node's own status together with the fleet's status from a core,
// or with the error if no core answers within statusTimeout.
func (x *exchange) status() reply {
	code, node := x.api.inspector.Inspect(x.r.Context(), "status", "")
	if code != apierror.OK {
		return errorReply(apierror.Errorf(code, "status of this node"), "")
	}
	fleet := x.forward(nil, "", min(statusTimeout, x.api.config.OrderTimeout))
	body := struct {
		Code       apierror.Code   `json:"code"`
		Node       json.RawMessage `json:"node"`
		Fleet      json.RawMessage `json:"fleet,omitempty"`
		FleetError json.RawMessage `json:"fleet_fault,omitempty"`
	}{Node: node}
	if fleet.code == apierror.OK {
		body.Fleet = fleet.body
	} else {
		body.FleetError = fleet.body
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errorReply(apierror.From(err), "")
	}
	return reply{code: apierror.OK, body: data}
}

// inspect answers a query about this node.
func (x *exchange) inspect() reply {
	code, body := x.api.inspector.Inspect(x.r.Context(), x.call.Verb, x.argument)
	if code != apierror.OK {
		return errorReply(apierror.Errorf(code, "%s %s", x.call.Verb, x.argument), "")
	}
	return reply{code: code, body: body}
}

// forward sends the call to a core and waits for the response until the time-out.
func (x *exchange) forward(body []byte, orderID string, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(x.r.Context(), timeout)
	defer cancel()
	start := x.api.clock.Now()
	resp, err := x.api.orders.Order(ctx, &wire.OrderRequest{
		From:     x.api.config.NodeName,
		Operator: x.operator,
		Verb:     x.call.Verb,
		Body:     body,
		WaitMs:   uint32((timeout - timeout/responseMarginDivisor).Milliseconds()),
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

// noCoreAnswered returns the error for a call that timed out. An order may still have
// been accepted, so the client is advised to send it again with the same id.
func (x *exchange) noCoreAnswered() *apierror.Error {
	if x.call.Body != NoBody {
		return apierror.Errorf(apierror.OutcomePending, "no core answered in time; send the order again with its id").WithRetryAfter(noCoreRetryAfter)
	}
	return apierror.Errorf(apierror.NoMajority, "no core answered in time").WithRetryAfter(noCoreRetryAfter)
}
