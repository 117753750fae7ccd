package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/port"
)

const (
	// maxUrgency is the least urgent of the ten urgencies that servers know.
	maxUrgency = 9
	// urgenciesPerTenantPriority is how many route priorities are distinguished within
	// a priority of tenants.
	urgenciesPerTenantPriority = 3
	// A request waits for a server's capacity for at most the part
	// 1/queueTimeoutDivisor of its latency objective, and maxQueueTimeout.
	queueTimeoutDivisor = 4
	maxQueueTimeout     = time.Second
	noRegionRetryAfter  = time.Second
)

// prepareSelection sets the service of the request and what the selection of a
// server depends on.
func (q *request) prepareSelection() *apierror.Error {
	regions, possible := allowedRegions(q.route.AllowedRegions, q.tenantTerms)
	if !possible {
		apiErr := apierror.Errorf(apierror.NoServer, "the homes of the route and of the tenant have no region in common")
		return apiErr.WithRetryAfter(noRegionRetryAfter)
	}
	objective := time.Duration(q.route.ObjectiveMS) * time.Millisecond
	q.service = q.selectService()
	q.selection = balance.Request{
		ID:             q.call.ID,
		Service:        q.service,
		AllowedRegions: regions,
		Urgency:        urgency(q.tenantTerms.Priority, q.route.Priority),
		Route:          q.route.Name,
		MaxEventGap:    time.Duration(q.route.EventGapMS) * time.Millisecond,
		UnsharedTokens: q.call.TokensIn,
		OutputTokens:   q.call.TokensOut,
		QueueUntil:     q.arrived.Add(min(objective/queueTimeoutDivisor, maxQueueTimeout)),
	}
	if q.route.Affinity {
		q.selection.PrefixDigest, q.selection.SharedTokens = sharedPrefix(q.call.Parts)
		q.selection.UnsharedTokens = max(q.call.TokensIn-q.selection.SharedTokens, 0)
	}
	return nil
}

// allowedRegions returns the regions that may serve a request, empty for all. It
// is not possible to serve one whose route and tenant have no region in common.
func allowedRegions(routeRegions []string, tenant sheet.Tenant) (regions []string, possible bool) {
	tenantRegions := tenant.AllowedRegions
	if tenant.HomeRegion != "" {
		tenantRegions = append(slices.Clip(tenantRegions), tenant.HomeRegion)
	}
	switch {
	case len(routeRegions) == 0:
		return tenantRegions, true
	case len(tenantRegions) == 0:
		return routeRegions, true
	}
	for _, region := range routeRegions {
		if slices.Contains(tenantRegions, region) {
			regions = append(regions, region)
		}
	}
	return regions, len(regions) > 0
}

// urgency combines the priorities of a tenant and of a route to one of the
// urgencies that servers know, of which 0 is the most urgent.
func urgency(tenantPriority, routePriority int) int {
	within := min(routePriority, urgenciesPerTenantPriority-1)
	return min(tenantPriority*urgenciesPerTenantPriority+within, maxUrgency)
}

// sharedPrefix returns the digest and the tokens of the prefix that a prompt shares
// with others: all parts but the last, which belongs to the request or its session
// alone; a prompt of one part shares that.
func sharedPrefix(parts []port.PromptPart) (digest uint64, tokens float64) {
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	for _, part := range parts {
		tokens += part.Tokens
		digest = part.ID
	}
	return digest, tokens
}

// selectService selects one of the route's services by their weights. The request's
// id decides, so that a retry by the client goes to the same service.
func (q *request) selectService() string {
	splits := q.route.Splits
	if len(splits) == 1 {
		return splits[0].Service
	}
	total := 0.0
	for _, split := range splits {
		total += split.Weight
	}
	position := unitInterval(xxhash.Sum64String(q.call.ID)) * total
	for _, split := range splits {
		if position < split.Weight {
			return split.Service
		}
		position -= split.Weight
	}
	return splits[len(splits)-1].Service
}

// unitInterval maps a hash to [0, 1) by as many of its bits as a float64 holds.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
