package faultcase

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
)

const (
	soakTenantPrefix = "soak" // of the tenants that the orders of a soak add
	soakTenantRate   = 10     // tokens a second
	limitedTenant    = "limited"

	maxOrderGap      = 50 * time.Millisecond // between the orders of a series
	soakOrderTimeout = 10 * time.Second      // for a series of orders; one still pending then is not retried
	racesPerSeries   = 4
)

// changeSheet submits orders in quick succession.
func (s *soak) changeSheet(step soakStep) {
	ctx, cancel := context.WithTimeout(s.ctx, soakOrderTimeout)
	defer cancel()
	base := s.sheetVersion(ctx)
	gap := maxOrderGap * time.Duration(step.Count) / maxBurst
	for i := 0; i < step.Count && ctx.Err() == nil; i++ {
		answer := s.submitSoakOrder(ctx, operatorFor(uint64(i)), base)
		base = answer.Version
		if !answer.Acknowledged() {
			base = s.sheetVersion(ctx)
		}
		s.Wait(gap)
	}
}

// raceOperators has both operators submit orders of the same base concurrently.
func (s *soak) raceOperators(step soakStep) {
	ctx, cancel := context.WithTimeout(s.ctx, soakOrderTimeout)
	defer cancel()
	for i := 0; i < min(step.Count, racesPerSeries) && ctx.Err() == nil; i++ {
		base := s.sheetVersion(ctx)
		var racers sync.WaitGroup
		for _, operator := range []string{firstOperator, secondOperator} {
			racers.Go(func() { s.submitSoakOrder(ctx, operator, base) })
		}
		racers.Wait()
	}
}

// sheetVersion reads the version of the sheet in force, or returns 0 if ctx ends first.
func (s *soak) sheetVersion(ctx context.Context) uint64 {
	version, _ := s.Operators.SheetVersion(ctx, s.Fleet.Nodes)
	return version
}

// submitSoakOrder submits an order that adds a tenant, changes the limit of another one
// and revokes the last checked key. It records the new tenant if the order is
// acknowledged.
func (s *soak) submitSoakOrder(ctx context.Context, operator string, base uint64) history.Order {
	order, tenant := s.newSoakOrder(operator, base)
	answer := s.Operators.Submit(ctx, order, s.rotatedNodes(uint64(order.Key)))
	if answer.Acknowledged() {
		s.progress.Post(func(p *soakProgress) { p.orders[tenant] = answer.Version })
	}
	return answer
}

func (s *soak) newSoakOrder(operator string, base uint64) (order *loadgen.Order, tenant string) {
	tenant = fmt.Sprintf("%s%d", soakTenantPrefix, s.nextTenant.Add(1))
	order = s.Operators.Patch(operator, base,
		loadgen.Change{Path: "tenants." + tenant, Value: soakTenant(tenant, soakTenantRate)},
		loadgen.Change{Path: "tenants." + limitedTenant, Value: soakTenant(limitedTenant, float64(base+1))})
	return order, tenant
}

func soakTenant(name string, rate float64) loadgen.SheetTenant {
	return loadgen.SheetTenant{
		Rate: rate,
		Keys: []string{fleet.HashKey("key-of-" + name)},
	}
}

// submitOrderAfterStorm submits orders until one is acknowledged, and returns its checked key.
// More than one may be needed, as a pending order of the storm may still change the
// base.
func (s *soak) submitOrderAfterStorm(storm uint64, deadline history.Instant) (key int, acknowledged bool) {
	ctx, cancel := context.WithTimeout(s.ctx, deadline-s.Recorder.Now())
	defer cancel()
	for ctx.Err() == nil {
		order, tenant := s.newSoakOrder(operatorFor(storm), s.sheetVersion(ctx))
		answer := s.Operators.Submit(ctx, order, s.rotatedNodes(storm))
		if answer.Acknowledged() {
			s.progress.Post(func(p *soakProgress) { p.orders[tenant] = answer.Version })
			return order.Key, true
		}
	}
	return 0, false
}

// checkOrdersAt checks that the sheet read through a node has the tenants of all
// acknowledged orders.
func (s *soak) checkOrdersAt(storm uint64, node *fleet.Node, deadline history.Instant) {
	read, sheet := s.Operators.ReadSheet(node, false)
	for read.Status != http.StatusOK {
		if s.Recorder.Now() > deadline || !s.Wait(pollInterval) {
			s.addProblem("storm %d: reading the sheet through %s failed until the deadline: status %d code %d",
				storm, node.Name, read.Status, read.Code)
			return
		}
		read, sheet = s.Operators.ReadSheet(node, false)
	}
	var missing []string
	s.progress.Do(func(p *soakProgress) {
		for tenant, version := range p.orders {
			if _, present := sheet.Tenants[tenant]; !present {
				missing = append(missing, fmt.Sprintf("%s of version %d", tenant, version))
			}
		}
	})
	if len(missing) > 0 {
		s.addProblem("storm %d: the sheet of version %d at %s lacks %d acknowledged orders: %s",
			storm, read.Version, node.Name, len(missing), strings.Join(missing, ", "))
	}
}

// forEachNode runs a check for all nodes concurrently and waits until all have returned.
func (s *soak) forEachNode(check func(node *fleet.Node)) {
	var checks sync.WaitGroup
	for _, node := range s.Fleet.Nodes {
		checks.Go(func() { check(node) })
	}
	checks.Wait()
}
