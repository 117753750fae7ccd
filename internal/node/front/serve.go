package front

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/core/route"
	"stepwick/internal/core/sheet"
	"stepwick/internal/core/tally"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/stage"
)

const unknownService = "unknown"

// call is one request on its way.
type call struct {
	running
	front   *Front
	id      string
	service string // as metrics name it
	arrived kernel.Time
	server  string // the last one tried
	request route.Request
}

// Knows tells whether the node rules and the key is a tenant's.
func (f *Front) Knows(head *clientapi.Head) *kernel.Fault {
	if fault := f.rules(); fault != nil {
		return fault
	}
	if _, _, known := tenantOf(f.views.View().Index, head.Key); !known {
		return kernel.Refuse(kernel.UnknownKey, "the sheet in force has no such key")
	}
	return nil
}

// Refused counts a request that never became a call.
func (f *Front) Refused(fault *kernel.Fault) {
	f.metrics.ended(unknownService, fault)
	if fault.Code == kernel.SlowBody {
		f.log.Emit(events.SlowCaller, "detail", fault.Detail)
	}
}

func tenantOf(index *sheet.Index, key string) (string, sheet.Tenant, bool) {
	if index == nil || index.Sheet() == nil {
		return "", sheet.Tenant{}, false
	}
	return index.Tenant(key)
}

// Prompt serves one streamed prompt.
func (f *Front) Prompt(ctx kernel.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) *kernel.Fault {
	c := f.newCall(&prompt.Head, prompt.Service, prompt.Region, prompt.Home)
	if prompt.Prefix != "" {
		c.request.Prefix = max(xxhash.Sum64String(prompt.Service+"\x00"+prompt.Prefix), 1)
	}
	return c.serve(ctx, sheet.KindModel, prompt.Tokens(), func(ctx kernel.Context) *kernel.Fault {
		return c.prompt(ctx, prompt, stream)
	})
}

// OneShot serves one call that is never run twice.
func (f *Front) OneShot(ctx kernel.Context, shot *clientapi.OneShot) (*clientapi.Answer, *kernel.Fault) {
	c := f.newCall(&shot.Head, shot.Service, shot.Region, "")
	var answer *clientapi.Answer
	fault := c.serve(ctx, sheet.KindWeb, 0, func(ctx kernel.Context) (fault *kernel.Fault) {
		answer, fault = c.oneShot(ctx, shot)
		return fault
	})
	return answer, fault
}

func (f *Front) newCall(head *clientapi.Head, service, region, home string) *call {
	if region == "" {
		region = f.config.Region
	}
	return &call{running: running{key: head.Key}, front: f, id: head.ID, service: unknownService, arrived: head.Arrived,
		request: route.Request{Service: service, FromRegion: region, Home: home, Deadline: head.Deadline}}
}

// serve takes a call through admission and run, and records its end.
func (c *call) serve(ctx kernel.Context, kind string, tokens float64, run func(kernel.Context) *kernel.Fault) *kernel.Fault {
	fault := c.admit(ctx, kind, tokens)
	if fault == nil {
		ctx = c.front.keeper.enter(ctx, &c.running)
		defer c.front.keeper.leave(&c.running)
		c.front.metrics.inFlight.Inc()
		defer c.front.metrics.inFlight.Dec()
		fault = run(ctx)
	}
	c.note(Entry{Outcome: c.outcome(fault)})
	c.front.metrics.ended(c.service, fault)
	c.report(fault)
	return fault
}

var reports = map[kernel.Code]events.Event{
	kernel.OutcomeUnknown: events.OutcomeUnknown,
	kernel.StreamCut:      events.StreamCut,
	kernel.KeyRevoked:     events.StreamKeyRevoked,
	kernel.PendingFull:    events.PendingFull,
	kernel.DeadlinePassed: events.DeadlineRanOut,
	kernel.CallerGone:     events.CallerGone,
}

func (c *call) report(fault *kernel.Fault) {
	if fault == nil {
		return
	}
	event, own := reports[fault.Code]
	if !own {
		event = events.RequestRefused
	}
	c.front.log.Emit(event, "request", c.id, "service", c.service, "tenant", c.tenant, "server", c.server, "code", uint32(fault.Code), "detail", fault.Detail)
}

var answerReports = map[backend.Kind]events.Event{
	backend.Crossed: events.AnswerCrossed,
	backend.Amiss:   events.EventOutOfOrder,
	backend.Short:   events.AnswerNotWhole,
}

func (c *call) reportAnswer(failure *backend.Failure) {
	if failure == nil {
		return
	}
	if event, found := answerReports[failure.Kind]; found {
		c.front.log.Emit(event, "request", c.id, "service", c.service, "server", c.server, "detail", failure.Detail)
	}
}

func (c *call) outcome(fault *kernel.Fault) *Outcome {
	o := &Outcome{Name: kernel.OK.String(), TookMS: inMS(c.front.clock.Now().Sub(c.arrived))}
	if fault != nil {
		o.Code, o.Name, o.Detail = fault.Code, fault.Code.String(), fault.Detail
	}
	return o
}

func (c *call) note(entry Entry) {
	entry.ID, entry.At = c.id, c.front.clock.Now()
	c.front.scribe.note(entry)
}

// admit decides by the view in force: ruling, then the key, the service and
// the tenant's allowance. The tally comes before the route, so a request that
// finds no server has been counted.
func (c *call) admit(ctx kernel.Context, kind string, tokens float64) (fault *kernel.Fault) {
	f := c.front
	view := f.views.View()
	a := &Admission{Service: c.request.Service, Region: c.request.FromRegion, Epoch: view.State.Epoch}
	if view.Plan != nil {
		a.Plan, a.PlanTerm = view.Plan.Number, view.Plan.Term
	}
	defer func() {
		if fault != nil {
			a.Fault = fault.Error()
		}
		c.note(Entry{Admission: a})
	}()
	if fault = f.rules(); fault != nil {
		return fault
	}
	tenant, row, known := tenantOf(view.Index, c.key)
	if !known {
		return kernel.Refuse(kernel.UnknownKey, "the sheet in force has no such key")
	}
	c.tenant, a.Tenant = tenant, tenant
	c.index.Store(view.Index)
	service, known := view.Index.Sheet().Services[c.request.Service]
	if !known {
		return kernel.Refuse(kernel.UnknownService, "the sheet in force has no service %q", c.request.Service)
	}
	c.service = c.request.Service
	if fault = c.bind(tenant, row.Home); fault != nil {
		return fault
	}
	a.Home = c.request.Home
	if service.Kind != kind {
		return kernel.Refuse(kernel.WrongServiceKind, "%s is a %s service", c.request.Service, service.Kind)
	}
	if tokens == 0 {
		if tokens = service.PlainTokens; tokens == 0 {
			tokens = f.config.PlainTokens
		}
	}
	c.request.Tokens, a.Tokens = tokens, tokens
	decision := f.admit.Admit(ctx, tenant, tokens, tally.Terms{Rate: row.Rate, Burst: row.Burst})
	a.tally(decision)
	if !decision.Pass {
		return (&kernel.Fault{Code: decision.Code, Detail: fmt.Sprintf("%s has %.0f tokens in a window", tenant, decision.Limit)}).After(decision.RetryAfter)
	}
	return nil
}

// bind holds the request to its home: the tenant's in the sheet in force, else
// the one that the request names. They may not contradict each other.
func (c *call) bind(tenant, home string) *kernel.Fault {
	switch named := c.request.Home; {
	case home == "" || home == named:
	case named == "":
		c.request.Home = home
	default:
		return kernel.Refuse(kernel.BadField, "home is %q, but %s is bound to %q", named, tenant, home)
	}
	return nil
}

// seat gets the request a server. A fault says why none was given; nothing has
// been sent then.
func (c *call) seat(ctx kernel.Context) (*seat, route.Choice, *kernel.Fault) {
	f := c.front
	asked := f.clock.Now()
	s, fault := f.router.ask(c.request)
	if fault != nil {
		return nil, route.Choice{}, fault
	}
	var choice route.Choice
	select {
	case choice = <-s.choice:
	case <-ctx.Done():
		choice.Fault = c.ended(ctx, "the deadline passed while the request was pending")
	}
	c.note(Entry{Routing: routingOf(choice, f.clock.Now().Sub(asked))})
	if choice.Fault != nil && choice.Fault.Code == kernel.BudgetSpent {
		f.log.Emit(events.BudgetSpent, "request", c.id, "service", c.service, "tried", len(c.request.Tried))
	}
	if choice.Fault == nil {
		choice.Fault = c.maySend()
	}
	if choice.Fault != nil {
		f.router.giveUp(s, route.Outcome{NothingWritten: true})
		return nil, choice, choice.Fault
	}
	return s, choice, nil
}

// maySend tells whether the request may go to a server at this moment.
func (c *call) maySend() *kernel.Fault {
	if !c.front.views.Ruling() {
		return kernel.Refuse(kernel.NotRuling, "ask another node").After(kernel.Second)
	}
	return c.front.keeper.stands(&c.running)
}

// ended says why a call's context has ended.
func (c *call) ended(ctx kernel.Context, late string) *kernel.Fault {
	switch {
	case c.fault.Load() != nil:
		return c.fault.Load()
	case errors.Is(ctx.Err(), kernel.DeadlineExceeded):
		return kernel.Refuse(kernel.DeadlinePassed, "%s", late).After(100 * kernel.Millisecond)
	}
	return kernel.Refuse(kernel.CallerGone, "the caller closed the connection")
}

func (c *call) attempt(choice route.Choice) *backend.Attempt {
	c.server = choice.Server
	return &backend.Attempt{ID: c.id, Server: choice.Server, Address: choice.Address, Deadline: c.request.Deadline,
		Now: c.front.clock.Now, Allow: c.maySend, FirstEvent: choice.FirstEvent}
}

func (c *call) retried(server string) {
	c.request.Tried = append(c.request.Tried, server)
	c.front.log.Emit(events.RequestRetried, "request", c.id, "service", c.service, "server", server)
	c.front.metrics.retries.WithLabelValues(c.service).Inc()
}

// lost names what the watchers saw as the cause why an attempt ended.
func lost(failure *backend.Failure) *backend.Failure {
	kind := backend.Dark
	if failure.Unsent() {
		kind = backend.Unsent
	}
	return &backend.Failure{Kind: kind, Detail: "the server is gone or dark, its watchers say"}
}

// giveUp frees the seat of an attempt, and tells the table what came of it.
func (c *call) giveUp(s *seat, failure *backend.Failure, began kernel.Time, first kernel.Duration) {
	outcome := outcomeOf(failure)
	outcome.Service, outcome.FirstToken, outcome.Took = c.request.Service, first, c.front.clock.Now().Sub(began)
	c.front.router.giveUp(s, outcome)
}

// outcomeOf tells the routing table how a request ended at its server. What
// the caller or the front gave up says nothing of the server; an answer that
// breaks off or isn't this request's weighs as much as none.
func outcomeOf(failure *backend.Failure) route.Outcome {
	if failure == nil {
		return route.Outcome{OK: true}
	}
	outcome := route.Outcome{NothingWritten: failure.Unsent()}
	switch failure.Kind {
	case backend.Refused:
		outcome.Refused = true
	case backend.Busy:
		outcome.Busy = true
	case backend.Unsent, backend.Dark, backend.Broken, backend.Short, backend.Crossed, backend.Amiss:
		outcome.Timeout = true
	}
	return outcome
}

func attemptOf(server string, failure *backend.Failure, took kernel.Duration) *Attempt {
	a := &Attempt{Server: server, Ended: "whole", TookMS: inMS(took)}
	if failure != nil {
		a.Ended, a.Detail = string(failure.Kind), failure.Detail
	}
	return a
}

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
