package node

import (
	"context"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const (
	// orderHedgeDelay is the time without an answer after which an order is also sent
	// to the next core.
	orderHedgeDelay = 1500 * time.Millisecond
	// orderRetryAfter is the time after which a client may retry an order without a
	// result.
	orderRetryAfter = time.Second
)

// orderForwarder forwards operators' orders to the cores. A second copy of an order does no
// harm: one with an id takes effect once, and one on a zone names its base, so that a copy is
// not applied after a later order. An order may therefore be sent to a second core while
// the first has not answered (hedged request).
type orderForwarder struct {
	self  string
	peers port.Peers
	drain *orderDrain
}

// Order sends an order to one core after another and returns the first final answer.
// The next core is tried immediately if a call fails or its answer is not final, and
// after orderHedgeDelay if there is no answer yet. Without a final answer, Order
// returns the last answer. Without any, the error is apierror.CoreUnreachable if no
// core received the order, and otherwise apierror.NoMajority for an order that only
// reads and apierror.OutcomePending for any other.
// While the process drains, the error is apierror.FrontDraining for a new order.
func (f *orderForwarder) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	ctx, finish, apiErr := f.drain.begin(ctx)
	if apiErr != nil {
		return nil, apiErr
	}
	defer finish()
	cores := f.coresByPreference()
	if len(cores) == 0 {
		return nil, apierror.Errorf(apierror.CoreUnreachable, "no core is known yet").WithRetryAfter(orderRetryAfter)
	}
	forwarding := &orderForwarding{
		peers:   f.peers,
		req:     req,
		cores:   cores,
		answers: make(chan orderAnswer, len(cores)),
	}
	return forwarding.run(ctx)
}

// coresByPreference returns the known cores: the voting ones, starting with this
// process, and then the others.
func (f *orderForwarder) coresByPreference() []*wire.Process {
	rank := func(core *wire.Process) int {
		switch {
		case core.Standing != wire.Standing_STANDING_VOTING:
			return 2
		case core.Name != f.self:
			return 1
		}
		return 0
	}
	cores := slices.Clone(f.peers.Cores())
	slices.SortStableFunc(cores, func(a, b *wire.Process) int { return rank(a) - rank(b) })
	return cores
}

// orderAnswer is the result of a call that sent an order to a core.
type orderAnswer struct {
	core string
	resp *wire.OrderResponse // nil if the call failed
	err  error
}

// isFinal reports whether an answer is the result of the order. It is not if the call
// failed, or if the core could not process the order and another one might.
func (a orderAnswer) isFinal() bool {
	if a.err != nil {
		return false
	}
	switch apierror.Code(a.resp.Code) {
	case apierror.CoreRecovering, apierror.CoreBlank, apierror.DiskFull, apierror.NoMajority, apierror.NotCore, apierror.CoreUnreachable:
		return false
	}
	return true
}

// orderForwarding is the state of forwarding a single order.
type orderForwarding struct {
	peers   port.Peers
	req     *wire.OrderRequest
	cores   []*wire.Process
	answers chan orderAnswer

	sent                int // number of cores to which the order was sent
	inFlight            int
	mayHaveBeenReceived bool                // by a core whose call failed
	lastAnswer          *wire.OrderResponse // last answer that is not final
	failures            []string            // "CORE: REASON" of calls that failed
}

// run sends the order until there is a final answer, all cores have been tried or the
// context ends.
func (o *orderForwarding) run(ctx context.Context) (*wire.OrderResponse, error) {
	o.sendToNext(ctx)
	for o.inFlight > 0 {
		hedge, stop := clock.NewTimer(orderHedgeDelay)
		select {
		case <-ctx.Done():
			stop()
			return o.unresolvedResult()
		case <-hedge:
			o.sendToNext(ctx)
		case answer := <-o.answers:
			stop()
			o.inFlight--
			if answer.isFinal() {
				return answer.resp, nil
			}
			o.recordNonFinal(answer)
			o.sendToNext(ctx)
		}
	}
	if o.lastAnswer == nil && !o.mayHaveBeenReceived {
		return nil, apierror.Errorf(apierror.CoreUnreachable, "none of %d cores could be reached: %s",
			len(o.cores), strings.Join(o.failures, ", ")).WithRetryAfter(orderRetryAfter)
	}
	return o.unresolvedResult()
}

// sendToNext sends the order to the next core, if there is one.
func (o *orderForwarding) sendToNext(ctx context.Context) {
	if o.sent == len(o.cores) {
		return
	}
	core := o.cores[o.sent]
	o.sent++
	o.inFlight++
	go func() {
		resp, err := o.peers.Client(core.Address).Order(ctx, connect.NewRequest(o.req))
		if err != nil {
			o.answers <- orderAnswer{core: core.Name, err: err}
			return
		}
		o.answers <- orderAnswer{core: core.Name, resp: resp.Msg}
	}()
}

// recordNonFinal records an answer that is not final.
func (o *orderForwarding) recordNonFinal(answer orderAnswer) {
	if answer.err == nil {
		o.lastAnswer = answer.resp
		return
	}
	if !port.IsConnectionRefused(answer.err) {
		o.mayHaveBeenReceived = true
	}
	o.failures = append(o.failures, answer.core+": "+failureReason(answer.err))
}

// unresolvedResult returns the last answer or, if there is none, an error. An order
// that does not only read may have taken effect.
func (o *orderForwarding) unresolvedResult() (*wire.OrderResponse, error) {
	if o.lastAnswer != nil {
		return o.lastAnswer, nil
	}
	reason := "no core answered in time"
	if len(o.failures) > 0 {
		reason += ": " + strings.Join(o.failures, ", ")
	}
	if isReadOnly(o.req.Verb) {
		return nil, apierror.Errorf(apierror.NoMajority, "%s", reason).WithRetryAfter(orderRetryAfter)
	}
	return nil, apierror.Errorf(apierror.OutcomePending, "%s; send the order again with its id", reason).WithRetryAfter(orderRetryAfter)
}

// failureReason returns the reason for a failed call in an error for operators.
func failureReason(err error) string {
	switch {
	case port.IsConnectionRefused(err):
		return "connection refused"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return "no answer in time"
	}
	return err.Error()
}

// isReadOnly reports whether orders with a verb only read.
func isReadOnly(verb string) bool { return verb == "get" || verb == "history" || verb == "status" }
