package front

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
)

const unknownService = "unknown"

// call is one request on its way.
type call struct {
	running
	front   *Front
	id      string
	service string // as metrics name it
	arrived time.Time
	server  string // the last one tried
	request route.Request
}

// Knows tells whether the node rules and the key is a tenant's.
func (f *Front) Knows(head *clientapi.Head) *apierror.Error {
	if apiErr := f.rules(); apiErr != nil {
		return apiErr
	}
	if _, _, known := tenantOf(f.views.View().Index, head.Key); !known {
		return apierror.Errorf(apierror.UnknownKey, "the sheet in force has no such key")
	}
	return nil
}

// Refused counts a request that never became a call.
func (f *Front) Refused(apiErr *apierror.Error) {
	f.metrics.ended(unknownService, apiErr)
	if apiErr.Code == apierror.SlowBody {
		f.log.Emit(events.SlowCaller, "detail", apiErr.Detail)
	}
}

func tenantOf(index *sheet.Index, key string) (string, sheet.Tenant, bool) {
	if index == nil || index.Sheet() == nil {
		return "", sheet.Tenant{}, false
	}
	return index.Tenant(key)
}

// Prompt serves one streamed prompt.
func (f *Front) Prompt(ctx context.Context, prompt *clientapi.Prompt, stream *clientapi.Stream) *apierror.Error {
	c := f.newCall(&prompt.Head, prompt.Service, prompt.Region, prompt.Home)
	if prompt.Prefix != "" {
		c.request.Prefix = max(xxhash.Sum64String(prompt.Service+"\x00"+prompt.Prefix), 1)
	}
	return c.serve(ctx, sheet.KindModel, prompt.Tokens(), func(ctx context.Context) *apierror.Error {
		return c.prompt(ctx, prompt, stream)
	})
}

// OneShot serves one call that is never run twice.
func (f *Front) OneShot(ctx context.Context, shot *clientapi.OneShot) (*clientapi.Answer, *apierror.Error) {
	c := f.newCall(&shot.Head, shot.Service, shot.Region, "")
	var answer *clientapi.Answer
	apiErr := c.serve(ctx, sheet.KindWeb, 0, func(ctx context.Context) (apiErr *apierror.Error) {
		answer, apiErr = c.oneShot(ctx, shot)
		return apiErr
	})
	return answer, apiErr
}

func (f *Front) newCall(head *clientapi.Head, service, region, home string) *call {
	if region == "" {
		region = f.config.Region
	}
	return &call{running: running{key: head.Key}, front: f, id: head.ID, service: unknownService, arrived: head.Arrived,
		request: route.Request{Service: service, FromRegion: region, Home: home, Deadline: head.Deadline}}
}

// serve takes a call through admission and run, and records its end.
func (c *call) serve(ctx context.Context, kind string, tokens float64, run func(context.Context) *apierror.Error) *apierror.Error {
	apiErr := c.admit(ctx, kind, tokens)
	if apiErr == nil {
		ctx = c.front.keeper.enter(ctx, &c.running)
		defer c.front.keeper.leave(&c.running)
		c.front.metrics.inFlight.Inc()
		defer c.front.metrics.inFlight.Dec()
		apiErr = run(ctx)
	}
	c.note(Entry{Outcome: c.outcome(apiErr)})
	c.front.metrics.ended(c.service, apiErr)
	c.report(apiErr)
	return apiErr
}

var reports = map[apierror.Code]events.Event{
	apierror.OutcomeUnknown: events.OutcomeUnknown,
	apierror.StreamCut:      events.StreamAborted,
	apierror.KeyRevoked:     events.StreamKeyRevoked,
	apierror.QueueFull:      events.QueueFull,
	apierror.DeadlinePassed: events.DeadlineExceeded,
	apierror.CallerGone:     events.CallerDisconnected,
}

func (c *call) report(apiErr *apierror.Error) {
	if apiErr == nil {
		return
	}
	event, own := reports[apiErr.Code]
	if !own {
		event = events.RequestRefused
	}
	c.front.log.Emit(event, "request", c.id, "service", c.service, "tenant", c.tenant, "server", c.server, "code", uint32(apiErr.Code), "detail", apiErr.Detail)
}

var answerReports = map[backend.Kind]events.Event{
	backend.Crossed: events.ResponseMismatched,
	backend.Amiss:   events.EventOutOfOrder,
	backend.Short:   events.ResponseIncomplete,
}

func (c *call) reportAnswer(failure *backend.Failure) {
	if failure == nil {
		return
	}
	if event, found := answerReports[failure.Kind]; found {
		c.front.log.Emit(event, "request", c.id, "service", c.service, "server", c.server, "detail", failure.Detail)
	}
}

func (c *call) outcome(apiErr *apierror.Error) *Outcome {
	o := &Outcome{Name: apierror.OK.String(), TookMS: inMS(c.front.clock.Now().Sub(c.arrived))}
	if apiErr != nil {
		o.Code, o.Name, o.Detail = apiErr.Code, apiErr.Code.String(), apiErr.Detail
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
func (c *call) admit(ctx context.Context, kind string, tokens float64) (apiErr *apierror.Error) {
	f := c.front
	view := f.views.View()
	a := &Admission{Service: c.request.Service, Region: c.request.FromRegion, Version: view.State.Version}
	if view.Plan != nil {
		a.Plan, a.PlanTerm = view.Plan.Number, view.Plan.Term
	}
	defer func() {
		if apiErr != nil {
			a.Fault = apiErr.Error()
		}
		c.note(Entry{Admission: a})
	}()
	if apiErr = f.rules(); apiErr != nil {
		return apiErr
	}
	tenant, row, known := tenantOf(view.Index, c.key)
	if !known {
		return apierror.Errorf(apierror.UnknownKey, "the sheet in force has no such key")
	}
	c.tenant, a.Tenant = tenant, tenant
	c.index.Store(view.Index)
	service, known := view.Index.Sheet().Services[c.request.Service]
	if !known {
		return apierror.Errorf(apierror.UnknownService, "the sheet in force has no service %q", c.request.Service)
	}
	c.service = c.request.Service
	if apiErr = c.bind(tenant, row.Home); apiErr != nil {
		return apiErr
	}
	a.Home = c.request.Home
	if service.Kind != kind {
		return apierror.Errorf(apierror.WrongServiceKind, "%s is a %s service", c.request.Service, service.Kind)
	}
	if tokens == 0 {
		if tokens = service.PlainTokens; tokens == 0 {
			tokens = f.config.PlainTokens
		}
	}
	c.request.Tokens, a.Tokens = tokens, tokens
	decision := f.admit.Admit(ctx, tenant, tokens, quota.Allowance{Rate: row.Rate, Burst: row.Burst}, 0)
	a.tally(decision)
	if !decision.Allowed {
		return (&apierror.Error{Code: decision.Code, Detail: fmt.Sprintf("%s has %.0f tokens in a window", tenant, decision.Limit)}).WithRetryAfter(decision.RetryAfter)
	}
	return nil
}

// bind holds the request to its home: the tenant's in the sheet in force, else
// the one that the request names. They may not contradict each other.
func (c *call) bind(tenant, home string) *apierror.Error {
	switch named := c.request.Home; {
	case home == "" || home == named:
	case named == "":
		c.request.Home = home
	default:
		return apierror.Errorf(apierror.BadField, "home is %q, but %s is bound to %q", named, tenant, home)
	}
	return nil
}

// seat gets the request a server. A fault says why none was given; nothing has
// been sent then.
func (c *call) seat(ctx context.Context) (*seat, route.Choice, *apierror.Error) {
	f := c.front
	asked := f.clock.Now()
	s, apiErr := f.router.ask(c.request)
	if apiErr != nil {
		return nil, route.Choice{}, apiErr
	}
	var choice route.Choice
	select {
	case choice = <-s.choice:
	case <-ctx.Done():
		choice.Err = c.ended(ctx, "the deadline passed while the request was queued")
	}
	c.note(Entry{Routing: routingOf(choice, f.clock.Now().Sub(asked))})
	if choice.Err != nil && choice.Err.Code == apierror.BudgetSpent {
		f.log.Emit(events.RetryBudgetExhausted, "request", c.id, "service", c.service, "tried", len(c.request.Tried))
	}
	if choice.Err == nil {
		choice.Err = c.maySend()
	}
	if choice.Err != nil {
		f.router.giveUp(s, route.Outcome{Result: route.Inconclusive})
		return nil, choice, choice.Err
	}
	return s, choice, nil
}

// maySend tells whether the request may go to a server at this moment.
func (c *call) maySend() *apierror.Error {
	if !c.front.views.HasAuthority() {
		return apierror.Errorf(apierror.NotRuling, "ask another node").WithRetryAfter(time.Second)
	}
	return c.front.keeper.stands(&c.running)
}

// ended says why a call's context has ended.
func (c *call) ended(ctx context.Context, late string) *apierror.Error {
	switch {
	case c.fault.Load() != nil:
		return c.fault.Load()
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return apierror.Errorf(apierror.DeadlinePassed, "%s", late).WithRetryAfter(100 * time.Millisecond)
	}
	return apierror.Errorf(apierror.CallerGone, "the caller closed the connection")
}
