package control

import (
	"context"
	"encoding/json"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// Verbs that read and change nothing; the others are those of sheet's orders.
const (
	verbGet     = "get"
	verbHistory = "history"
	verbStatus  = "status"
)

const comeBack = time.Second

type orderAnswer struct {
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	InForce      bool   `json:"in_force"`
	Confirmed    int    `json:"confirmed"`
	Roster       int    `json:"roster"`
	OrderID      string `json:"order_id"`
}

type faultAnswer struct {
	apierror.ErrorBody
	OrderID string `json:"order_id,omitempty"`
}

type sheetAnswer struct {
	Version      uint64            `json:"epoch"`
	SheetVersion uint64            `json:"sheet_epoch"`
	Revision     uint64            `json:"revision,omitempty"`
	Sheet        *sheet.Sheet      `json:"sheet"`
	Evacuated    map[string]uint64 `json:"evacuated,omitempty"`
}

type historyAnswer struct {
	Version      uint64                `json:"epoch"`
	SheetVersion uint64                `json:"sheet_epoch"`
	History      []statemachine.Record `json:"history"`
}

// Order carries out an operator's call. Orders are acknowledged when they are
// in force; if that can't be had in time the answer is OutcomePending, and the
// same order sent again to any core gets the same result. Reads are answered
// by a majority or not at all. Faults come as an answer, not as an error.
func (c *Core) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	wait := c.config.OrderWait
	if req.WaitMs > 0 {
		wait = min(time.Duration(req.WaitMs)*time.Millisecond, 3*c.config.OrderWait)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case c.orders <- struct{}{}:
		defer func() { <-c.orders }()
	default:
		return faulty(apierror.Errorf(apierror.QueueFull, "%d orders are under way", orderBound).WithRetryAfter(comeBack), 0, ""), nil
	}
	switch req.Verb {
	case verbGet, verbHistory:
		return c.read(ctx, req.Verb), nil
	case verbStatus:
		return c.status(ctx)
	}
	command, apiErr := statemachine.ParseOrder(req.Verb, req.Operator, req.Body,
		statemachine.OrderLimits{MaxBytes: c.config.SheetMax, ValidateSetting: c.config.Setting}, c.config.FleetNow().UnixMilli())
	if req.Operator == "" {
		apiErr = apierror.Errorf(apierror.OperatorUnknown, "the order names no operator")
	}
	if apiErr != nil {
		c.log.Emit(events.OrderRefused, "verb", req.Verb, "operator", req.Operator, "code", apiErr.Code)
		return faulty(apiErr, c.agreement.Current().Version, ""), nil
	}
	return c.carry(ctx, req, command), nil
}

func (c *Core) read(ctx context.Context, verb string) *wire.OrderResponse {
	state, err := c.agreement.ReadMajority(ctx)
	if err != nil {
		return faulty(unread(err), 0, "")
	}
	if verb == verbHistory {
		return answered(historyAnswer{Version: state.Version, SheetVersion: state.SheetVersion, History: state.History}, state.Version)
	}
	return answered(sheetAnswer{Version: state.Version, SheetVersion: state.SheetVersion, Revision: state.Revision, Sheet: state.Sheet, Evacuated: state.Evacuated}, state.Version)
}

// unread says that a majority could not be asked; a fault of this core's own
// keeps its code.
func unread(err error) *apierror.Error {
	apiErr := apierror.From(err)
	switch apiErr.Code {
	case apierror.CoreBlank, apierror.CoreAmnesiac, apierror.DiskFull, apierror.NoMajority, apierror.OutcomePending:
		return apiErr.WithRetryAfter(comeBack)
	}
	return apierror.Errorf(apierror.NoMajority, "no majority of the cores answered in time").WithRetryAfter(comeBack)
}

// carry brings a command through its ballot and waits until it is in force.
func (c *Core) carry(ctx context.Context, req *wire.OrderRequest, command statemachine.Command) *wire.OrderResponse {
	order, _ := statemachine.OrderOf(command)
	id := order.OrderID
	if result, sure := c.foretell(ctx, command); sure && result.Code == apierror.OK {
		c.log.Emit(events.OrderRepeated, "order", id, "epoch", result.Version)
		return c.await(ctx, result, id)
	} else if sure {
		return c.refused(req, result, id)
	}
	c.log.Emit(events.OrderTaken, "order", id, "verb", req.Verb, "operator", req.Operator)
	_, result, err := c.agreement.Propose(ctx, statemachine.Encode(command))
	if err != nil {
		apiErr := unread(err)
		if ctx.Err() != nil {
			apiErr = apierror.Errorf(apierror.OutcomePending, "the ballot has not ended; send the order again with its id").WithRetryAfter(comeBack)
		}
		c.log.Emit(events.OrderPending, "order", id, "waiting", apiErr.Detail)
		return faulty(apiErr, 0, id)
	}
	if result.Code != apierror.OK {
		return c.refused(req, result, id)
	}
	c.log.Emit(events.OrderChosen, "order", id, "epoch", result.Version)
	return c.await(ctx, result, id)
}

// foretell returns the result that needs no ballot: what the learned state
// settles, and what a state read from a majority refuses. What can't be
// accepted leaves nothing behind.
func (c *Core) foretell(ctx context.Context, command statemachine.Command) (result statemachine.Result, sure bool) {
	state := c.agreement.Current()
	if result, sure = state.Predict(command); sure {
		return result, true
	}
	if _, result = command.Apply(state, state.Version+1); result.Code == apierror.OK {
		return result, false
	}
	state, err := c.agreement.ReadMajority(ctx)
	if err != nil {
		return statemachine.Result{}, false
	}
	_, result = command.Apply(state, state.Version+1)
	if result.Code != apierror.BaseMoved {
		result.Version = state.Version
	}
	return result, result.Code != apierror.OK
}

func (c *Core) refused(req *wire.OrderRequest, result statemachine.Result, id string) *wire.OrderResponse {
	event := events.OrderRefused
	if result.Code == apierror.BaseMoved {
		event = events.OrderLost
	}
	c.log.Emit(event, "order", id, "verb", req.Verb, "operator", req.Operator, "code", result.Code, "epoch", result.Version)
	return faulty(result.APIError(), result.Version, id)
}

// await asks all cores for their lease views until the version is in force. They
// answer when their part of it is met, so a fleet in good health is asked once.
func (c *Core) await(ctx context.Context, result statemachine.Result, id string) *wire.OrderResponse {
	why, pace := "no core answered", c.config.AckPace/8
	for {
		state := c.agreement.Current()
		question := lease.Question{Version: result.Version, Voters: len(c.agreement.Voters()), Roster: state.Roster, Prior: state.PriorRoster}
		met, reason := false, ""
		question.Views = c.views(ctx, &wire.LeaseViewRequest{Epoch: result.Version}, func(views []*wire.LeaseViewResponse) bool {
			question.Views = views
			met, reason = lease.InForce(question)
			return met
		})
		if !met {
			met, reason = lease.InForce(question)
		}
		if met {
			count := lease.Confirmations(question)
			c.log.Emit(events.OrderAcknowledged, "order", id, "epoch", result.Version, "confirmed", count.Confirmed)
			return answered(orderAnswer{Version: result.Version, SheetVersion: result.SheetVersion, InForce: true,
				Confirmed: count.Confirmed, Roster: len(state.Roster), OrderID: id}, result.Version)
		}
		if ctx.Err() == nil {
			why = reason
		}
		select {
		case <-ctx.Done():
			c.log.Emit(events.OrderPending, "order", id, "epoch", result.Version, "waiting", why)
			apiErr := apierror.Errorf(apierror.OutcomePending, "agreed at epoch %d and not known to be in force: %s; send the order again with its id", result.Version, why)
			return faulty(apiErr.WithRetryAfter(comeBack), result.Version, id)
		case <-c.clock.After(pace):
			pace = min(2*pace, c.config.AckPace)
		}
	}
}

func answered(body any, version uint64) *wire.OrderResponse {
	data, err := json.Marshal(body)
	if err != nil {
		return faulty(apierror.Errorf(apierror.Internal, "%v", err), version, "")
	}
	return &wire.OrderResponse{Code: uint32(apierror.OK), Body: data, Epoch: version}
}

func faulty(apiErr *apierror.Error, version uint64, id string) *wire.OrderResponse {
	body := faultAnswer{ErrorBody: apiErr.Body(""), OrderID: id}
	body.Version = version
	data, err := json.Marshal(body)
	if err != nil {
		data = nil
	}
	return &wire.OrderResponse{Code: uint32(apiErr.Code), Body: data, Epoch: version}
}
