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

// Admitter decides whether a tenant may spend tokens, according to the token counts
// that the fronts share. It may wait for an exchange with the owner of the tenant's
// count for a time set in its own configuration. In a large fleet it may wait
// longer, up to maxWait. It rejects if the context ends first.
type Admitter interface {
	Admit(ctx context.Context, tenant string, tokens float64, allowance quota.Allowance, maxWait time.Duration) quota.Decision
}

// Ready returns nil if the node accepts traffic, otherwise the reason.
func (f *Front) Ready() *apierror.Error {
	if apiErr := f.checkAccepting(); apiErr != nil {
		return apiErr
	}
	if f.views.View().Plan == nil {
		return apierror.Errorf(apierror.NoPlan, "").WithRetryAfter(defaultRetryAfter)
	}
	return nil
}

// Authenticate returns nil if the node accepts requests and the API key belongs to
// a tenant, otherwise the reason.
func (f *Front) Authenticate(head *clientapi.Head) *apierror.Error {
	if apiErr := f.checkAccepting(); apiErr != nil {
		return apiErr
	}
	if _, _, ok := tenantOf(f.views.View().Index, head.Key); !ok {
		return errUnknownKey()
	}
	return nil
}

// Rejected counts a request that clientapi rejected before a call was created for
// it.
func (f *Front) Rejected(apiErr *apierror.Error) {
	f.metrics.countResult(unknownService, apiErr)
	if apiErr.Code == apierror.SlowBody {
		f.log.Emit(events.SlowCaller, "detail", apiErr.Detail)
	}
}

// checkAccepting returns nil if the node accepts new requests, that is if it is not
// draining and has authority; otherwise the reason.
func (f *Front) checkAccepting() *apierror.Error {
	if f.draining.Load() {
		return apierror.Errorf(apierror.FrontDraining, "the node is draining; retry at another node").WithRetryAfter(defaultRetryAfter)
	}
	if !f.views.HasAuthority() {
		wait := f.views.View().Authority.RetryAfter
		return apierror.Errorf(apierror.NoAuthority, "the node has no authority to serve requests; retry at another node").WithRetryAfter(max(wait, shortRetryAfter))
	}
	return nil
}

// tenantOf returns the name and the settings of the tenant that an API key belongs
// to. It returns false if there is no sheet or the key belongs to no tenant.
func tenantOf(index *sheet.Index, apiKey string) (string, sheet.Tenant, bool) {
	if index == nil || index.Sheet() == nil {
		return "", sheet.Tenant{}, false
	}
	return index.Tenant(apiKey)
}

func errUnknownKey() *apierror.Error {
	return apierror.Errorf(apierror.UnknownKey, "the API key belongs to no tenant of the sheet in force")
}

// admit decides on the call according to the latest view: it checks the node's
// authority, then the API key, the service and the tenant's quota. The quota is
// charged before routing, so a request for which no server is available is charged
// too. The decision is recorded in the journal, even if it panics.
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
			admission.Error = apiErr.Error()
		}
		c.record(JournalEntry{Admission: admission})
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
	return c.chargeQuota(ctx, tenant, tokens, admission)
}

// resolve looks up the call's tenant and service in the view and checks that the
// service is of the given kind.
func (c *call) resolve(view *follower.View, kind string, admission *Admission) (sheet.Tenant, sheet.Service, *apierror.Error) {
	name, tenant, ok := tenantOf(view.Index, c.apiKey)
	if !ok {
		return sheet.Tenant{}, sheet.Service{}, errUnknownKey()
	}
	c.tenant = name
	admission.Tenant = name
	c.index.Store(view.Index)
	service, ok := view.Index.Sheet().Services[c.request.Service]
	if !ok {
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
			apierror.Errorf(apierror.WrongServiceKind, "service %s is of kind %s; this call requires kind %s", c.request.Service, service.Kind, kind)
	}
	return tenant, service, nil
}

// resolveHome sets the only region that may serve the call: the tenant's home
// region in the sheet or, if there is none, the one in the request. A request that
// names another home region than the sheet is rejected as BadField.
func (c *call) resolveHome(tenant, home string) *apierror.Error {
	switch requested := c.request.HomeRegion; {
	case home == "" || home == requested:
	case requested == "":
		c.request.HomeRegion = home
	default:
		return apierror.Errorf(apierror.BadField, "field home is %q, but the home region of tenant %s is %q", requested, tenant, home)
	}
	return nil
}

// oneShotTokens returns the cost, in tokens, of a one-shot call to a service.
func (f *Front) oneShotTokens(service sheet.Service) float64 {
	if service.OneShotTokens == 0 {
		return f.config.OneShotTokens
	}
	return service.OneShotTokens
}

// chargeQuota charges the call's tokens to the tenant's quota. It returns the
// rejection if the quota is exhausted or a drain's grace period ends first.
func (c *call) chargeQuota(ctx context.Context, tenant sheet.Tenant, tokens float64, admission *Admission) *apierror.Error {
	c.request.PromptTokens = tokens
	admission.Tokens = tokens
	allowance := quota.Allowance{Rate: tenant.Rate, Burst: tenant.Burst}
	waitCtx, cancel := c.front.calls.untilDrainGraceEnds(ctx)
	defer cancel()
	decision := c.front.admitter.Admit(waitCtx, c.tenant, tokens, allowance, 0)
	admission.setQuotaDecision(decision)
	if decision.Allowed {
		return nil
	}
	if waitCtx.Err() != nil && ctx.Err() == nil {
		return errDrainGraceEnded()
	}
	rejection := &apierror.Error{
		Code:   decision.Code,
		Detail: fmt.Sprintf("%s has %.0f tokens in a window", c.tenant, decision.Limit),
	}
	return rejection.WithRetryAfter(decision.RetryAfter)
}
