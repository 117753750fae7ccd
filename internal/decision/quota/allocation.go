package quota

import "time"

// reservedFraction is the fraction of an even share that is reserved for an
// unresponsive front. The rest is released, so that neither side of a partition
// starves.
const reservedFraction = 0.85

// allocate returns a front's part in a tenant's limit: its share of the remaining
// capacity by demand, and the reservation for unresponsive fronts.
func (c *Counter) allocate(tenant *tenantCount, to *contribution, now time.Time) allocationReport {
	summedAt := tenant.demand.summedAt
	if now.Sub(summedAt) > c.config.Interval/demandReportSpacing || now.Before(summedAt) {
		c.sumDemand(tenant, now)
		c.reserve(tenant, now)
	}
	to.share = c.share(tenant, to, now)
	return allocationReport{
		share:         to.share,
		reserved:      tenant.reservation.fraction,
		reservedSpent: tenant.reservation.spent,
		sendSpacing:   c.load.spacing(&c.config),
	}
}

func (c *Counter) share(tenant *tenantCount, to *contribution, now time.Time) float64 {
	if tenant.demand.tokens <= 0 {
		return c.membership.evenShare()
	}
	even := c.config.EvenFraction
	demand := to.demand.at(now.Add(-c.config.MaxLag))
	return even/float64(max(1, tenant.demand.fronts)) + (1-even)*demand/tenant.demand.tokens
}

// sumDemand sums the demand of the active fronts. A front's demand counts as of the
// instant at which every front's is known, or as the newest if that is higher, so that
// the shares never add up to more than one for long.
func (c *Counter) sumDemand(tenant *tenantCount, now time.Time) {
	sum := demandSum{summedAt: now}
	for _, front := range tenant.fronts {
		if !front.idle && now.Sub(front.lastReceived) <= frontActiveFor.in(&c.config) {
			sum.fronts++
			sum.tokens += max(front.demand.newest(), front.demand.at(now.Add(-c.config.MaxLag)))
		}
	}
	tenant.demand = sum
}

// reserve sets aside what unresponsive fronts may spend on their own: an even share
// for each, less a part that is released, and less still for few fronts. In a
// partition, fronts that last had a larger share get more.
func (c *Counter) reserve(tenant *tenantCount, now time.Time) {
	missing := c.missingFronts(tenant, now)
	tenant.reservation = reservation{
		fraction: c.reservedFor(missing),
		spent:    missing.spent,
	}
	since, uninformed := c.uninformedSince(tenant)
	if uninformed {
		assumed := assumedSpent(since, now, c.config.Window)
		tenant.reservation.fraction = max(tenant.reservation.fraction, assumed)
	}
}

func (c *Counter) reservedFor(missing missingFronts) float64 {
	part := float64(missing.count) * c.membership.evenShare()
	fraction := reservedFraction * part
	if part < partitionFraction {
		fraction = reservedFraction * part * part / partitionFraction
	}
	if c.membership.partitioned() {
		fraction += reservedFraction * missing.excessShare
	}
	return fraction
}

// uninformedSince returns since when fronts on the other side of a partition may be
// spending without any front here knowing how much.
func (c *Counter) uninformedSince(tenant *tenantCount) (since time.Time, uninformed bool) {
	since = c.membership.partitionedSince
	if tenant.countedForOther {
		since = tenant.startedAt
	}
	if since.IsZero() || tenant.totalsReported {
		return since, false
	}
	countedBefore := tenant.startedAt.Before(since.Add(-startupGrace.in(&c.config)))
	return since, !countedBefore
}

// missingFronts sums up the fronts that may spend without this counter's knowledge.
type missingFronts struct {
	count       int
	excessShare float64 // half of what their shares exceed even ones by
	spent       float64 // tokens that they are known to have spent
}

// missingFronts returns the fronts that are unresponsive or, if the tenant is counted
// on behalf of another front or counts are handled late, just not heard. Fronts that
// were removed or restarted, or where the tenant is idle, spend nothing.
func (c *Counter) missingFronts(tenant *tenantCount, now time.Time) missingFronts {
	var missing missingFronts
	considered := make(map[string]bool, len(tenant.fronts))
	newest := c.grid.slice(now)
	oldest := newest - c.grid.slicesPerWindow + 1
	heardWithin := frontMissingAfter.in(&c.config) + c.load.spacing(&c.config)
	for front, contribution := range tenant.fronts {
		if now.Sub(contribution.lastReceived) <= heardWithin {
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
		missing.spent += contribution.spend.sum(oldest, newest)
	}
	c.addUnknownFronts(tenant, now, considered, &missing)
	return missing
}

// addUnknownFronts adds the fronts without a contribution. Of their spend no more is
// known than the excess of the learned totals over the reported ones.
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
		missing.spent += max(0, tenant.learned.sum(oldest, newest)-tenant.reported.sum(oldest, newest))
	}
	missing.count += unknown
}

// mayBeSpending reports whether a missing front may be spending a tenant's tokens.
func (c *Counter) mayBeSpending(tenant *tenantCount, front string, now time.Time) bool {
	return tenant.countedForOther || c.membership.isUnresponsive(front, now, ownerUnresponsiveAfter.in(&c.config))
}
