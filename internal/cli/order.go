package cli

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"stepwick/internal/apierror"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const (
	// maxRetryInterval is the upper limit on the retry delay that a node advises.
	maxRetryInterval = time.Second
	// defaultOrderWait is the default of the flag --wait.
	defaultOrderWait = 15 * time.Second
)

// orderFlags are the flags of a command that sends an order.
type orderFlags struct {
	orderID string
	// wait is the time during which the order is sent again while its outcome is
	// pending.
	wait time.Duration
	// The remaining flags apply to orders that change the sheet.

	base   uint64
	dryRun bool
	quiet  bool
}

func (f *orderFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.orderID, "order-id", "", "id of the order, random if empty; an order is applied at most once per id")
	flags.DurationVar(&f.wait, "wait", defaultOrderWait, "how long to keep sending the order again while its outcome is pending")
}

// registerForSheet also registers the flags of orders that change the sheet.
func (f *orderFlags) registerForSheet(flags *pflag.FlagSet) {
	f.register(flags)
	flags.Uint64Var(&f.base, "base", 0, "the sheet epoch that the change is based on (default: the epoch in the file if it has one, else the newest)")
	flags.BoolVar(&f.dryRun, "dry-run", false, "show the difference without sending the order")
	flags.BoolVarP(&f.quiet, "quiet", "q", false, "do not show the difference")
}

// id returns the order's id. The first call generates one if none is given.
func (f *orderFlags) id(a *App) string {
	if f.orderID == "" {
		f.orderID = a.NewID()
	}
	return f.orderID
}

// orderResult is the body of the response to an order that is in force.
type orderResult struct {
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	InForce      bool   `json:"in_force"`
	Confirmed    int    `json:"confirmed"`
	Roster       int    `json:"roster"`
	OrderID      string `json:"order_id"`
}

// readBase reads the epoch that an order on a zone or the roster is based on, so that a
// copy of it that is delayed can't undo a later order. It repeats the read while that may
// succeed, until wait has passed.
func (c *fleetClient) readBase(ctx context.Context, wait time.Duration) (uint64, error) {
	deadline := c.app.Clock.Now().Add(wait)
	for {
		state, err := c.fetchSheet(ctx)
		if err == nil {
			return state.Version, nil
		}
		var apiErr *apierror.Error
		if !errors.As(err, &apiErr) || apiErr.Code.Info().Retry != apierror.RetrySame || c.app.Clock.Now().Add(retryInterval).After(deadline) {
			return 0, err
		}
		select {
		case <-c.app.Clock.After(retryInterval):
		case <-ctx.Done():
			return 0, errInterrupted
		}
	}
}

// submitOrder sends an order and prints its result.
func (a *App) submitOrder(command *cobra.Command, client *fleetClient, flags *orderFlags, method, path string, body any) error {
	result, err := client.sendOrder(command.Context(), method, controlPath+path, flags.id(a), body, flags.wait)
	if err != nil {
		return err
	}
	a.printf("epoch %d in force: confirmed by %d of %d on the roster (sheet epoch %d, order %s)\n",
		result.Version, result.Confirmed, result.Roster, result.SheetVersion, result.OrderID)
	return nil
}

// sendOrder sends an order and, while its outcome is pending, sends it again with
// the same id, each time to the next node, until wait has passed.
func (c *fleetClient) sendOrder(ctx context.Context, method, path, orderID string, body any, wait time.Duration) (*orderResult, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	order := &pendingOrder{
		client:   c,
		method:   method,
		path:     path,
		id:       orderID,
		body:     data,
		deadline: c.app.Clock.Now().Add(wait),
	}
	for attempt := 0; ; attempt++ {
		result, err := order.send(ctx, attempt)
		if err != nil || result != nil {
			return result, err
		}
		if err := order.waitForRetry(ctx); err != nil {
			return nil, err
		}
	}
}

// pendingOrder is an order that is sent again until its outcome is known.
type pendingOrder struct {
	client   *fleetClient
	method   string
	path     string
	id       string
	body     []byte
	deadline time.Time
	// mayBeApplied is set once a node may have received the order. Its outcome is
	// then unknown until a node reports it.
	mayBeApplied bool
	// lastErr and retryInterval are the error of the last attempt and the delay
	// before the next one.
	lastErr       *apierror.Error
	retryInterval time.Duration
}

// send makes one attempt. It returns the result or the final error, or nil for both
// if the order should be sent again.
func (o *pendingOrder) send(ctx context.Context, attempt int) (*orderResult, error) {
	resp, err := o.client.call(ctx, attempt, o.method, o.path, o.body)
	if ctx.Err() != nil {
		return nil, o.interruptedError()
	}
	o.retryInterval = retryInterval
	if unreachable := asUnreachable(err); unreachable != nil {
		return nil, o.handleUnreachable(unreachable)
	}
	if err != nil {
		return nil, err
	}
	if resp.apiErr != nil {
		return nil, o.handleError(resp.apiErr)
	}
	var result orderResult
	if err := resp.decode(&result); err != nil {
		return nil, err
	}
	return &result, nil
}

// handleUnreachable returns the final error if no node can have received the order,
// or nil if the order should be sent again.
func (o *pendingOrder) handleUnreachable(unreachable *unreachableError) error {
	o.lastErr = unreachable.apiError()
	if unreachable.mayHaveArrived {
		o.mayBeApplied = true
	}
	if !o.mayBeApplied {
		return o.lastErr
	}
	return nil
}

// handleError returns the error of a node if it is final, or nil if the order should
// be sent again.
func (o *pendingOrder) handleError(apiErr *apierror.Error) error {
	o.lastErr = apiErr
	if apiErr.Code.Info().Retry != apierror.RetrySame {
		return apiErr
	}
	if apiErr.Code == apierror.OutcomePending {
		o.mayBeApplied = true
	}
	o.retryInterval = max(o.retryInterval, min(apiErr.RetryAfter, maxRetryInterval))
	return nil
}

// waitForRetry waits until the order should be sent again. It returns the final
// error if the deadline would pass before that or the command is interrupted.
func (o *pendingOrder) waitForRetry(ctx context.Context) error {
	clock := o.client.app.Clock
	reason := detailOrHelp(o.lastErr)
	if clock.Now().Add(o.retryInterval).After(o.deadline) {
		if !o.mayBeApplied {
			return o.lastErr
		}
		return o.pendingError(reason)
	}
	o.client.app.printErrorf("pending: %s; sending order %s again\n", strings.ReplaceAll(reason, "\n", "; "), o.id)
	select {
	case <-clock.After(o.retryInterval):
		return nil
	case <-ctx.Done():
		return o.interruptedError()
	}
}

func (o *pendingOrder) interruptedError() error { return o.pendingError("interrupted") }

// pendingError returns the error for an order whose outcome is unknown.
func (o *pendingOrder) pendingError(reason string) error {
	return apierror.Errorf(apierror.OutcomePending, "%s\nto send the order again, use --order-id %s", reason, o.id)
}
