package front

import (
	"context"
	"time"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
)

func (c *call) oneShot(ctx context.Context, shot *clientapi.OneShot) (*clientapi.Answer, *apierror.Error) {
	for {
		answer, server, apiErr := c.shoot(ctx, shot)
		if apiErr == nil {
			return answer, nil
		}
		if server == "" || apiErr.Code != apierror.NotRun {
			return nil, apiErr
		}
		c.retried(server)
	}
}

// shoot makes one attempt. NotRun with a server's name means that nothing was
// written to that server, so another may be tried.
func (c *call) shoot(ctx context.Context, shot *clientapi.OneShot) (*clientapi.Answer, string, *apierror.Error) {
	f := c.front
	s, choice, apiErr := c.seat(ctx)
	if apiErr != nil {
		return nil, "", c.notRun(apiErr)
	}
	var failure = &backend.Failure{Kind: backend.Broken, Detail: "a fault of the program"}
	began := f.clock.Now()
	defer func() { c.giveUp(s, failure, began, 0) }()
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.lost, cancel)()
	var got *backend.Answer
	got, failure = f.client.Call(calling, c.attempt(choice), &backend.Shot{Method: shot.Method, Path: shot.Path, Query: shot.Query, Header: shot.Header, Body: shot.Body})
	if failure != nil && s.lost.Err() != nil && ctx.Err() == nil {
		failure = lost(failure)
	}
	c.note(Entry{Attempt: attemptOf(choice.Server, failure, f.clock.Now().Sub(began))})
	c.reportAnswer(failure)
	switch {
	case failure == nil:
		if apiErr := c.late(); apiErr != nil {
			return nil, "", unknown(apiErr.Detail)
		}
		return &clientapi.Answer{Server: choice.Server, Status: got.Status, Header: got.Header, Body: got.Body}, "", nil
	case failure.Kind == backend.Barred:
		return nil, "", c.notRun(failure.Cause)
	case !failure.Unsent():
		return nil, "", unknown(failure.Detail)
	case ctx.Err() != nil:
		return nil, "", c.notRun(c.ended(ctx, "the deadline passed before the call was sent"))
	}
	return nil, choice.Server, apierror.Errorf(apierror.NotRun, "%s", failure.Detail)
}

// late tells whether an answer that has arrived may no longer be passed on.
func (c *call) late() *apierror.Error {
	if !c.front.clock.Now().Before(c.request.Deadline) {
		return apierror.Errorf(apierror.DeadlinePassed, "the answer came after the deadline")
	}
	return c.front.keeper.stands(&c.running)
}

func unknown(detail string) *apierror.Error {
	return apierror.Errorf(apierror.OutcomeUnknown, "%s", detail)
}

// notRun says of a one-shot of which nothing was sent that it has not run. A
// first refusal keeps its own code, which says so too.
func (c *call) notRun(apiErr *apierror.Error) *apierror.Error {
	if len(c.request.Tried) == 0 && apiErr.Code != apierror.DeadlinePassed {
		return apiErr
	}
	return apierror.Errorf(apierror.NotRun, "%s", apiErr.Error()).WithRetryAfter(max(apiErr.RetryAfter, 100*time.Millisecond))
}
