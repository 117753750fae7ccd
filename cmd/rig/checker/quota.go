package checker

import (
	"sort"
	"time"

	"stepwick/cmd/rig/history"
	"stepwick/internal/apierror"
)

// got tells whether a tenant got what an attempt asked for, in whole or in part.
func got(a history.Attempt) bool {
	return a.Outcome == history.Served || a.Outcome == history.Abandoned || len(a.Events) > 0
}

func quotaRefusal(a history.Attempt) bool {
	return a.Outcome == history.Rejected && (a.Code == int(apierror.QuotaExceeded) || a.Code == int(apierror.ShareExceeded))
}

func byTenant(l *history.Recording) map[string][]history.Attempt {
	by := map[string][]history.Attempt{}
	for _, a := range l.Attempts {
		if _, ok := l.Allowances[a.Tenant]; ok {
			by[a.Tenant] = append(by[a.Tenant], a)
		}
	}
	for _, list := range by {
		sort.Slice(list, func(i, j int) bool { return list[i].Sent < list[j].Sent })
	}
	return by
}

func limit(a history.Allowance) float64 { return a.Rate*QuotaSpan.Seconds() + a.Burst }

func cutNear(l *history.Recording, from, to history.Instant) bool {
	for _, c := range l.Partitions {
		if c.From <= to && (c.To == 0 || c.To+2*QuotaSpan >= from) {
			return true
		}
	}
	return false
}

func tenants(l *history.Recording) []string {
	var names []string
	for name := range l.Allowances {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Worst is the most that a tenant got in any span, as a share of its limit, and
// the span's end.
func Worst(l *history.Recording, tenant string) (share float64, at history.Instant) {
	list, first, sum := byTenant(l)[tenant], 0, 0.0
	for i, a := range list {
		if got(a) {
			sum += a.Tokens
		}
		for ; list[first].Sent <= a.Sent-QuotaSpan && first < i; first++ {
			if got(list[first]) {
				sum -= list[first].Tokens
			}
		}
		if part := sum / limit(l.Allowances[tenant]); part > share {
			share, at = part, a.Sent
		}
	}
	return share, at
}

func overQuota(l *history.Recording) (found []string) {
	for _, tenant := range tenants(l) {
		most := QuotaMost
		share, at := Worst(l, tenant)
		if cutNear(l, at-QuotaSpan, at) {
			most = QuotaMostCut
		}
		if share > most {
			say(&found, "tenant %s got %.2f of its allowance in the 8 s before %s; the bound is %.2f", tenant, share, sec(at), most)
		}
	}
	return found
}

// demand is what was asked for in (from, to].
func demand(list []history.Attempt, from, to history.Instant) (asked, passed float64, others int) {
	i := sort.Search(len(list), func(i int) bool { return list[i].Sent > from })
	for ; i < len(list) && list[i].Sent <= to; i++ {
		asked += list[i].Tokens
		if got(list[i]) {
			passed += list[i].Tokens
		} else if !quotaRefusal(list[i]) {
			others++
		}
	}
	return
}

func underQuota(l *history.Recording) (found []string) {
	by := byTenant(l)
	for _, tenant := range tenants(l) {
		list, most := by[tenant], limit(l.Allowances[tenant])
		for _, a := range list {
			if !quotaRefusal(a) || a.Code == int(apierror.ShareExceeded) && cutNear(l, a.Sent-2*QuotaSpan, a.Sent) {
				continue
			}
			low, peak := true, 0.0
			for back := history.Instant(0); back <= QuotaSpan && low; back += QuotaSpan / 4 {
				asked, _, _ := demand(list, a.Sent-back-QuotaSpan, a.Sent-back)
				low, peak = asked < QuotaNever*most, max(peak, asked)
			}
			if low {
				say(&found, "tenant %s was refused with code %d at %s through %s; in no 8 s span of the last 16 s did it ask for more than %.2f of its allowance", tenant, a.Code, sec(a.Sent), a.Front, peak/most)
				break
			}
		}
	}
	return found
}

// starved looks at spans of steady excess demand in which nothing but quota
// refused: a tenant must get its allowance.
func starved(l *history.Recording) (found []string) {
	by := byTenant(l)
	for _, tenant := range tenants(l) {
		list, most := by[tenant], limit(l.Allowances[tenant])
		for to := 3 * QuotaSpan; to <= l.End; to += time.Second {
			steady := true
			for at := to - 2*QuotaSpan; at < to && steady; at += time.Second {
				asked, _, _ := demand(list, at, at+time.Second)
				steady = asked >= 1.2*most/QuotaSpan.Seconds()
			}
			if !steady || cutNear(l, to-2*QuotaSpan, to) {
				continue
			}
			if _, passed, others := demand(list, to-QuotaSpan, to); others == 0 && passed < QuotaLeast*most {
				say(&found, "tenant %s got %.2f of its allowance in the 8 s before %s although it asked for more all the time", tenant, passed/most, sec(to))
				break
			}
		}
	}
	return found
}

// Level is the attempts served a second in a span.
func Level(l *history.Recording, from, to history.Instant) float64 {
	n := 0
	for _, a := range l.Attempts {
		if a.Outcome == history.Served && a.Done >= from && a.Done < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func service(l *history.Recording) (found []string) {
	for _, m := range l.Actions {
		if !m.Final {
			continue
		}
		to := min(l.End, m.At+ServiceAfter+4*time.Second)
		if to < m.At+ServiceAfter+time.Second {
			say(&found, "the run ended %s after the final fault (%s): too early to judge", sec(l.End-m.At), m.Description)
			continue
		}
		before := Level(l, m.At-6*time.Second, m.At)
		if after := Level(l, m.At+ServiceAfter, to); after < ServiceShare*before {
			say(&found, "%s at %s: %.1f served a second before, %.1f from 12 s after", m.Description, sec(m.At), before, after)
		}
	}
	return found
}
