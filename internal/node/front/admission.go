package front

import (
	"context"
	"fmt"
	"time"

	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
)

// Admitter decides by the fleet's shared token counts whether a tenant may spend
// tokens. It may wait for an exchange with the owner of the tenant's count, by its
// own configuration; in a large fleet also longer, for maxWait at most. When the
// context ends first it rejects.
type Admitter interface {
	Admit(ctx context.Context, tenant string, tokens float64, allowance quota.Allowance, maxWait time.Duration) quota.Decision
}

// Ready returns nil if the node takes traffic, or why not.
func (f *Front) Ready() *apierror.Error {
	if apiErr := f.checkAccepting(); apiErr != nil {
		return apiErr
	}
	if f.views.View().Plan == nil {
		return apierror.Errorf(apierror.NoPlan, "").WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// Authenticate returns nil if the node accepts requests and the API key is a
// tenant's, or why not.
func (f *Front) Authenticate(head *clientapi.Head) *apierror.Error {
	if apiErr := f.checkAccepting(); apiErr != nil {
		return apiErr
	}
	if _, _, known := tenantOf(f.views.View().Index, head.Key); !known {
		return errUnknownKey()
	}
	return nil
}

// Rejected counts a request that was rejected before it became a call.
func (f *Front) Rejected(apiErr *apierror.Error) {
	f.metrics.countResult(unknownService, apiErr)
	if apiErr.Code == apierror.SlowBody {
		f.log.Emit(events.SlowCaller, "detail", apiErr.Detail)
	}
}

// checkAccepting returns nil if this node may decide on a new request now: it is
// not draining and has authority.
func (f *Front) checkAccepting() *apierror.Error {
	if f.draining.Load() {
		return apierror.Errorf(apierror.FrontLeaving, "ask another node").WithRetryAfter(defaultRetryAfter)
	}
	if !f.views.HasAuthority() {
		wait := f.views.View().Authority.RetryAfter
		return apierror.Errorf(apierror.NotRuling, "ask another node").WithRetryAfter(max(wait, shortRetryAfter))
	}
	return nil
}

// tenantOf returns the tenant of an API key, and false if the configuration has
// none or the key is no tenant's.
func tenantOf(index *sheet.Index, apiKey string) (string, sheet.Tenant, bool) {
	if index == nil || index.Sheet() == nil {
		return "", sheet.Tenant{}, false
	}
	return index.Tenant(apiKey)
}

func errUnknownKey() *apierror.Error {
	return apierror.Errorf(apierror.UnknownKey, "the sheet in force has no such key")
}

// admit decides on the call by the view in force: the node's authority, then the
// API key, the service and the tenant's quota. The quota comes before routing, so
// a request that finds no server has been counted. The decision is recorded in
// the journal, also when it panics.
func (c *call) admit(ctx context.Context, kind string, tokens float64) (apiErr *apierror.Error) {
	view := c.front.views.View()
	admission := &Admission{
		Service: c.request.Service,
		Region:  c.request.FromRegion,
		Version: view.State.Version,
	}
	if view.Plan != nil {
		admission.Plan = view.Plan.Number
		admission.PlanTerm = view.Plan.Term
	}
	defer func() {
		if apiErr != nil {
			admission.Fault = apiErr.Error()
		}
		c.record(Entry{Admission: admission})
	}()
	if apiErr = c.front.checkAccepting(); apiErr != nil {
		return apiErr
	}
	tenant, service, apiErr := c.resolve(view, kind, admission)
	if apiErr != nil {
		return apiErr
	}
	if tokens == 0 {
		tokens = c.front.oneShotTokens(service)
	}
	return c.spend(ctx, tenant, tokens, admission)
}

// resolve finds the tenant and the service of the call in the view, and checks
// that the service is of the kind that the call needs.
func (c *call) resolve(view *follower.View, kind string, admission *Admission) (sheet.Tenant, sheet.Service, *apierror.Error) {
	name, tenant, known := tenantOf(view.Index, c.apiKey)
	if !known {
		return sheet.Tenant{}, sheet.Service{}, errUnknownKey()
	}
	c.tenant = name
	admission.Tenant = name
	c.index.Store(view.Index)
	service, known := view.Index.Sheet().Services[c.request.Service]
	if !known {
		return sheet.Tenant{}, sheet.Service{},
			apierror.Errorf(apierror.UnknownService, "the sheet in force has no service %q", c.request.Service)
	}
	c.service = c.request.Service
	if apiErr := c.resolveHome(name, tenant.HomeRegion); apiErr != nil {
		return sheet.Tenant{}, sheet.Service{}, apiErr
	}
	admission.Home = c.request.HomeRegion
	if service.Kind != kind {
		return sheet.Tenant{}, sheet.Service{},
			apierror.Errorf(apierror.WrongServiceKind, "%s is a %s service", c.request.Service, service.Kind)
	}
	return tenant, service, nil
}

// resolveHome sets the region that the call must be served in: the tenant's home
// in the sheet, else the one that the request names. They may not contradict each
// other.
func (c *call) resolveHome(tenant, home string) *apierror.Error {
	switch requested := c.request.HomeRegion; {
	case home == "" || home == requested:
	case requested == "":
		c.request.HomeRegion = home
	default:
		return apierror.Errorf(apierror.BadField, "home is %q, but %s is bound to %q", requested, tenant, home)
	}
	return nil
}

// oneShotTokens returns the cost of a one-shot call of a service.
func (f *Front) oneShotTokens(service sheet.Service) float64 {
	if service.OneShotTokens == 0 {
		return f.config.OneShotTokens
	}
	return service.OneShotTokens
}

// spend charges the call's tokens to its tenant's quota.
func (c *call) spend(ctx context.Context, tenant sheet.Tenant, tokens float64, admission *Admission) *apierror.Error {
	c.request.PromptTokens = tokens
	admission.Tokens = tokens
	allowance := quota.Allowance{Rate: tenant.Rate, Burst: tenant.Burst}
	waitCtx, cancel := c.front.calls.untilGraceEnds(ctx)
	defer cancel()
	decision := c.front.admitter.Admit(waitCtx, c.tenant, tokens, allowance, 0)
	admission.setTally(decision)
	if decision.Allowed {
		return nil
	}
	if waitCtx.Err() != nil && ctx.Err() == nil {
		return errGraceEnded()
	}
	rejection := &apierror.Error{
		Code:   decision.Code,
		Detail: fmt.Sprintf("%s has %.0f tokens in a window", c.tenant, decision.Limit),
	}
	return rejection.WithRetryAfter(decision.RetryAfter)
}
