package front

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/stage"
)

func (c *call) prompt(ctx context.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) *apierror.Error {
	for {
		server, apiErr := c.stream(ctx, prompt, stream)
		if apiErr == nil || server == "" {
			return apiErr
		}
		c.retried(server)
	}
}

// stream makes one attempt. A server's name with the fault means that nothing
// has reached the caller, so another server may be tried.
func (c *call) stream(ctx context.Context, prompt *clientapi.Prompt, out *clientapi.Stream) (string, *apierror.Error) {
	f := c.front
	s, choice, apiErr := c.seat(ctx)
	if apiErr != nil {
		return "", c.notBegun(apiErr)
	}
	calling, cancel := context.WithCancel(ctx)
	defer cancel()
	began := f.clock.Now()
	failure := &backend.Failure{Kind: backend.Gone, Detail: "given up"}
	passed := &passage{call: c, out: out}
	defer func() {
		c.giveUp(s, failure, began, passed.first)
		a := attemptOf(choice.Server, failure, f.clock.Now().Sub(began))
		a.Events, a.FirstEventMS = passed.events, inMS(passed.first)
		c.note(Entry{Attempt: a})
	}()
	queue := stage.NewQueue[backend.Event](f.config.Events)
	go f.client.Generate(calling, c.attempt(choice), &backend.Prompt{Service: prompt.Service, Prefix: prompt.Prefix,
		PrefixKey: fmt.Sprintf("%016x", c.request.Prefix), Session: prompt.Session, PrefixTokens: prompt.PrefixTokens,
		SessionTokens: prompt.SessionTokens, MaxTokens: prompt.MaxTokens}, queue)
	for ended, gone := false, s.lost.Done(); !ended; {
		select {
		case event, open := <-queue.Items():
			if ended = !open; ended {
				break
			}
			gone = nil
			if apiErr := passed.on(event, began); apiErr != nil {
				return "", apiErr
			}
		case <-gone:
			failure = lost(failure)
			return c.broken(ctx, choice.Server, failure, false)
		}
	}
	if !errors.As(queue.Cause(), &failure) {
		failure = nil
		return "", nil
	}
	c.reportAnswer(failure)
	return c.broken(ctx, choice.Server, failure, out.Begun())
}

// broken says what a failure means to the caller.
func (c *call) broken(ctx context.Context, server string, failure *backend.Failure, begun bool) (string, *apierror.Error) {
	switch {
	case failure.Kind == backend.Barred && !begun:
		return "", c.notBegun(failure.Cause)
	case ctx.Err() != nil && begun && c.fault.Load() == nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return "", apierror.Errorf(apierror.StreamCut, "the deadline passed while the stream ran").WithRetryAfter(100 * time.Millisecond)
	case ctx.Err() != nil:
		return "", c.ended(ctx, "no event came before the deadline")
	case begun:
		return "", apierror.Errorf(apierror.StreamCut, "%s", failure.Detail).WithRetryAfter(100 * time.Millisecond)
	}
	return server, apierror.Errorf(apierror.StreamNotBegun, "%s", failure.Detail)
}

// notBegun says of a prompt that was tried before that no server began it.
func (c *call) notBegun(apiErr *apierror.Error) *apierror.Error {
	if len(c.request.Tried) == 0 || apiErr.Code == apierror.CallerGone || apiErr.Code == apierror.KeyRevoked {
		return apiErr
	}
	return apierror.Errorf(apierror.StreamNotBegun, "%s", apiErr.Error()).WithRetryAfter(max(apiErr.RetryAfter, 100*time.Millisecond))
}

// passage passes a stream's events on to its caller.
type passage struct {
	call   *call
	out    *clientapi.Stream
	events int
	first  time.Duration
	last   time.Time
}

func (p *passage) on(event backend.Event, began time.Time) *apierror.Error {
	c := p.call
	if apiErr := c.front.keeper.stands(&c.running); apiErr != nil {
		return apiErr
	}
	now := c.front.clock.Now()
	if !now.Before(c.request.Deadline) {
		if !p.out.Begun() {
			return apierror.Errorf(apierror.DeadlinePassed, "the first event came after the deadline").WithRetryAfter(100 * time.Millisecond)
		}
		return apierror.Errorf(apierror.StreamCut, "the deadline passed while the stream ran").WithRetryAfter(100 * time.Millisecond)
	}
	if err := p.out.Event(event.Data); err != nil {
		return apierror.Errorf(apierror.CallerGone, "the caller takes no events: %s", err)
	}
	if p.events == 0 {
		p.first = now.Sub(began)
		c.front.metrics.firstEvent.WithLabelValues(c.service).Observe(now.Sub(c.arrived).Seconds())
	} else {
		c.front.metrics.eventGap.WithLabelValues(c.service).Observe(now.Sub(p.last).Seconds())
	}
	p.events++
	p.last = now
	return nil
}
