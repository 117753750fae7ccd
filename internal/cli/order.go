package cli

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"stepwick/internal/apierror"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const (
	// maxRetryInterval bounds a wait that a node advises.
	maxRetryInterval = time.Second
	// defaultOrderWait is how long an order is retried by default.
	defaultOrderWait = 15 * time.Second
)

// orderFlags are the flags of a command that gives an order.
type orderFlags struct {
	orderID string
	// wait is how long the order is sent again while its outcome is pending.
	wait time.Duration
	// The remaining flags are those of orders on the sheet.

	base   uint64
	dryRun bool
	quiet  bool
}

func (f *orderFlags) register(flags *pflag.FlagSet) {
	flags.StringVar(&f.orderID, "order-id", "", "the order's id; a random one when empty. The same id is accepted once")
	flags.DurationVar(&f.wait, "wait", defaultOrderWait, "how long to send the order again while its outcome is pending")
}

// registerForSheet also registers the flags of orders on the sheet.
func (f *orderFlags) registerForSheet(flags *pflag.FlagSet) {
	f.register(flags)
	flags.Uint64Var(&f.base, "base", 0, "the sheet epoch that the change builds on (default: that of the file if it has one, else the newest)")
	flags.BoolVar(&f.dryRun, "dry-run", false, "show the difference and stop")
	flags.BoolVarP(&f.quiet, "quiet", "q", false, "don't show the difference")
}

// id returns the order's id, which is drawn at the first call if none is given.
func (f *orderFlags) id(a *App) string {
	if f.orderID == "" {
		f.orderID = a.NewID()
	}
	return f.orderID
}

// orderResult is the response to an order that is in force.
type orderResult struct {
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	InForce      bool   `json:"in_force"`
	Confirmed    int    `json:"confirmed"`
	Roster       int    `json:"roster"`
	OrderID      string `json:"order_id"`
}

// submitOrder sends an order and prints its result.
func (a *App) submitOrder(command *cobra.Command, client *fleetClient, flags *orderFlags, method, path string, body any) error {
	result, err := client.order(command.Context(), method, controlPath+path, flags.id(a), body, flags.wait)
	if err != nil {
		return err
	}
	a.printf("epoch %d in force: confirmed by %d of %d on the roster (sheet epoch %d, order %s)\n",
		result.Version, result.Confirmed, result.Roster, result.SheetVersion, result.OrderID)
	return nil
}

// order sends an order and, while its outcome is pending, sends it again with
// the same id, to the next node each time, until the wait ends.
func (c *fleetClient) order(ctx context.Context, method, path, orderID string, body any, wait time.Duration) (*orderResult, error) {
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

// pendingOrder is an order that is sent until its outcome is known.
type pendingOrder struct {
	client   *fleetClient
	method   string
	path     string
	id       string
	body     []byte
	deadline time.Time
	// mayBeApplied is set once a node may have received the order. From then on
	// its outcome is unknown until a node responds.
	mayBeApplied bool
	// lastErr and retryInterval are of the last attempt.
	lastErr       *apierror.Error
	retryInterval time.Duration
}

// send makes one attempt. It returns the result or the final error; neither
// where the order should be sent again.
func (o *pendingOrder) send(ctx context.Context, attempt int) (*orderResult, error) {
	answer, err := o.client.call(ctx, attempt, o.method, o.path, o.body)
	if ctx.Err() != nil {
		return nil, o.interrupted()
	}
	o.retryInterval = retryInterval
	if unreachable := asUnreachable(err); unreachable != nil {
		return nil, o.handleUnreachable(unreachable)
	}
	if err != nil {
		return nil, err
	}
	if answer.apiErr != nil {
		return nil, o.handleError(answer.apiErr)
	}
	var result orderResult
	if err := answer.decode(&result); err != nil {
		return nil, err
	}
	return &result, nil
}

// handleUnreachable returns the error where no node can have the order; nil to
// send it again.
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

// handleError returns a node's error where it is final; nil to send the order
// again.
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
// error where the time is up or the command is interrupted.
func (o *pendingOrder) waitForRetry(ctx context.Context) error {
	clock := o.client.app.Clock
	reason := detailOrHelp(o.lastErr)
	if clock.Now().Add(o.retryInterval).After(o.deadline) {
		if !o.mayBeApplied {
			return o.lastErr
		}
		return o.stillPending(reason)
	}
	o.client.app.printErrorf("pending: %s; sending order %s again\n", strings.ReplaceAll(reason, "\n", "; "), o.id)
	select {
	case <-clock.After(o.retryInterval):
		return nil
	case <-ctx.Done():
		return o.interrupted()
	}
}

func (o *pendingOrder) interrupted() error { return o.stillPending("interrupted") }

// stillPending returns the error for an order whose outcome isn't known.
func (o *pendingOrder) stillPending(reason string) error {
	return apierror.Errorf(apierror.OutcomePending, "%s\nsend it again with --order-id %s", reason, o.id)
}
