package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/wire/wireconnect"
)

// answerGraceDivisor divides a call's timeout into the time that further answers
// may take once enough have arrived.
const answerGraceDivisor = 20

// callOwner has the owner answer a request and waits for the reply. Without a
// running owner it returns an error of the code CoreUnreachable.
func callOwner[T any](ctx context.Context, r *Replica, request func(o *owner, reply func(T, error))) (T, error) {
	type result struct {
		value T
		err   error
	}
	var zero T
	o := r.owner.Load()
	if o == nil {
		return zero, logClosedError()
	}
	results := make(chan result, 1)
	reply := func(value T, err error) { results <- result{value, err} }
	select {
	case o.inbox <- func(o *owner) { request(o, reply) }:
	case <-o.stopped:
		return zero, logClosedError()
	case <-ctx.Done():
		return zero, ctx.Err()
	}
	select {
	case result := <-results:
		return result.value, result.err
	case <-o.stopped:
		return zero, logClosedError()
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// callVoter calls this core directly, and others through the peers. It returns
// an *UnknownCoreError for one that the peers don't know.
func callVoter[Q, A any](ctx context.Context, r *Replica, voter string, req *Q, local func(context.Context, *Q) (*A, error),
	remote func(wireconnect.PeerClient, context.Context, *connect.Request[Q]) (*connect.Response[A], error)) (*A, error) {
	if voter == r.cfg.Self {
		return local(ctx, req)
	}
	process, known := r.peers.Process(voter)
	if !known {
		return nil, &UnknownCoreError{Core: voter}
	}
	resp, err := remote(r.peers.Client(process.Address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// callEach calls each core on a goroutine of its own and doesn't wait for them.
func callEach(ctx context.Context, cores []string, timeout time.Duration, call func(ctx context.Context, core string)) {
	for _, core := range cores {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			call(ctx, core)
		}()
	}
}

// callAll calls several cores at once and returns the answers by core, without
// those that failed. Once enough have answered, the others have a short grace;
// enough of zero waits for all of them.
func callAll[T any](ctx context.Context, r *Replica, cores []string, timeout time.Duration, enough int, call func(context.Context, string) (*T, error)) map[string]*T {
	type result struct {
		core string
		resp *T
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make(chan result, len(cores))
	for _, core := range cores {
		go func() {
			resp, err := call(ctx, core)
			if err != nil {
				resp = nil
			}
			results <- result{core, resp}
		}()
	}
	answers := make(map[string]*T, len(cores))
	var grace <-chan time.Time
	for range cores {
		select {
		case result := <-results:
			if result.resp != nil {
				answers[result.core] = result.resp
			}
		case <-grace:
			return answers
		case <-ctx.Done():
			return answers
		}
		if enough > 0 && len(answers) >= enough && grace == nil {
			grace = r.clock.After(timeout / answerGraceDivisor)
		}
	}
	return answers
}
