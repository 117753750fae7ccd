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

// Verbs of reads. All other verbs are those of the orders in package statemachine.
const (
	verbGet     = "get"
	verbHistory = "history"
	verbStatus  = "status"
)

const (
	// retryAfter is the delay after which a client should retry an order or read that
	// was not decided.
	retryAfter = time.Second
	// orderTimeoutFactor bounds the time-out that a request states, as a multiple of
	// OrderTimeout.
	orderTimeoutFactor = 3
	// delayedOrderAge is the time from the receipt of an order to its choice from which
	// the order is logged as delayed.
	delayedOrderAge = time.Second
	// firstViewDivisor is the ratio of ViewInterval to the first pause between rounds
	// of lease views.
	firstViewDivisor = 8
)

// Order executes an operator's order or read. An order is acknowledged once it is in
// force. If that is not confirmed before the time-out, the response has the code
// OutcomePending, and the order may be sent again to any core with the same result.
// The verbs get and history read from a majority of cores or are rejected; status
// returns this core's view. A rejection is a response with an error code, not an
// error; the error is the context's.
func (c *Controller) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.orderTimeout(req))
	defer cancel()
	select {
	case c.orderSlots <- struct{}{}:
		defer func() { <-c.orderSlots }()
	default:
		apiErr := apierror.Errorf(apierror.QueueFull, "%d orders are in progress, which is the limit", maxOrders).WithRetryAfter(retryAfter)
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
		return errorResponse(undecidedError(err), 0, "")
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

// undecidedError returns the API error for a read or proposal that failed without a
// decision. Codes that describe the state of this core or of the proposal are kept;
// any other error becomes NoMajority.
func undecidedError(err error) *apierror.Error {
	apiErr := apierror.From(err)
	switch apiErr.Code {
	case apierror.CoreBlank, apierror.CoreRecovering, apierror.DiskFull, apierror.NoMajority, apierror.OutcomePending:
		return apiErr.WithRetryAfter(retryAfter)
	}
	return apierror.Errorf(apierror.NoMajority, "no majority of the cores answered before the time-out").WithRetryAfter(retryAfter)
}

// executeOrder decides a command and waits until it is in force. An order on a zone that
// another one with the same effect precedes is decided again on the version of the latter.
func (c *Controller) executeOrder(ctx context.Context, req *wire.OrderRequest, command statemachine.Command) *wire.OrderResponse {
	order, _ := statemachine.OrderOf(command)
	result, err := c.decideOrder(ctx, req, command)
	for err == nil && result.Code == apierror.BaseConflict {
		rebased, ok := c.replica.Current().Rebase(command)
		if !ok {
			break
		}
		command = rebased
		result, err = c.decideOrder(ctx, req, command)
	}
	if err != nil {
		return c.proposalErrorResponse(ctx, err, order.OrderID)
	}
	if result.Code != apierror.OK {
		return c.rejectOrder(req, result, order.OrderID)
	}
	return c.awaitInForce(ctx, command, result)
}

// decideOrder returns the result of a command, which is proposed unless its result is final
// without that: an order that was accepted before is not proposed again. The error is that
// of a proposal without a decision.
func (c *Controller) decideOrder(ctx context.Context, req *wire.OrderRequest, command statemachine.Command) (statemachine.Result, error) {
	order, _ := statemachine.OrderOf(command)
	if result, final := c.finalResult(ctx, command); final {
		if result.Code == apierror.OK {
			c.log.Emit(events.OrderReplayed, "order", order.OrderID, "epoch", result.Version)
		}
		return result, nil
	}
	c.log.Emit(events.OrderProposed, "order", order.OrderID, "verb", req.Verb, "operator", req.Operator)
	proposedAt := c.clock.Now()
	proposed, err := c.proposableOrder(ctx, command)
	if err != nil {
		return statemachine.Result{}, err
	}
	_, result, err := c.replica.Propose(ctx, statemachine.Encode(proposed))
	if err != nil {
		return statemachine.Result{}, err
	}
	if age := c.clock.Now().Sub(proposedAt); age > delayedOrderAge {
		c.log.Emit(events.OrderDelayed, "order", order.OrderID, "verb", req.Verb, "epoch", result.Version, "code", result.Code, "age", age)
	}
	if result.Code == apierror.OK {
		c.log.Emit(events.OrderChosen, "order", order.OrderID, "epoch", result.Version, "verb", req.Verb)
	}
	return result, nil
}

func (c *Controller) proposalErrorResponse(ctx context.Context, err error, orderID string) *wire.OrderResponse {
	apiErr := undecidedError(err)
	if ctx.Err() != nil {
		apiErr = apierror.Errorf(apierror.OutcomePending, "it is not known whether the order was chosen; send the order again with its id").WithRetryAfter(retryAfter)
	}
	c.log.Emit(events.OrderPending, "order", orderID, "waiting", apiErr.Detail)
	return errorResponse(apiErr, 0, orderID)
}

// finalResult returns the result of a command if that is final without a proposal:
// this core's state shows that the command was already executed, or the state of a
// majority rejects it. An order that can't succeed therefore uses no version.
func (c *Controller) finalResult(ctx context.Context, command statemachine.Command) (result statemachine.Result, final bool) {
	state := c.replica.Current()
	if result, final = state.Predict(command); final {
		return result, true
	}
	if _, result = command.Apply(state, state.Version+1); result.Code == apierror.OK {
		return result, false
	}
	// This core's state may be outdated, so only a majority's may reject the order.
	state, err := c.replica.ReadMajority(ctx)
	if err != nil {
		return statemachine.Result{}, false
	}
	_, result = command.Apply(state, state.Version+1)
	if result.Code != apierror.BaseConflict {
		result.Version = state.Version
	}
	return result, result.Code != apierror.OK
}

func (c *Controller) rejectOrder(req *wire.OrderRequest, result statemachine.Result, orderID string) *wire.OrderResponse {
	event := events.OrderRejected
	if result.Code == apierror.BaseConflict {
		event = events.OrderConflicted
	}
	c.log.Emit(event, "order", orderID, "verb", req.Verb, "operator", req.Operator, "code", result.Code, "epoch", result.Version)
	return errorResponse(result.APIError(), result.Version, orderID)
}

// awaitInForce collects the cores' lease views until an accepted order is in force or the
// context ends. Cores answer when their part of the check is met, so in a healthy
// fleet one round is enough.
func (c *Controller) awaitInForce(ctx context.Context, command statemachine.Command, result statemachine.Result) *wire.OrderResponse {
	order, _ := statemachine.OrderOf(command)
	orderID := order.OrderID
	missing := "no core answered before the time-out"
	pause := c.config.ViewInterval / firstViewDivisor
	for {
		state := c.replica.Current()
		check := c.newConfirmationCheck(state.EffectiveVersion(command, result.Version), state)
		confirmed, unmet := c.runConfirmationRound(ctx, &check, lease.VersionConfirmed)
		if confirmed {
			return c.acknowledgeOrder(check, result, orderID)
		}
		if ctx.Err() == nil {
			missing = unmet
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
	apiErr := apierror.Errorf(apierror.OutcomePending, "chosen at epoch %d but not known to be in force: %s; send the order again with its id", result.Version, missing)
	return errorResponse(apiErr.WithRetryAfter(retryAfter), result.Version, orderID)
}
