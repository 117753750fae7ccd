package front

import (
	"maps"
	"slices"
	"strings"
	"time"

	"stepwick/internal/decision/route"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// routingReportInterval is the minimum interval between two reports and the longest
// time that the router sleeps.
const routingReportInterval = time.Second

// routingReporter logs changes of the routing table: plans that are applied or
// stale, servers that are ejected or readmitted, and regions without servers. Only
// the router's goroutine uses it.
type routingReporter struct {
	reportedAt time.Time
	plan       *wire.Plan
	planSince  time.Time // when plan was first seen
	ejected    map[string]bool
	// regionsWithoutServers holds pairs of the form "service region".
	regionsWithoutServers map[string]bool
}

// report logs a new plan immediately and everything else at most once per
// routingReportInterval.
func (r *routingReporter) report(table *route.Table, plan *wire.Plan, now time.Time, log events.Log) {
	if plan != r.plan {
		r.plan = plan
		r.planSince = now
		log.Emit(events.PlanApplied, "plan", plan.GetNumber(), "term", plan.GetTerm(), "cause", plan.GetCause())
	}
	if now.Sub(r.reportedAt) < routingReportInterval {
		return
	}
	r.reportedAt = now
	if age := now.Sub(r.planSince); plan != nil && age > 2*time.Duration(plan.PeriodMs)*time.Millisecond {
		log.Emit(events.PlanStale, "plan", plan.Number, "term", plan.Term, "holder", plan.Holder, "age", age)
	}
	r.reportEjections(table, log)
	r.reportRegionsWithoutServers(table, plan, log)
}

func (r *routingReporter) reportEjections(table *route.Table, log events.Log) {
	ejected := toSet(table.Ejected())
	forEachNew(ejected, r.ejected, func(name string) { log.Emit(events.ServerEjected, "server", name) })
	forEachNew(r.ejected, ejected, func(name string) { log.Emit(events.ServerReadmitted, "server", name) })
	r.ejected = ejected
}

func (r *routingReporter) reportRegionsWithoutServers(table *route.Table, plan *wire.Plan, log events.Log) {
	regionsWithoutServers := map[string]bool{}
	if plan != nil {
		regionsWithoutServers = toSet(table.ServicesWithoutServers())
	}
	forEachNew(regionsWithoutServers, r.regionsWithoutServers, func(serviceAndRegion string) {
		service, region, _ := strings.Cut(serviceAndRegion, " ")
		log.Emit(events.PlanRegionWithoutServers, "service", service, "region", region)
	})
	r.regionsWithoutServers = regionsWithoutServers
}

func toSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// forEachNew calls visit, in sorted order, for each name in current that is not in
// previous.
func forEachNew(current, previous map[string]bool, visit func(name string)) {
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if !previous[name] {
			visit(name)
		}
	}
}
