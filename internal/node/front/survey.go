package front

import (
	"stepwick/internal/core/route"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/wire"
)

const surveyEvery = kernel.Second

// survey tells the log, about once a second, what the routing table has come to.
type survey struct {
	at      kernel.Time
	plan    *wire.Plan
	planAt  kernel.Time
	ejected map[string]bool
}

func (s *survey) look(table *route.Table, plan *wire.Plan, now kernel.Time, log events.Log) {
	if plan != s.plan {
		s.plan, s.planAt = plan, now
	}
	if now.Sub(s.at) < surveyEvery {
		return
	}
	s.at = now
	if age := now.Sub(s.planAt); plan != nil && age > 2*kernel.Duration(plan.PeriodMs)*kernel.Millisecond {
		log.Emit(events.PlanStale, "plan", plan.Number, "term", plan.Term, "holder", plan.Holder, "age", age)
	}
	ejected := map[string]bool{}
	for _, server := range table.Servers() {
		if server.Ejected {
			ejected[server.Server] = true
		}
	}
	for name := range ejected {
		if !s.ejected[name] {
			log.Emit(events.ServerEjected, "server", name)
		}
	}
	for name := range s.ejected {
		if !ejected[name] {
			log.Emit(events.ServerReadmitted, "server", name)
		}
	}
	s.ejected = ejected
}
