package gateway

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
)

// deadlineWriteMargin is the time after the deadline in which a response can still be
// written to the client.
const deadlineWriteMargin = time.Second

// admit checks the request against the configuration in force, reads its body, prepares
// server selection and charges the tenant's quota.
func (q *request) admit() *apierror.Error {
	gateway := q.gateway
	if gateway.closed.Load() {
		return apierror.Errorf(apierror.FrontDraining, "the node is shutting down; send the request to another node").WithRetryAfter(noAuthorityRetryAfter)
	}
	var apiErr *apierror.Error
	if q.call, apiErr = gateway.dialect.ReadRequest(q.http); apiErr != nil {
		return apiErr
	}
	if apiErr = gateway.awaitAuthority(q.http.Context()); apiErr != nil {
		return apiErr
	}
	if apiErr = q.matchRouteAndTenant(gateway.views.View().Index); apiErr != nil {
		return apiErr
	}
	q.setDeadline()
	if apiErr = q.checkDrain(); apiErr != nil {
		return apiErr
	}
	if apiErr = q.readBody(); apiErr != nil {
		return apiErr
	}
	if apiErr = q.prepareSelection(); apiErr != nil {
		return apiErr
	}
	return q.chargeQuota()
}

// matchRouteAndTenant looks up the route and the tenant of the request in a
// configuration.
func (q *request) matchRouteAndTenant(index *sheet.Index) *apierror.Error {
	path, _, _ := strings.Cut(q.requestTarget(), "?")
	route, found := index.Route(q.http.Host, path)
	if !found {
		return apierror.Errorf(apierror.UnknownRoute, "no route for %s%s", q.http.Host, path)
	}
	q.index = index
	q.route = route
	if len(index.Sheet().Tenants) == 0 {
		return nil
	}
	return q.authenticate()
}

// authenticate looks up the tenant by the request's API key. A public route also accepts
// requests without a valid key.
func (q *request) authenticate() *apierror.Error {
	if q.call.Key != "" {
		if name, tenant, found := q.index.Tenant(q.call.Key); found {
			q.tenant = name
			q.tenantConfig = tenant
			return nil
		}
	}
	switch {
	case q.route.Public:
		return nil
	case q.call.Key == "":
		return apierror.Errorf(apierror.MissingKey, "")
	}
	return apierror.Errorf(apierror.UnknownKey, "the API key belongs to no tenant of the configuration in force")
}

// checkAdmission returns an error if the configuration in force no longer admits the
// request for the same tenant and service. It is called before each attempt, since the
// configuration may have changed while the request was queued.
func (q *request) checkAdmission() *apierror.Error {
	if apiErr := q.gateway.checkAuthority(); apiErr != nil {
		return apiErr
	}
	index := q.gateway.views.View().Index
	if index == q.index {
		return nil
	}
	admittedTenant := q.tenant
	if apiErr := q.matchRouteAndTenant(index); apiErr != nil {
		return apiErr
	}
	servesRoute := func(split sheet.Split) bool { return split.Service == q.service && split.Weight > 0 }
	if q.tenant != admittedTenant || !slices.ContainsFunc(q.route.Splits, servesRoute) {
		return apierror.Errorf(apierror.NotExecuted, "the route or the tenant of the key has changed since the request was admitted").WithRetryAfter(noAuthorityRetryAfter)
	}
	return nil
}

// setDeadline sets the request's deadline to the earliest of the route's, the client's
// and the gateway's.
func (q *request) setDeadline() {
	timeout := time.Duration(q.route.TimeoutMS) * time.Millisecond
	if q.call.Timeout > 0 {
		timeout = min(timeout, q.call.Timeout)
	}
	q.deadline = q.arrived.Add(min(timeout, q.gateway.config.MaxDeadline))
	controller := http.NewResponseController(q.writer)
	_ = controller.SetWriteDeadline(q.deadline.Add(deadlineWriteMargin))
}
