package front

import (
	"context"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
)

// retryOneShot tries servers one after another until one may have received the call
// or the error does not permit a retry.
func (c *call) retryOneShot(ctx context.Context, request *clientapi.OneShot) (*clientapi.Response, *apierror.Error) {
	for {
		answer, server, apiErr := c.attemptOneShot(ctx, request)
		if apiErr == nil {
			return answer, nil
		}
		if server == "" || apiErr.Code != apierror.NotExecuted {
			return nil, apiErr
		}
		c.recordRetry(server)
	}
}

// attemptOneShot makes one attempt. If it returns NotRun and a server's name, nothing
// was written to that server and another one may be tried.
func (c *call) attemptOneShot(ctx context.Context, request *clientapi.OneShot) (*clientapi.Response, string, *apierror.Error) {
	assigned, choice, apiErr := c.acquireServer(ctx)
	if apiErr != nil {
		return nil, "", c.notRunError(apiErr)
	}
	// This failure is reported to the routing table if the attempt panics.
	failure := &backend.Failure{Kind: backend.ServerFailed, Detail: "panic during the attempt"}
	startedAt := c.front.clock.Now()
	defer func() { c.releaseServer(assigned, failure, startedAt, 0) }()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(assigned.serverLost, cancel)()
	var answer *backend.Response
	answer, failure = c.front.client.Call(attemptCtx, c.newAttempt(choice), &backend.OneShot{
		Method: request.Method,
		Path:   request.Path,
		Query:  request.Query,
		Header: request.Header,
		Body:   request.Body,
	})
	if failure != nil && assigned.serverLost.Err() != nil && ctx.Err() == nil {
		failure = serverLostFailure(failure)
	}
	c.record(JournalEntry{Attempt: attemptRecord(choice.Server, failure, c.front.clock.Now().Sub(startedAt))})
	c.logFailure(failure)
	if failure != nil {
		return c.oneShotError(ctx, choice.Server, failure)
	}
	if apiErr := c.checkAnswer(); apiErr != nil {
		return nil, "", outcomeUnknown(apiErr.Detail)
	}
	return &clientapi.Response{
		Server: choice.Server,
		Status: answer.Status,
		Header: answer.Header,
		Body:   answer.Body,
	}, "", nil
}

// oneShotError converts the failure of an attempt to the results of attemptOneShot.
func (c *call) oneShotError(ctx context.Context, server string, failure *backend.Failure) (*clientapi.Response, string, *apierror.Error) {
	switch {
	case failure.Kind == backend.SendForbidden:
		return nil, "", c.notRunError(failure.Cause)
	case !failure.NotSent():
		return nil, "", outcomeUnknown(failure.Detail)
	case ctx.Err() != nil:
		return nil, "", c.notRunError(c.contextError(ctx, "the deadline passed before the call was sent"))
	}
	return nil, server, apierror.Errorf(apierror.NotExecuted, "%s", failure.Detail)
}

// checkAnswer returns nil if a received answer may be forwarded to the caller,
// otherwise the reason.
func (c *call) checkAnswer() *apierror.Error {
	if !c.front.clock.Now().Before(c.request.Deadline) {
		return apierror.Errorf(apierror.DeadlineExceeded, "the answer arrived after the deadline")
	}
	return c.front.calls.checkRunning(&c.runningCall)
}

func outcomeUnknown(detail string) *apierror.Error {
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", detail)
}

// notRunError returns the error for a one-shot call that was not sent. On a first
// attempt the code is kept, since it implies that the call has not run; only
// DeadlinePassed, which does not imply it, becomes NotRun. After a retry every code
// becomes NotRun.
func (c *call) notRunError(apiErr *apierror.Error) *apierror.Error {
	if len(c.request.TriedServers) == 0 && apiErr.Code != apierror.DeadlineExceeded {
		return apiErr
	}
	return apierror.Errorf(apierror.NotExecuted, "%s", apiErr.Error()).WithRetryAfter(max(apiErr.RetryAfter, shortRetryAfter))
}
