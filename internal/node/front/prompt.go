package front

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/stage"
)

// retryPrompt attempts a prompt at one server after another until an event has
// reached the caller or the call fails for good.
func (c *call) retryPrompt(ctx context.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) *apierror.Error {
	for {
		server, apiErr := c.attemptPrompt(ctx, prompt, stream)
		if apiErr == nil || server == "" {
			return apiErr
		}
		c.recordRetry(server)
	}
}

// attemptPrompt makes one attempt. A server's name beside the error means that
// nothing has reached the caller, so another server may be tried.
func (c *call) attemptPrompt(ctx context.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) (string, *apierror.Error) {
	assigned, choice, apiErr := c.acquireServer(ctx)
	if apiErr != nil {
		return "", c.notBegunError(apiErr)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := c.front.clock.Now()
	// An early return or a panic leaves this failure to the routing table.
	failure := &backend.Failure{Kind: backend.Cancelled, Detail: "given up"}
	forwarder := &streamForwarder{call: c, stream: stream, began: began}
	defer func() {
		c.releaseServer(assigned, failure, began, forwarder.firstEvent)
		attempt := attemptRecord(choice.Server, failure, c.front.clock.Now().Sub(began))
		attempt.Events = forwarder.events
		attempt.FirstEventMS = milliseconds(forwarder.firstEvent)
		c.record(Entry{Attempt: attempt})
	}()
	queue := stage.NewQueue[backend.Event](c.front.config.StreamBuffer)
	go c.front.client.Generate(attemptCtx, c.newAttempt(choice), c.backendPrompt(prompt), queue)
	serverLost, apiErr := forwarder.forwardAll(queue.Items(), assigned.serverLost.Done())
	if apiErr != nil {
		return "", apiErr
	}
	if serverLost {
		failure = serverLostFailure(failure)
		return c.promptError(ctx, choice.Server, failure, false)
	}
	if !errors.As(queue.Cause(), &failure) {
		failure = nil
		return "", nil
	}
	c.logFailure(failure)
	return c.promptError(ctx, choice.Server, failure, stream.Begun())
}

func (c *call) backendPrompt(prompt *clientapi.Prompt) *backend.Prompt {
	return &backend.Prompt{
		Service:       prompt.Service,
		Prefix:        prompt.Prefix,
		PrefixKey:     fmt.Sprintf("%016x", c.request.Prefix),
		Session:       prompt.Session,
		PrefixTokens:  prompt.PrefixTokens,
		SessionTokens: prompt.SessionTokens,
		MaxTokens:     prompt.MaxTokens,
	}
}

// promptError converts the failure of an attempt to what the caller gets. It
// returns the server's name if another server may be tried.
func (c *call) promptError(ctx context.Context, server string, failure *backend.Failure, begun bool) (string, *apierror.Error) {
	switch {
	case failure.Kind == backend.SendForbidden && !begun:
		return "", c.notBegunError(failure.Cause)
	case ctx.Err() != nil && begun && c.rejection.Load() == nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "", errDeadlineDuringStream()
	case ctx.Err() != nil:
		return "", c.contextError(ctx, "no event came before the deadline")
	case begun:
		return "", apierror.Errorf(apierror.StreamCut, "%s", failure.Detail).WithRetryAfter(shortRetryAfter)
	}
	return server, apierror.Errorf(apierror.StreamNotBegun, "%s", failure.Detail)
}

// notBegunError returns the error of a prompt that no server has begun. A first
// attempt keeps its own code; after a retry it is StreamNotBegun, unless the
// caller left or lost its API key.
func (c *call) notBegunError(apiErr *apierror.Error) *apierror.Error {
	if len(c.request.TriedServers) == 0 || apiErr.Code == apierror.CallerGone || apiErr.Code == apierror.KeyRevoked {
		return apiErr
	}
	return apierror.Errorf(apierror.StreamNotBegun, "%s", apiErr.Error()).WithRetryAfter(max(apiErr.RetryAfter, shortRetryAfter))
}

func errDeadlineDuringStream() *apierror.Error {
	return apierror.Errorf(apierror.StreamCut, "the deadline passed while the stream ran").WithRetryAfter(shortRetryAfter)
}
