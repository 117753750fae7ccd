package node

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

const (
	orderDrainPollInterval = 10 * time.Millisecond
	// cancelledOrderPolls is the number of polls for which a drain waits for the results
	// of the orders that it has cancelled.
	cancelledOrderPolls = 10
)

// orderDrain lets the orders that a process is forwarding finish before the process ends.
// Its methods may be called from any goroutine.
type orderDrain struct {
	clock     clock.Clock
	inFlight  atomic.Int64
	closed    atomic.Bool     // whether new orders are rejected
	orders    context.Context // ends when the time of the drain is over, for all orders
	endOrders context.CancelFunc
}

func newOrderDrain(clock clock.Clock) *orderDrain {
	drain := &orderDrain{clock: clock}
	drain.orders, drain.endOrders = context.WithCancel(context.Background())
	return drain
}

// begin counts an order as in flight and returns its context, which also ends when the
// time of the drain is over. The caller must call finish, unless there is an error.
func (d *orderDrain) begin(ctx context.Context) (limited context.Context, finish func(), apiErr *apierror.Error) {
	// Counting before the check ensures that a drain waits for each order that passes it.
	d.inFlight.Add(1)
	if d.closed.Load() {
		d.inFlight.Add(-1)
		return nil, nil, apierror.Errorf(apierror.FrontDraining, "the node is shutting down; send the order to another node").WithRetryAfter(orderRetryAfter)
	}
	limited, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(d.orders, cancel)
	return limited, func() {
		stop()
		cancel()
		d.inFlight.Add(-1)
	}, nil
}

// wait rejects new orders and waits until none is in flight. If the context ends first, it
// cancels them, so that their callers get an answer, and returns the context's error.
func (d *orderDrain) wait(ctx context.Context) error {
	d.closed.Store(true)
	for d.inFlight.Load() > 0 {
		select {
		case <-d.clock.After(orderDrainPollInterval):
		case <-ctx.Done():
			d.cancelOrders()
			return ctx.Err()
		}
	}
	return nil
}

func (d *orderDrain) cancelOrders() {
	d.endOrders()
	for range cancelledOrderPolls {
		if d.inFlight.Load() == 0 {
			return
		}
		<-d.clock.After(orderDrainPollInterval)
	}
}
