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
	kernel.QueueFull:      events.QueueFull,
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
	decision := f.admit.Admit(ctx, tenant, tokens, tally.Terms{Rate: row.Rate, Burst: row.Burst}, 0)
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
		choice.Fault = c.ended(ctx, "the deadline passed while the request was queued")
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
