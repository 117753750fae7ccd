package front

import (
	"context"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
)

// retryOneShot attempts a one-shot call at one server after another until a
// server may have received it or the call fails for good.
func (c *call) retryOneShot(ctx context.Context, request *clientapi.OneShot) (*clientapi.Answer, *apierror.Error) {
	for {
		answer, server, apiErr := c.attemptOneShot(ctx, request)
		if apiErr == nil {
			return answer, nil
		}
		if server == "" || apiErr.Code != apierror.NotRun {
			return nil, apiErr
		}
		c.recordRetry(server)
	}
}

// attemptOneShot makes one attempt. NotRun with a server's name means that
// nothing was written to that server, so another one may be tried.
func (c *call) attemptOneShot(ctx context.Context, request *clientapi.OneShot) (*clientapi.Answer, string, *apierror.Error) {
	assigned, choice, apiErr := c.acquireServer(ctx)
	if apiErr != nil {
		return nil, "", c.notRunError(apiErr)
	}
	// A panic leaves this failure to the routing table.
	failure := &backend.Failure{Kind: backend.ServerFailed, Detail: "a fault of the program"}
	began := c.front.clock.Now()
	defer func() { c.releaseServer(assigned, failure, began, 0) }()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(assigned.serverLost, cancel)()
	var answer *backend.Answer
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
	c.record(Entry{Attempt: attemptRecord(choice.Server, failure, c.front.clock.Now().Sub(began))})
	c.logFailure(failure)
	if failure != nil {
		return c.oneShotError(ctx, choice.Server, failure)
	}
	if apiErr := c.checkAnswer(); apiErr != nil {
		return nil, "", outcomeUnknown(apiErr.Detail)
	}
	return &clientapi.Answer{
		Server: choice.Server,
		Status: answer.Status,
		Header: answer.Header,
		Body:   answer.Body,
	}, "", nil
}

// oneShotError converts the failure of an attempt to what attemptOneShot returns.
func (c *call) oneShotError(ctx context.Context, server string, failure *backend.Failure) (*clientapi.Answer, string, *apierror.Error) {
	switch {
	case failure.Kind == backend.SendForbidden:
		return nil, "", c.notRunError(failure.Cause)
	case !failure.NotSent():
		return nil, "", outcomeUnknown(failure.Detail)
	case ctx.Err() != nil:
		return nil, "", c.notRunError(c.contextError(ctx, "the deadline passed before the call was sent"))
	}
	return nil, server, apierror.Errorf(apierror.NotRun, "%s", failure.Detail)
}

// checkAnswer returns nil if an answer that has arrived may still be forwarded.
func (c *call) checkAnswer() *apierror.Error {
	if !c.front.clock.Now().Before(c.request.Deadline) {
		return apierror.Errorf(apierror.DeadlinePassed, "the answer came after the deadline")
	}
	return c.front.calls.checkRunning(&c.runningCall)
}

func outcomeUnknown(detail string) *apierror.Error {
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", detail)
}

// notRunError returns the error of a one-shot call of which nothing was sent. A
// first attempt keeps its own code, which implies that the call has not run,
// except that DeadlinePassed becomes NotRun.
func (c *call) notRunError(apiErr *apierror.Error) *apierror.Error {
	if len(c.request.TriedServers) == 0 && apiErr.Code != apierror.DeadlinePassed {
		return apiErr
	}
	return apierror.Errorf(apierror.NotRun, "%s", apiErr.Error()).WithRetryAfter(max(apiErr.RetryAfter, shortRetryAfter))
}
