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

const surveyEvery = time.Second

// survey tells the log, about once a second, what the routing table has come to.
type survey struct {
	at      time.Time
	plan    *wire.Plan
	planAt  time.Time
	ejected map[string]bool
	short   map[string]bool
}

func (s *survey) look(table *route.Table, plan *wire.Plan, now time.Time, log events.Log) {
	if plan != s.plan {
		s.plan, s.planAt = plan, now
		log.Emit(events.PlanApplied, "plan", plan.GetNumber(), "term", plan.GetTerm(), "cause", plan.GetCause())
	}
	if now.Sub(s.at) < surveyEvery {
		return
	}
	s.at = now
	if age := now.Sub(s.planAt); plan != nil && age > 2*time.Duration(plan.PeriodMs)*time.Millisecond {
		log.Emit(events.PlanStale, "plan", plan.Number, "term", plan.Term, "holder", plan.Holder, "age", age)
	}
	ejected, short := map[string]bool{}, map[string]bool{}
	for _, name := range table.Ejected() {
		ejected[name] = true
	}
	if plan != nil {
		for _, place := range table.ServicesWithoutServers() {
			short[place] = true
		}
	}
	begun(ejected, s.ejected, func(name string) { log.Emit(events.ServerEjected, "server", name) })
	begun(s.ejected, ejected, func(name string) { log.Emit(events.ServerReadmitted, "server", name) })
	begun(short, s.short, func(place string) {
		service, region, _ := strings.Cut(place, " ")
		log.Emit(events.PlanRegionWithoutServers, "service", service, "region", region)
	})
	s.ejected, s.short = ejected, short
}

// begun calls tell for each name that is new, in their order.
func begun(now, before map[string]bool, tell func(name string)) {
	for _, name := range slices.Sorted(maps.Keys(now)) {
		if !before[name] {
			tell(name)
		}
	}
}
