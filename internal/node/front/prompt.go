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

// retryPrompt tries servers one after another until an event has been forwarded to
// the caller or the error does not permit a retry.
func (c *call) retryPrompt(ctx context.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) *apierror.Error {
	for {
		server, apiErr := c.attemptPrompt(ctx, prompt, stream)
		if apiErr == nil || server == "" {
			return apiErr
		}
		c.recordRetry(server)
	}
}

// attemptPrompt makes one attempt. If it returns an error and a server's name,
// nothing was sent to the caller and another server may be tried.
func (c *call) attemptPrompt(ctx context.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) (string, *apierror.Error) {
	assigned, choice, apiErr := c.acquireServer(ctx)
	if apiErr != nil {
		return "", c.notBegunError(apiErr)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := c.front.clock.Now()
	// This failure is reported on a panic or if forwarding fails.
	failure := &backend.Failure{Kind: backend.Cancelled, Detail: "the front ended the attempt"}
	forwarder := &streamForwarder{call: c, stream: stream, startedAt: startedAt}
	defer func() {
		c.releaseServer(assigned, failure, startedAt, forwarder.firstEvent)
		attempt := attemptRecord(choice.Server, failure, c.front.clock.Now().Sub(startedAt))
		attempt.Events = forwarder.events
		attempt.FirstEventMS = milliseconds(forwarder.firstEvent)
		c.record(JournalEntry{Attempt: attempt})
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

// promptError converts the failure of an attempt to the error for the caller. It
// also returns the server's name if another server may be tried. The argument begun
// reports whether an event was forwarded to the caller.
func (c *call) promptError(ctx context.Context, server string, failure *backend.Failure, begun bool) (string, *apierror.Error) {
	switch {
	case failure.Kind == backend.SendForbidden && !begun:
		return "", c.notBegunError(failure.Cause)
	case ctx.Err() != nil && begun && c.rejection.Load() == nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "", errDeadlineDuringStream()
	case ctx.Err() != nil:
		return "", c.contextError(ctx, "no event arrived before the deadline")
	case begun:
		return "", apierror.Errorf(apierror.StreamAborted, "%s", failure.Detail).WithRetryAfter(shortRetryAfter)
	}
	return server, apierror.Errorf(apierror.StreamNotStarted, "%s", failure.Detail)
}

// notBegunError returns the error for a prompt that no server has started to answer.
// On a first attempt the code is kept. After a retry it becomes StreamNotBegun,
// except for CallerGone and KeyRevoked.
func (c *call) notBegunError(apiErr *apierror.Error) *apierror.Error {
	if len(c.request.TriedServers) == 0 || apiErr.Code == apierror.CallerDisconnected || apiErr.Code == apierror.KeyRevoked {
		return apiErr
	}
	return apierror.Errorf(apierror.StreamNotStarted, "%s", apiErr.Error()).WithRetryAfter(max(apiErr.RetryAfter, shortRetryAfter))
}

func errDeadlineDuringStream() *apierror.Error {
	return apierror.Errorf(apierror.StreamAborted, "the deadline passed before the stream was complete").WithRetryAfter(shortRetryAfter)
}
