package gateway

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/quota"
	"stepwick/internal/decision/sheet"
)

// QuotaPolicy limits the fraction of a tenant's quota that a request may use, by
// the priority of its route. Of a tenant that exceeds its quota, the less urgent
// requests are refused first.
type QuotaPolicy struct {
	// Fraction is the fraction for the most urgent routes; 1 when zero.
	Fraction float64
	// ReservePerStep is subtracted from Fraction for each step by which a route's
	// priority is below the most urgent one.
	ReservePerStep float64
}

const (
	// maxReserveSteps limits the steps for which ReservePerStep is subtracted.
	maxReserveSteps = 3
	// smallRequestFraction of the quota of one second is the most that a request
	// costs which is exempt from ReservePerStep, as refusing it would gain little.
	smallRequestFraction = 0.003
	// quotaTimeoutFraction of a request's latency objective is how long it may wait
	// in a large fleet for the owner of its tenant's counter, so that it can still be
	// answered in time after that. The setting tally.hold allows the same or longer
	// for every request.
	quotaTimeoutFraction = 0.5
	// minRetryAfter is the shortest Retry-After that a client gets.
	minRetryAfter = 50 * time.Millisecond
)

// fraction returns the fraction of the tenant's quota that a request of the given
// units may use.
func (p QuotaPolicy) fraction(units float64, tenant sheet.Tenant, priority int) float64 {
	if units <= smallRequestFraction*tenant.Rate {
		return p.Fraction
	}
	return p.Fraction - p.ReservePerStep*float64(min(priority, maxReserveSteps))
}

// chargeQuota charges the request to its tenant's quota. A tenant without a rate
// is not limited.
func (q *request) chargeQuota() *apierror.Error {
	if q.tenantTerms.Rate <= 0 {
		return nil
	}
	units := 1.0
	if q.tenantTerms.Unit != sheet.UnitRequests {
		units = q.tokens()
	}
	ctx, cancel := context.WithTimeout(q.http.Context(), q.deadline.Sub(q.gateway.clock.Now()))
	defer cancel()
	fraction := q.gateway.config.Quota.fraction(units, q.tenantTerms, q.route.Priority)
	terms := quota.Allowance{
		Rate:  q.tenantTerms.Rate * fraction,
		Burst: q.tenantTerms.Burst * fraction,
	}
	decision := q.gateway.admitter.Admit(ctx, q.tenant, units, terms, q.quotaTimeout())
	if decision.Allowed {
		return nil
	}
	apiErr := apierror.Errorf(decision.Code, "%s has %.0f in a window", q.tenant, decision.Limit)
	return apiErr.WithRetryAfter(max(decision.RetryAfter, minRetryAfter))
}

// quotaTimeout returns how long the request may wait for a quota decision in a large
// fleet, where that is longer than tally.hold; zero where its route has no latency
// objective.
func (q *request) quotaTimeout() time.Duration {
	return time.Duration(quotaTimeoutFraction * float64(q.route.ObjectiveMS) * float64(time.Millisecond))
}

// tokens returns the size at which the request is charged.
func (q *request) tokens() float64 {
	switch {
	case q.call.DeclaresTokens:
		return q.call.Tokens()
	case q.tenantTerms.DefaultTokens > 0:
		return q.tenantTerms.DefaultTokens
	}
	return q.gateway.config.DefaultTokens
}
