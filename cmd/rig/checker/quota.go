package checker

import (
	"slices"
	"sort"
	"strings"
	"time"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

const (
	// rejectionStep is the distance of the windows before a rejection in which the
	// tenant's demand is summed.
	rejectionStep = QuotaWindow / 4
	// excessDemand is the share of the allowance that a tenant must request in each
	// second for its demand to count as excessive all the time.
	excessDemand = 1.2
)

// served reports whether a tenant got what an attempt asked for, at least in part.
func served(attempt history.Attempt) bool {
	return attempt.Outcome == history.Served || attempt.Outcome == history.Abandoned || len(attempt.Events) > 0
}

func rejectedByQuota(attempt history.Attempt) bool {
	quotaCode := attempt.Code == int(apierror.QuotaExceeded) || attempt.Code == int(apierror.ShareExceeded)
	return attempt.Outcome == history.Rejected && quotaCode
}

// attemptsByTenant returns the attempts of tenants with an allowance, by the
// time at which they were sent.
func attemptsByTenant(recording *history.Recording) map[string][]history.Attempt {
	attempts := map[string][]history.Attempt{}
	for _, attempt := range recording.Attempts {
		if _, ok := recording.Allowances[attempt.Tenant]; ok {
			attempts[attempt.Tenant] = append(attempts[attempt.Tenant], attempt)
		}
	}
	for _, list := range attempts {
		sort.Slice(list, func(i, j int) bool { return list[i].Sent < list[j].Sent })
	}
	return attempts
}

// windowLimit returns the tokens that an allowance gives in a quota window.
func windowLimit(allowance history.Allowance) float64 {
	return allowance.Rate*QuotaWindow.Seconds() + allowance.Burst
}

// partitionedNear reports whether links were partitioned between two instants or
// up to two quota windows before.
func partitionedNear(recording *history.Recording, from, to history.Instant) bool {
	return slices.ContainsFunc(recording.Partitions, func(partition history.Interval) bool {
		ongoing := partition.To == 0
		return partition.From <= to && (ongoing || partition.To+2*QuotaWindow >= from)
	})
}

func sortedTenants(recording *history.Recording) []string {
	var names []string
	for name := range recording.Allowances {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

// PeakQuotaUse returns the most that a tenant got in any quota window, as a share
// of the window's limit, and the window's end.
func PeakQuotaUse(recording *history.Recording, tenant string) (peak float64, at history.Instant) {
	attempts := attemptsByTenant(recording)[tenant]
	limit := windowLimit(recording.Allowances[tenant])
	first := 0
	sum := 0.0
	for i, attempt := range attempts {
		if served(attempt) {
			sum += attempt.Tokens
		}
		for ; attempts[first].Sent <= attempt.Sent-QuotaWindow && first < i; first++ {
			if served(attempts[first]) {
				sum -= attempts[first].Tokens
			}
		}
		if use := sum / limit; use > peak {
			peak = use
			at = attempt.Sent
		}
	}
	return peak, at
}

// checkOverQuota finds tenants that got more than their allowance.
func checkOverQuota(recording *history.Recording) findings {
	var found findings
	for _, tenant := range sortedTenants(recording) {
		bound := MaxQuotaUse
		peak, peakEnd := PeakQuotaUse(recording, tenant)
		if partitionedNear(recording, peakEnd-QuotaWindow, peakEnd) {
			bound = MaxQuotaUsePartitioned
		}
		if peak > bound {
			found.add("tenant %s got %.2f of its allowance in the 8 s before %s; the bound is %.2f",
				tenant, peak, seconds(peakEnd), bound)
		}
	}
	return found
}

// demand sums up the attempts that were sent in a period.
type demand struct {
	requested     float64 // tokens
	served        float64 // tokens
	otherFailures int     // attempts not served for another reason than the quota
}

// demandIn returns the demand in (from, to] of attempts sorted by time.
func demandIn(attempts []history.Attempt, from, to history.Instant) demand {
	var sum demand
	start := sort.Search(len(attempts), func(i int) bool { return attempts[i].Sent > from })
	for _, attempt := range attempts[start:] {
		if attempt.Sent > to {
			break
		}
		sum.requested += attempt.Tokens
		if served(attempt) {
			sum.served += attempt.Tokens
		} else if !rejectedByQuota(attempt) {
			sum.otherFailures++
		}
	}
	return sum
}

// checkUnderQuota finds rejections of tenants that requested well below their
// allowance; the first of each tenant.
func checkUnderQuota(recording *history.Recording) findings {
	var found findings
	attemptsOf := attemptsByTenant(recording)
	for _, tenant := range sortedTenants(recording) {
		attempts := attemptsOf[tenant]
		limit := windowLimit(recording.Allowances[tenant])
		for _, attempt := range attempts {
			if !rejectedByQuota(attempt) || excusedByPartition(recording, attempt) {
				continue
			}
			if peak := peakDemandBefore(attempts, attempt.Sent, MinRejectedDemand*limit); peak < MinRejectedDemand*limit {
				found.add("tenant %s was refused with code %d at %s through %s; in no 8 s span of the last 16 s did it ask for more than %.2f of its allowance",
					tenant, attempt.Code, seconds(attempt.Sent), attempt.Front, peak/limit)
				break
			}
		}
	}
	return found
}

// excusedByPartition reports whether a node rejected by its share of the quota
// while links were partitioned.
func excusedByPartition(recording *history.Recording, attempt history.Attempt) bool {
	return attempt.Code == int(apierror.ShareExceeded) &&
		partitionedNear(recording, attempt.Sent-2*QuotaWindow, attempt.Sent)
}

// peakDemandBefore returns the most tokens requested in the windows that end up
// to one window before an instant. It stops at the first window that reaches
// enough.
func peakDemandBefore(attempts []history.Attempt, at history.Instant, enough float64) float64 {
	peak := 0.0
	for back := history.Instant(0); back <= QuotaWindow && peak < enough; back += rejectionStep {
		window := demandIn(attempts, at-back-QuotaWindow, at-back)
		peak = max(peak, window.requested)
	}
	return peak
}

// checkStarvation finds tenants that got less than their allowance in a window of
// steady excess demand in which nothing but the quota rejected; the first of each.
func checkStarvation(recording *history.Recording) findings {
	var found findings
	attemptsOf := attemptsByTenant(recording)
	for _, tenant := range sortedTenants(recording) {
		attempts := attemptsOf[tenant]
		limit := windowLimit(recording.Allowances[tenant])
		for windowEnd := 3 * QuotaWindow; windowEnd <= recording.End; windowEnd += time.Second {
			from := windowEnd - 2*QuotaWindow
			if !steadyExcess(attempts, from, windowEnd, limit) || partitionedNear(recording, from, windowEnd) {
				continue
			}
			window := demandIn(attempts, windowEnd-QuotaWindow, windowEnd)
			if window.otherFailures == 0 && window.served < MinQuotaServed*limit {
				found.add("tenant %s got %.2f of its allowance in the 8 s before %s although it asked for more all the time",
					tenant, window.served/limit, seconds(windowEnd))
				break
			}
		}
	}
	return found
}

// steadyExcess reports whether demand exceeded the allowance in each second.
func steadyExcess(attempts []history.Attempt, from, to history.Instant, limit float64) bool {
	for at := from; at < to; at += time.Second {
		if demandIn(attempts, at, at+time.Second).requested < excessDemand*limit/QuotaWindow.Seconds() {
			return false
		}
	}
	return true
}
