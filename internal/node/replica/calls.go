package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/wire/wireconnect"
)

// callOwner puts a question to the owner and waits for the answer.
func callOwner[T any](ctx context.Context, r *Replica, question func(o *owner, reply func(T, error))) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var none T
	o := r.owner.Load()
	if o == nil {
		return none, apierror.Errorf(apierror.CoreUnreachable, "the core's log is closed")
	}
	answers := make(chan answer, 1)
	asked := func(o *owner) { question(o, func(value T, err error) { answers <- answer{value, err} }) }
	select {
	case o.inbox <- asked:
	case <-o.stopped:
		return none, apierror.Errorf(apierror.CoreUnreachable, "the core's log is closed")
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case a := <-answers:
		return a.value, a.err
	case <-o.stopped:
		return none, apierror.Errorf(apierror.CoreUnreachable, "the core's log is closed")
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// callVoter reaches a voter: this core directly, others through the peers.
func callVoter[Q, A any](ctx context.Context, r *Replica, to string, req *Q, local func(context.Context, *Q) (*A, error),
	far func(wireconnect.PeerClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	if to == r.cfg.Self {
		return local(ctx, req)
	}
	process, known := r.peers.Process(to)
	if !known {
		return nil, errors.Errorf("core %s is not known here", to)
	}
	resp, err := far(r.peers.Client(process.Address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// callAll calls several cores at once. Enough answers end the wait early, after
// a grace in which the others may still come; enough of zero waits for all.
func callAll[T any](ctx context.Context, r *Replica, cores []string, timeout time.Duration, enough int, ask func(context.Context, string) (*T, error)) map[string]*T {
	type reply struct {
		core string
		resp *T
	}
	bound, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	replies := make(chan reply, len(cores))
	for _, core := range cores {
		go func() {
			resp, err := ask(bound, core)
			if err != nil {
				resp = nil
			}
			replies <- reply{core, resp}
		}()
	}
	answers := make(map[string]*T, len(cores))
	var grace <-chan time.Time
	for range cores {
		select {
		case a := <-replies:
			if a.resp != nil {
				answers[a.core] = a.resp
			}
		case <-grace:
			return answers
		case <-bound.Done():
			return answers
		}
		if enough > 0 && len(answers) >= enough && grace == nil {
			grace = r.clock.After(timeout / 20)
		}
	}
	return answers
}
