package front

import (
	"fmt"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/kernel"
	"stepwick/internal/stage"
)

func (c *call) prompt(ctx kernel.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) *kernel.Fault {
	for {
		server, fault := c.stream(ctx, prompt, stream)
		if fault == nil || server == "" {
			return fault
		}
		c.retried(server)
	}
}

// stream makes one attempt. A server's name with the fault means that nothing
// has reached the caller, so another server may be tried.
func (c *call) stream(ctx kernel.Context, prompt *clientapi.Prompt, out *clientapi.Stream) (string, *kernel.Fault) {
	f := c.front
	s, choice, fault := c.seat(ctx)
	if fault != nil {
		return "", c.notBegun(fault)
	}
	calling, cancel := kernel.WithCancel(ctx)
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
			if fault := passed.on(event, began); fault != nil {
				return "", fault
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
func (c *call) broken(ctx kernel.Context, server string, failure *backend.Failure, begun bool) (string, *kernel.Fault) {
	switch {
	case failure.Kind == backend.Barred && !begun:
		return "", c.notBegun(failure.Cause)
	case ctx.Err() != nil && begun && c.fault.Load() == nil && errors.Is(ctx.Err(), kernel.DeadlineExceeded):
		return "", kernel.Refuse(kernel.StreamCut, "the deadline passed while the stream ran").After(100 * kernel.Millisecond)
	case ctx.Err() != nil:
		return "", c.ended(ctx, "no event came before the deadline")
	case begun:
		return "", kernel.Refuse(kernel.StreamCut, "%s", failure.Detail).After(100 * kernel.Millisecond)
	}
	return server, kernel.Refuse(kernel.StreamNotBegun, "%s", failure.Detail)
}

// notBegun says of a prompt that was tried before that no server began it.
func (c *call) notBegun(fault *kernel.Fault) *kernel.Fault {
	if len(c.request.Tried) == 0 || fault.Code == kernel.CallerGone || fault.Code == kernel.KeyRevoked {
		return fault
	}
	return kernel.Refuse(kernel.StreamNotBegun, "%s", fault.Error()).After(max(fault.RetryAfter, 100*kernel.Millisecond))
}

// passage passes a stream's events on to its caller.
type passage struct {
	call   *call
	out    *clientapi.Stream
	events int
	first  kernel.Duration
	last   kernel.Time
}

func (p *passage) on(event backend.Event, began kernel.Time) *kernel.Fault {
	c := p.call
	if fault := c.front.keeper.stands(&c.running); fault != nil {
		return fault
	}
	now := c.front.clock.Now()
	if !now.Before(c.request.Deadline) {
		if !p.out.Begun() {
			return kernel.Refuse(kernel.DeadlinePassed, "the first event came after the deadline").After(100 * kernel.Millisecond)
		}
		return kernel.Refuse(kernel.StreamCut, "the deadline passed while the stream ran").After(100 * kernel.Millisecond)
	}
	if err := p.out.Event(event.Data); err != nil {
		return kernel.Refuse(kernel.CallerGone, "the caller takes no events: %s", err)
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
