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
	// orderHedgeDelay is how long a core may take to answer an order before it is
	// also sent to the next one.
	orderHedgeDelay = 1500 * time.Millisecond
	// orderRetryAfter is when a client may retry an order that had no result.
	orderRetryAfter = time.Second
)

// orderForwarder forwards operators' orders to a core. An order has an id and is
// accepted once, so it may be sent to a second core while the first has not answered
// (hedged request).
type orderForwarder struct {
	self  string
	peers port.Peers
}

// Order sends an order to one core after another: to the next at once when one
// can't vote or refuses the connection, and after a while when it doesn't answer. It
// returns the first final answer. If there is none although a core may have received
// the order, the error is apierror.OutcomePending.
func (f *orderForwarder) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
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

// coresByPreference returns the known cores: this process first, then those that
// vote, then the others.
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

// orderAnswer is the result of sending an order to a core.
type orderAnswer struct {
	core string
	resp *wire.OrderResponse // nil where the call failed
	err  error
}

// isFinal reports whether an answer is the result of the order. Other cores may do
// better than one that can't vote.
func (a orderAnswer) isFinal() bool {
	if a.err != nil {
		return false
	}
	switch apierror.Code(a.resp.Code) {
	case apierror.CoreAmnesiac, apierror.CoreBlank, apierror.DiskFull, apierror.NoMajority, apierror.NotCore, apierror.CoreUnreachable:
		return false
	}
	return true
}

// orderForwarding is the forwarding of one order.
type orderForwarding struct {
	peers   port.Peers
	req     *wire.OrderRequest
	cores   []*wire.Process
	answers chan orderAnswer

	sent           int // cores to which the order was sent
	inFlight       int
	mayHaveArrived bool                // at a core whose call failed
	lastAnswer     *wire.OrderResponse // that isn't final
	failures       []string            // a core and why its call failed
}

func (o *orderForwarding) run(ctx context.Context) (*wire.OrderResponse, error) {
	o.sendToNext(ctx)
	for o.inFlight > 0 {
		hedge, stop := clock.NewTimer(orderHedgeDelay)
		select {
		case <-ctx.Done():
			stop()
			return o.unresolved()
		case <-hedge:
			o.sendToNext(ctx)
		case answer := <-o.answers:
			stop()
			o.inFlight--
			if answer.isFinal() {
				return answer.resp, nil
			}
			o.record(answer)
			o.sendToNext(ctx)
		}
	}
	if o.lastAnswer == nil && !o.mayHaveArrived {
		return nil, apierror.Errorf(apierror.CoreUnreachable, "no core of %d could be reached: %s",
			len(o.cores), strings.Join(o.failures, ", ")).WithRetryAfter(orderRetryAfter)
	}
	return o.unresolved()
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

// record takes an answer that isn't final.
func (o *orderForwarding) record(answer orderAnswer) {
	if answer.err == nil {
		o.lastAnswer = answer.resp
		return
	}
	if !port.IsConnectionRefused(answer.err) {
		o.mayHaveArrived = true
	}
	o.failures = append(o.failures, answer.core+" "+failureReason(answer.err))
}

// unresolved returns the last answer or, where there is none, an error: the order
// may have taken effect unless it only reads.
func (o *orderForwarding) unresolved() (*wire.OrderResponse, error) {
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

// failureReason describes why a call failed, for an operator.
func failureReason(err error) string {
	switch {
	case port.IsConnectionRefused(err):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return "silent"
	}
	return err.Error()
}

// isReadOnly reports whether an order's verb changes nothing.
func isReadOnly(verb string) bool { return verb == "get" || verb == "history" || verb == "status" }
