package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/wire/wireconnect"
)

// responseGraceDivisor is the ratio between the timeout of a call to several cores
// and the time to wait for further responses after the required ones have arrived.
const responseGraceDivisor = 20

// callOwner runs a request on the owner's goroutine and waits for its reply. It
// returns an error with the code CoreUnreachable if the owner is not running.
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

// callProcess calls a process by its name: this core directly, others over the
// network. It returns an *UnknownProcessError if the address of the process is not
// known.
func callProcess[Req, Resp any](ctx context.Context, r *Replica, name string, req *Req, local func(context.Context, *Req) (*Resp, error),
	remote func(wireconnect.PeerClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	if name == r.cfg.Self {
		return local(ctx, req)
	}
	process, found := r.peers.Process(name)
	if !found {
		return nil, &UnknownProcessError{Name: name}
	}
	resp, err := remote(r.peers.Client(process.Address), ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// startCalls starts a call to each core on its own goroutine and returns without
// waiting for them.
func startCalls(ctx context.Context, cores []string, timeout time.Duration, call func(ctx context.Context, core string)) {
	for _, core := range cores {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			call(ctx, core)
		}()
	}
}

// collectResponses calls several cores concurrently and returns the successful
// responses by core. After the required number of responses it waits only a short
// time for the others; if required is zero, it waits for all until the timeout.
func collectResponses[T any](ctx context.Context, r *Replica, cores []string, timeout time.Duration, required int, call func(context.Context, string) (*T, error)) map[string]*T {
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
	responses := make(map[string]*T, len(cores))
	var grace <-chan time.Time
	for range cores {
		select {
		case result := <-results:
			if result.resp != nil {
				responses[result.core] = result.resp
			}
		case <-grace:
			return responses
		case <-ctx.Done():
			return responses
		}
		if required > 0 && len(responses) >= required && grace == nil {
			grace = r.clock.After(timeout / responseGraceDivisor)
		}
	}
	return responses
}
