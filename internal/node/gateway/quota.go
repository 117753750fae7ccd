package gateway

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/sheet"
)

// QuotaPolicy limits the fraction of a tenant's quota that a request may use, depending
// on the priority of its route. When a tenant exceeds its quota, its less urgent requests
// are thus rejected first.
type QuotaPolicy struct {
	// Fraction is the fraction for the most urgent routes. The default is 1.
	Fraction float64
	// ReservePerStep is subtracted from Fraction for each level of priority by which a
	// route is less urgent than the most urgent one.
	ReservePerStep float64
}

const (
	// maxReserveSteps limits how many times ReservePerStep is subtracted.
	maxReserveSteps = 3
	// smallRequestFraction is the fraction of the tenant's quota per second up to which a
	// request is small. Small requests are exempt from ReservePerStep, as rejecting them
	// would free little quota.
	smallRequestFraction = 0.003
	// quotaTimeoutFraction is the fraction of a route's latency objective for which a
	// request may wait for the owner of its tenant's counter in a large fleet. The rest
	// is left for serving it within the objective. The setting tally.hold applies instead
	// where it is longer.
	quotaTimeoutFraction = 0.5
	// minRetryAfter is the shortest Retry-After of a quota rejection. It is also that of
	// a request that failed or reached its deadline before it was sent to a server.
	minRetryAfter = 50 * time.Millisecond
)

// fraction returns the fraction of the tenant's quota that a request may use. units is
// the amount charged for it.
func (p QuotaPolicy) fraction(units float64, tenant sheet.Tenant, priority int) float64 {
	if units <= smallRequestFraction*tenant.Rate {
		return p.Fraction
	}
	return p.Fraction - p.ReservePerStep*float64(min(priority, maxReserveSteps))
}

// chargeQuota charges the request to its tenant's quota. A tenant without a rate is not
// limited.
func (q *request) chargeQuota() *apierror.Error {
	if q.tenantConfig.Rate <= 0 {
		return nil
	}
	units := 1.0
	if q.tenantConfig.Unit != sheet.UnitRequests {
		units = q.tokens()
	}
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(q.gateway.clock.Now()))
	defer cancel()
	fraction := q.gateway.config.Quota.fraction(units, q.tenantConfig, q.route.Priority)
	allowance := quota.Allowance{
		Rate:  q.tenantConfig.Rate * fraction,
		Burst: q.tenantConfig.Burst * fraction,
	}
	decision := q.gateway.admitter.Admit(ctx, q.tenant, units, allowance, q.quotaTimeout())
	if decision.Allowed {
		return nil
	}
	apiErr := apierror.Errorf(decision.Code, "tenant %s has a quota of %.0f per window", q.tenant, decision.Limit)
	return apiErr.WithRetryAfter(max(decision.RetryAfter, minRetryAfter))
}

// quotaTimeout returns how long the request may wait for a quota decision in a large
// fleet if tally.hold is shorter; zero if its route has no latency objective.
func (q *request) quotaTimeout() time.Duration {
	return time.Duration(quotaTimeoutFraction * float64(q.route.ObjectiveMS) * float64(time.Millisecond))
}

// tokens returns the number of tokens charged for the request.
func (q *request) tokens() float64 {
	switch {
	case q.call.DeclaresTokens:
		return q.call.Tokens()
	case q.tenantConfig.DefaultTokens > 0:
		return q.tenantConfig.DefaultTokens
	}
	return q.gateway.config.DefaultTokens
}
