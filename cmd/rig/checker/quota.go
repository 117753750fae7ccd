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
	// rejectionStep is the interval between the ends of the windows before a rejection
	// in which the tenant's demand is summed.
	rejectionStep = QuotaWindow / 4
	// excessDemand is the fraction of the allowance that a tenant must request in each
	// second for its demand to count as steady excess.
	excessDemand = 1.2
)

// served reports whether an attempt was served at least in part.
func served(attempt history.Attempt) bool {
	return attempt.Outcome == history.Served || attempt.Outcome == history.Abandoned || len(attempt.Events) > 0
}

func rejectedByQuota(attempt history.Attempt) bool {
	quotaCode := attempt.Code == int(apierror.QuotaExceeded) || attempt.Code == int(apierror.ShareExceeded)
	return attempt.Outcome == history.Rejected && quotaCode
}

// attemptsByTenant returns the attempts of each tenant with an allowance, sorted by
// the time at which they were sent.
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

// windowLimit returns the tokens that an allowance grants in a quota window.
func windowLimit(allowance history.Allowance) float64 {
	return allowance.Rate*QuotaWindow.Seconds() + allowance.Burst
}

// partitionedNear reports whether links were partitioned at any time from two quota
// windows before the first instant until the second one.
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

// PeakQuotaUse returns the highest use of a tenant's quota in any quota window, as a
// fraction of the window's limit, and the end of that window.
func PeakQuotaUse(recording *history.Recording, tenant string) (peak float64, windowEnd history.Instant) {
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
			windowEnd = attempt.Sent
		}
	}
	return peak, windowEnd
}

// checkOverQuota finds tenants that were served more than their allowance.
func checkOverQuota(recording *history.Recording) findings {
	var evidence findings
	for _, tenant := range sortedTenants(recording) {
		bound := MaxQuotaUse
		peak, peakEnd := PeakQuotaUse(recording, tenant)
		if partitionedNear(recording, peakEnd-QuotaWindow, peakEnd) {
			bound = MaxQuotaUsePartitioned
		}
		if peak > bound {
			evidence.addf("tenant %s was served %.2f of its allowance in the 8 s before %s; the bound is %.2f",
				tenant, peak, seconds(peakEnd), bound)
		}
	}
	return evidence
}

// demand totals the attempts sent in a period.
type demand struct {
	requested     float64 // tokens
	served        float64 // tokens
	otherFailures int     // attempts that failed for reasons other than the quota
}

// demandIn returns the demand in (from, to]; the attempts must be sorted by time.
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

// checkUnderQuota finds the first quota rejection of each tenant whose demand was well
// below its allowance.
func checkUnderQuota(recording *history.Recording) findings {
	var evidence findings
	attemptsOf := attemptsByTenant(recording)
	for _, tenant := range sortedTenants(recording) {
		attempts := attemptsOf[tenant]
		limit := windowLimit(recording.Allowances[tenant])
		for _, attempt := range attempts {
			if !rejectedByQuota(attempt) || excusedByPartition(recording, attempt) {
				continue
			}
			if peak := peakDemandBefore(attempts, attempt.Sent, MinRejectedDemand*limit); peak < MinRejectedDemand*limit {
				evidence.addf("tenant %s was rejected with code %d at %s through %s; its peak demand in any 8 s window of the last 16 s was %.2f of its allowance",
					tenant, attempt.Code, seconds(attempt.Sent), attempt.Front, peak/limit)
				break
			}
		}
	}
	return evidence
}

// excusedByPartition reports whether a node rejected the attempt because its own share
// of the quota was used up during or shortly after a partition.
func excusedByPartition(recording *history.Recording, attempt history.Attempt) bool {
	return attempt.Code == int(apierror.ShareExceeded) &&
		partitionedNear(recording, attempt.Sent-2*QuotaWindow, attempt.Sent)
}

// peakDemandBefore returns the highest demand, in tokens, of the quota windows that end
// at the instant or up to one window earlier. It stops at the first window that reaches
// sufficient.
func peakDemandBefore(attempts []history.Attempt, instant history.Instant, sufficient float64) float64 {
	peak := 0.0
	for back := history.Instant(0); back <= QuotaWindow && peak < sufficient; back += rejectionStep {
		window := demandIn(attempts, instant-back-QuotaWindow, instant-back)
		peak = max(peak, window.requested)
	}
	return peak
}

// checkStarvation finds, for each tenant, the first window of steady excess demand in
// which it was served less than MinQuotaServed of its allowance and no attempt failed
// for reasons other than the quota.
func checkStarvation(recording *history.Recording) findings {
	var evidence findings
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
				evidence.addf("tenant %s was served %.2f of its allowance in the 8 s before %s under steady excess demand",
					tenant, window.served/limit, seconds(windowEnd))
				break
			}
		}
	}
	return evidence
}

// steadyExcess reports whether the demand of each second reached excessDemand of the
// allowance.
func steadyExcess(attempts []history.Attempt, from, to history.Instant, limit float64) bool {
	for secondStart := from; secondStart < to; secondStart += time.Second {
		if demandIn(attempts, secondStart, secondStart+time.Second).requested < excessDemand*limit/QuotaWindow.Seconds() {
			return false
		}
	}
	return true
}
