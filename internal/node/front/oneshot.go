package front

import (
	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/kernel"
)

func (c *call) oneShot(ctx kernel.Context, shot *clientapi.OneShot) (*clientapi.Answer, *kernel.Fault) {
	for {
		answer, server, fault := c.shoot(ctx, shot)
		if fault == nil {
			return answer, nil
		}
		if server == "" || fault.Code != kernel.NotRun {
			return nil, fault
		}
		c.retried(server)
	}
}

// shoot makes one attempt. NotRun with a server's name means that nothing was
// written to that server, so another may be tried.
func (c *call) shoot(ctx kernel.Context, shot *clientapi.OneShot) (*clientapi.Answer, string, *kernel.Fault) {
	f := c.front
	s, choice, fault := c.seat(ctx)
	if fault != nil {
		return nil, "", c.notRun(fault)
	}
	var failure = &backend.Failure{Kind: backend.Broken, Detail: "a fault of the program"}
	began := f.clock.Now()
	defer func() { c.giveUp(s, failure, began, 0) }()
	calling, cancel := kernel.WithCancel(ctx)
	defer cancel()
	defer kernel.AfterFunc(s.lost, cancel)()
	var got *backend.Answer
	got, failure = f.client.Call(calling, c.attempt(choice), &backend.Shot{Method: shot.Method, Path: shot.Path, Query: shot.Query, Header: shot.Header, Body: shot.Body})
	if failure != nil && s.lost.Err() != nil && ctx.Err() == nil {
		failure = lost(failure)
	}
	c.note(Entry{Attempt: attemptOf(choice.Server, failure, f.clock.Now().Sub(began))})
	c.reportAnswer(failure)
	switch {
	case failure == nil:
		if fault := c.late(); fault != nil {
			return nil, "", unknown(fault.Detail)
		}
		return &clientapi.Answer{Server: choice.Server, Status: got.Status, Header: got.Header, Body: got.Body}, "", nil
	case failure.Kind == backend.Barred:
		return nil, "", c.notRun(failure.Cause)
	case !failure.Unsent():
		return nil, "", unknown(failure.Detail)
	case ctx.Err() != nil:
		return nil, "", c.notRun(c.ended(ctx, "the deadline passed before the call was sent"))
	}
	return nil, choice.Server, kernel.Refuse(kernel.NotRun, "%s", failure.Detail)
}

// late tells whether an answer that has arrived may no longer be passed on.
func (c *call) late() *kernel.Fault {
	if !c.front.clock.Now().Before(c.request.Deadline) {
		return kernel.Refuse(kernel.DeadlinePassed, "the answer came after the deadline")
	}
	return c.front.keeper.stands(&c.running)
}

func unknown(detail string) *kernel.Fault {
	return kernel.Refuse(kernel.OutcomeUnknown, "%s", detail)
}

// notRun says of a one-shot of which nothing was sent that it has not run. A
// first refusal keeps its own code, which says so too.
func (c *call) notRun(fault *kernel.Fault) *kernel.Fault {
	if len(c.request.Tried) == 0 && fault.Code != kernel.DeadlinePassed {
		return fault
	}
	return kernel.Refuse(kernel.NotRun, "%s", fault.Error()).After(max(fault.RetryAfter, 100*kernel.Millisecond))
}
