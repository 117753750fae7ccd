package control

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/lease"
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

const (
	// retryAfter is when a client should retry an order that was not decided.
	retryAfter = time.Second
	// orderTimeoutFactor bounds a stated time-out, as a multiple of the default.
	orderTimeoutFactor = 3
	// firstViewDivisor makes the first pause between rounds of lease views a
	// fraction of ViewInterval.
	firstViewDivisor = 8
)

// Order carries out an operator's order or read. An order is acknowledged once it
// is in force; if that is not known in time the answer is OutcomePending, and the
// same order submitted again to any core has the same result. Reads are answered
// from a majority or rejected. A rejection is an answer with its code, not an
// error; the error is the context's.
func (c *Controller) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.orderTimeout(req))
	defer cancel()
	select {
	case c.orderSlots <- struct{}{}:
		defer func() { <-c.orderSlots }()
	default:
		apiErr := apierror.Errorf(apierror.QueueFull, "%d orders are under way", maxOrders).WithRetryAfter(retryAfter)
		return errorResponse(apiErr, 0, ""), nil
	}
	switch req.Verb {
	case verbGet, verbHistory:
		return c.readState(ctx, req.Verb), nil
	case verbStatus:
		return c.status(ctx)
	}
	command, apiErr := c.parseOrder(req)
	if apiErr != nil {
		c.log.Emit(events.OrderRejected, "verb", req.Verb, "operator", req.Operator, "code", apiErr.Code)
		return errorResponse(apiErr, c.replica.Current().Version, ""), nil
	}
	return c.executeOrder(ctx, req, command), nil
}

func (c *Controller) orderTimeout(req *wire.OrderRequest) time.Duration {
	if req.WaitMs == 0 {
		return c.config.OrderTimeout
	}
	return min(time.Duration(req.WaitMs)*time.Millisecond, orderTimeoutFactor*c.config.OrderTimeout)
}

func (c *Controller) parseOrder(req *wire.OrderRequest) (statemachine.Command, *apierror.Error) {
	limits := statemachine.OrderLimits{MaxBytes: c.config.SheetMaxBytes, ValidateSetting: c.config.CheckSetting}
	command, apiErr := statemachine.ParseOrder(req.Verb, req.Operator, req.Body, limits, c.config.FleetNow().UnixMilli())
	if req.Operator == "" {
		return nil, apierror.Errorf(apierror.OperatorUnknown, "the order names no operator")
	}
	return command, apiErr
}

func (c *Controller) readState(ctx context.Context, verb string) *wire.OrderResponse {
	state, err := c.replica.ReadMajority(ctx)
	if err != nil {
		return errorResponse(undecided(err), 0, "")
	}
	if verb == verbHistory {
		return okResponse(historyBody{
			Version:      state.Version,
			SheetVersion: state.SheetVersion,
			History:      state.History,
		}, state.Version)
	}
	return okResponse(sheetBody{
		Version:      state.Version,
		SheetVersion: state.SheetVersion,
		Revision:     state.Revision,
		Sheet:        state.Sheet,
		Evacuated:    state.Evacuated,
	}, state.Version)
}

// undecided returns the error of a client whose read or proposal no majority has
// answered; a fault of this core keeps its code.
func undecided(err error) *apierror.Error {
	apiErr := apierror.From(err)
	switch apiErr.Code {
	case apierror.CoreBlank, apierror.CoreAmnesiac, apierror.DiskFull, apierror.NoMajority, apierror.OutcomePending:
		return apiErr.WithRetryAfter(retryAfter)
	}
	return apierror.Errorf(apierror.NoMajority, "no majority of the cores answered in time").WithRetryAfter(retryAfter)
}

// executeOrder proposes a command and waits until it is in force.
func (c *Controller) executeOrder(ctx context.Context, req *wire.OrderRequest, command statemachine.Command) *wire.OrderResponse {
	order, _ := statemachine.OrderOf(command)
	orderID := order.OrderID
	if result, final := c.finalResult(ctx, command); final {
		if result.Code != apierror.OK {
			return c.rejectOrder(req, result, orderID)
		}
		c.log.Emit(events.OrderReplayed, "order", orderID, "epoch", result.Version)
		return c.awaitInForce(ctx, result, orderID)
	}
	c.log.Emit(events.OrderProposed, "order", orderID, "verb", req.Verb, "operator", req.Operator)
	_, result, err := c.replica.Propose(ctx, statemachine.Encode(command))
	if err != nil {
		return c.proposalFailed(ctx, err, orderID)
	}
	if result.Code != apierror.OK {
		return c.rejectOrder(req, result, orderID)
	}
	c.log.Emit(events.OrderChosen, "order", orderID, "epoch", result.Version)
	return c.awaitInForce(ctx, result, orderID)
}

func (c *Controller) proposalFailed(ctx context.Context, err error, orderID string) *wire.OrderResponse {
	apiErr := undecided(err)
	if ctx.Err() != nil {
		apiErr = apierror.Errorf(apierror.OutcomePending, "the ballot has not ended; send the order again with its id").WithRetryAfter(retryAfter)
	}
	c.log.Emit(events.OrderPending, "order", orderID, "waiting", apiErr.Detail)
	return errorResponse(apiErr, 0, orderID)
}

// finalResult returns the result of a command where it is final without a
// proposal: the state here has executed it already, or the state of a majority
// rejects it. So an order that can't succeed uses up no version.
func (c *Controller) finalResult(ctx context.Context, command statemachine.Command) (result statemachine.Result, final bool) {
	state := c.replica.Current()
	if result, final = state.Predict(command); final {
		return result, true
	}
	if _, result = command.Apply(state, state.Version+1); result.Code == apierror.OK {
		return result, false
	}
	// The state here may be outdated, so only a majority's may reject.
	state, err := c.replica.ReadMajority(ctx)
	if err != nil {
		return statemachine.Result{}, false
	}
	_, result = command.Apply(state, state.Version+1)
	if result.Code != apierror.BaseMoved {
		result.Version = state.Version
	}
	return result, result.Code != apierror.OK
}

func (c *Controller) rejectOrder(req *wire.OrderRequest, result statemachine.Result, orderID string) *wire.OrderResponse {
	event := events.OrderRejected
	if result.Code == apierror.BaseMoved {
		event = events.OrderConflicted
	}
	c.log.Emit(event, "order", orderID, "verb", req.Verb, "operator", req.Operator, "code", result.Code, "epoch", result.Version)
	return errorResponse(result.APIError(), result.Version, orderID)
}

// awaitInForce requests the cores' lease views until the version is in force or the
// context ends. Cores answer when their part of the check is met, so a healthy
// fleet needs one round.
func (c *Controller) awaitInForce(ctx context.Context, result statemachine.Result, orderID string) *wire.OrderResponse {
	missing := "no core answered"
	pause := c.config.ViewInterval / firstViewDivisor
	for {
		state := c.replica.Current()
		check := c.newConfirmationCheck(result.Version, state)
		confirmed, reason := c.runCheck(ctx, &check, lease.VersionConfirmed)
		if confirmed {
			return c.acknowledgeOrder(check, result, orderID)
		}
		if ctx.Err() == nil {
			missing = reason
		}
		select {
		case <-ctx.Done():
			return c.orderPending(result, orderID, missing)
		case <-c.clock.After(pause):
			pause = min(2*pause, c.config.ViewInterval)
		}
	}
}

func (c *Controller) acknowledgeOrder(check lease.ConfirmationCheck, result statemachine.Result, orderID string) *wire.OrderResponse {
	count := lease.CountConfirmations(check)
	c.log.Emit(events.OrderAcknowledged, "order", orderID, "epoch", result.Version, "confirmed", count.Confirmed)
	return okResponse(confirmedBody{
		Version:      result.Version,
		SheetVersion: result.SheetVersion,
		InForce:      true,
		Confirmed:    count.Confirmed,
		Roster:       len(check.Roster),
		OrderID:      orderID,
	}, result.Version)
}

func (c *Controller) orderPending(result statemachine.Result, orderID, missing string) *wire.OrderResponse {
	c.log.Emit(events.OrderPending, "order", orderID, "epoch", result.Version, "waiting", missing)
	apiErr := apierror.Errorf(apierror.OutcomePending, "agreed at epoch %d and not known to be in force: %s; send the order again with its id", result.Version, missing)
	return errorResponse(apiErr.WithRetryAfter(retryAfter), result.Version, orderID)
}
