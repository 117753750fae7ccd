package quota

import "time"

// reservedFraction is the fraction of an even share that is reserved for an
// unresponsive front. The rest remains available, so that neither side of a network
// partition is starved.
const reservedFraction = 0.85

// allocate returns a front's share of a tenant's remaining capacity, by demand, and the
// reservation for unresponsive fronts.
func (c *Counter) allocate(tenant *tenantCount, recipient *contribution, now time.Time) allocationReport {
	summedAt := tenant.demand.summedAt
	if now.Sub(summedAt) > c.config.Interval/demandReportsPerInterval || now.Before(summedAt) {
		c.sumDemand(tenant, now)
		c.reserve(tenant, now)
	}
	recipient.share = c.share(tenant, recipient, now)
	return allocationReport{
		share:         recipient.share,
		reserved:      tenant.reservation.fraction,
		reservedSpent: tenant.reservation.knownSpend,
		sendSpacing:   c.load.spacing(&c.config),
	}
}

func (c *Counter) share(tenant *tenantCount, recipient *contribution, now time.Time) float64 {
	if tenant.demand.tokens <= 0 {
		return c.membership.evenShare()
	}
	even := c.config.EvenFraction
	demand := recipient.demand.tokensAt(now.Add(-c.config.MaxLag))
	return even/float64(max(1, tenant.demand.activeFronts)) + (1-even)*demand/tenant.demand.tokens
}

// sumDemand sums the demand of the active fronts. Of each front it takes the higher of
// its latest demand and its demand MaxLag ago, the latest instant for which the demand of
// all fronts is known, so that the shares don't add up to more than 1 for long.
func (c *Counter) sumDemand(tenant *tenantCount, now time.Time) {
	sum := demandSum{summedAt: now}
	for _, front := range tenant.contributions {
		if !front.idle && now.Sub(front.lastReceivedAt) <= frontInactiveAfter.duration(&c.config) {
			sum.activeFronts++
			sum.tokens += max(front.demand.latestTokens(), front.demand.tokensAt(now.Add(-c.config.MaxLag)))
		}
	}
	tenant.demand = sum
}

// reserve sets the capacity reserved for what unresponsive fronts may be spending:
// reservedFraction of an even share for each, and less if they are few. During a network
// partition, it is higher for fronts whose last share exceeded an even one.
func (c *Counter) reserve(tenant *tenantCount, now time.Time) {
	missing := c.findMissingFronts(tenant, now)
	tenant.reservation = reservation{
		fraction:   c.fractionToReserve(missing),
		knownSpend: missing.knownSpend,
	}
	since, unknown := c.unknownSpendSince(tenant)
	if unknown {
		assumed := assumedSpentFraction(since, now, c.config.Window)
		tenant.reservation.fraction = max(tenant.reservation.fraction, assumed)
	}
}

func (c *Counter) fractionToReserve(missing missingFronts) float64 {
	missingShare := float64(missing.count) * c.membership.evenShare()
	fraction := reservedFraction * missingShare
	if missingShare < partitionFraction {
		fraction = reservedFraction * missingShare * missingShare / partitionFraction
	}
	if c.membership.partitioned() {
		fraction += reservedFraction * missing.excessShare
	}
	return fraction
}

// unknownSpendSince returns since when fronts on the other side of a network partition
// may have been spending an amount that no front on this side knows.
func (c *Counter) unknownSpendSince(tenant *tenantCount) (since time.Time, unknown bool) {
	since = c.membership.partitionedSince
	if tenant.countedForOther {
		since = tenant.countStartedAt
	}
	if since.IsZero() || tenant.hasOtherOwnerTotals {
		return since, false
	}
	countedBefore := tenant.countStartedAt.Before(since.Add(-startupGrace.duration(&c.config)))
	return since, !countedBefore
}

// missingFronts summarizes the fronts that may be spending without reporting here.
type missingFronts struct {
	count       int
	excessShare float64 // half the amount by which their shares exceed even ones
	knownSpend  float64 // tokens that they are known to have spent during the last Config.Window
}

// findMissingFronts summarizes the fronts that are unresponsive. If the tenant is counted
// on behalf of another front, or the counter is congested, it includes all fronts that
// have not sent counts recently. Fronts that were removed or restarted, or where the
// tenant is idle, spend nothing and are left out.
func (c *Counter) findMissingFronts(tenant *tenantCount, now time.Time) missingFronts {
	var missing missingFronts
	considered := make(map[string]bool, len(tenant.contributions))
	newest := c.grid.slice(now)
	oldest := newest - c.grid.slicesPerWindow + 1
	maxSilence := frontMissingAfter.duration(&c.config) + c.load.spacing(&c.config)
	for front, contribution := range tenant.contributions {
		if now.Sub(contribution.lastReceivedAt) <= maxSilence {
			considered[front.name] = true
			continue
		}
		inactive := contribution.idle || !c.membership.isFront[front.name] || tenant.superseded(front)
		if inactive || considered[front.name] || !(c.load.congested() || c.mayBeSpending(tenant, front.name, now)) {
			continue
		}
		considered[front.name] = true
		missing.count++
		missing.excessShare += max(0, contribution.share-c.membership.evenShare()) / 2
		missing.knownSpend += contribution.spend.sum(oldest, newest)
	}
	c.addUnknownFronts(tenant, now, considered, &missing)
	return missing
}

// addUnknownFronts adds the missing fronts without a contribution. Their known spend is
// the excess of the other owners' totals over the spend reported to this counter.
func (c *Counter) addUnknownFronts(tenant *tenantCount, now time.Time, considered map[string]bool, missing *missingFronts) {
	unknown := 0
	for _, name := range c.membership.fronts {
		if !considered[name] && c.mayBeSpending(tenant, name, now) {
			unknown++
		}
	}
	if unknown > 0 {
		newest := c.grid.slice(now)
		oldest := newest - c.grid.slicesPerWindow + 1
		missing.knownSpend += max(0, tenant.otherOwnerTotals.sum(oldest, newest)-tenant.reportedSpend.sum(oldest, newest))
	}
	missing.count += unknown
}

// mayBeSpending reports whether a front that sends no counts may be spending a tenant's
// tokens.
func (c *Counter) mayBeSpending(tenant *tenantCount, front string, now time.Time) bool {
	return tenant.countedForOther || c.membership.isUnresponsive(front, now, ownerUnresponsiveAfter.duration(&c.config))
}
