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
	// maxUrgency is the lowest urgency; servers distinguish ten, of which 0 is the highest.
	maxUrgency = 9
	// urgenciesPerTenantPriority is the number of route priorities that are distinguished
	// within one tenant priority.
	urgenciesPerTenantPriority = 3
	// A request waits for server capacity for at most its route's latency objective
	// divided by queueTimeoutDivisor, and at most maxQueueTimeout.
	queueTimeoutDivisor = 4
	maxQueueTimeout     = time.Second
	noRegionRetryAfter  = time.Second
)

// prepareSelection selects the service of the request and sets the properties that server
// selection depends on.
func (q *request) prepareSelection() *apierror.Error {
	regions, ok := allowedRegions(q.route.AllowedRegions, q.tenantConfig)
	if !ok {
		apiErr := apierror.Errorf(apierror.NoServer, "route %s and tenant %s have no allowed region in common", q.route.Name, q.tenant)
		return apiErr.WithRetryAfter(noRegionRetryAfter)
	}
	objective := time.Duration(q.route.ObjectiveMS) * time.Millisecond
	q.service = q.selectService()
	q.selection = balance.Request{
		ID:             q.call.ID,
		Service:        q.service,
		AllowedRegions: regions,
		Urgency:        urgency(q.tenantConfig.Priority, q.route.Priority),
		Route:          q.route.Name,
		MaxEventGap:    time.Duration(q.route.EventGapMS) * time.Millisecond,
		UnsharedTokens: q.call.PromptTokens,
		OutputTokens:   q.call.MaxOutputTokens,
		QueueUntil:     q.arrived.Add(min(objective/queueTimeoutDivisor, maxQueueTimeout)),
	}
	if q.route.Affinity {
		q.selection.PrefixDigest, q.selection.SharedTokens = sharedPrefix(q.call.Parts)
		q.selection.UnsharedTokens = max(q.call.PromptTokens-q.selection.SharedTokens, 0)
	}
	return nil
}

// allowedRegions returns the regions that may serve a request; empty for all. ok is false
// if the route and the tenant have no allowed region in common, so that no region may
// serve it.
func allowedRegions(routeRegions []string, tenant sheet.Tenant) (regions []string, ok bool) {
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

// urgency combines the priorities of a tenant and of a route into one of the urgencies that
// servers distinguish, of which 0 is the most urgent. The tenant's priority takes
// precedence.
func urgency(tenantPriority, routePriority int) int {
	routeUrgency := min(routePriority, urgenciesPerTenantPriority-1)
	return min(tenantPriority*urgenciesPerTenantPriority+routeUrgency, maxUrgency)
}

// sharedPrefix returns the digest and the number of tokens of the prefix that a prompt
// shares with others. These are all parts except the last, which is specific to the
// request or its session. A prompt of a single part shares that part.
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

// selectService selects one of the route's services according to their weights. The
// selection is a hash of the request id, so that a retry by the client is sent to the same
// service.
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

// unitInterval maps a hash to [0, 1). It uses the upper 53 bits, the precision of a
// float64.
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
