package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// Report is the result of one run: its counters, injected faults and violations.
type Report struct {
	Seed         uint64
	Acknowledged int
	Resent       int
	Probed       int
	Accepted     int // probes that a node accepted, with any key
	Faults       []string
	Violations   []string
}

// Simulate runs SimulateIn on a fleet of nine nodes with three cores.
func Simulate(ctx context.Context, seed uint64, dataDir string, span time.Duration) (Report, error) {
	return SimulateIn(ctx, smallConfig, seed, dataDir, span)
}

// SimulateIn injects random faults into a fleet for a span of virtual time while
// operators repeatedly replace the only tenant key; some of the orders race on the
// same base. It checks that
//   - no node accepts an older key 2.5 s after a newer one was acknowledged,
//   - no node accepts an older key after it accepted a newer one,
//   - exactly one order of a race is accepted, and the key of the other never is,
//   - the last acknowledged key is read back at the end.
func SimulateIn(ctx context.Context, config Config, seed uint64, dataDir string, span time.Duration) (report Report, err error) {
	report.Seed = seed
	random := NewRandom(seed)
	f, err := Start(ctx, config, dataDir)
	if err != nil {
		return report, err
	}
	defer f.Close()
	sim := &simulation{fleet: f, random: random, clock: clock.System(), report: &report, newestAccepted: map[int]int{}, rejectedKeys: map[int]bool{}, terminating: map[int]bool{}, nodeCount: config.Nodes}
	sim.start = sim.clock.Now()
	if !sim.submitFirstSheet() {
		report.Violations = append(report.Violations, "no first sheet in force within 30 s")
		return report, nil
	}
	end := sim.clock.Now().Add(span)
	for sim.clock.Now().Before(end) {
		sim.step()
	}
	sim.finish()
	return report, nil
}

// simulation is the state of one run: the fleet, the active faults and the operators'
// orders.
type simulation struct {
	fleet     *Fleet
	random    *rand.Rand
	clock     clock.Clock
	start     time.Time
	report    *Report
	nodeCount int

	pendingOrders    []*keyOrder // orders without a final response, all on one base
	newestKey        int         // newest key that was sent
	base             uint64
	nextBase         uint64 // base after the pending orders
	acknowledged     []acknowledgement
	rejectedKeys     map[int]bool // keys of orders that lost a race
	newestAccepted   map[int]int  // newest key that the current incarnation of a node accepted
	partitionedSide  map[int]bool
	healAt           time.Time
	restartAt        map[int]time.Time
	terminating      map[int]bool // nodes in graceful shutdown
	toReplace        []int        // nodes to be replaced, one after another
	replaceNotBefore time.Time
}

// keyOrder is one operator's order to replace the key, and its result.
type keyOrder struct {
	key         int
	responses   chan Response
	finalStatus int // HTTP status of the final response, 0 while pending
}

type acknowledgement struct {
	key  int
	time time.Time
}

func (sim *simulation) pause(d time.Duration) { <-sim.clock.After(d) }

func (sim *simulation) elapsed() string {
	return fmt.Sprintf("%.1fs", sim.clock.Now().Sub(sim.start).Seconds())
}

func (sim *simulation) submitFirstSheet() bool {
	for range 30 {
		response := sim.fleet.SubmitFirstSheet(sim.random.IntN(sim.nodeCount))
		if response.Status == http.StatusOK && response.InForce {
			sim.base = response.SheetVersion
			sim.acknowledged = append(sim.acknowledged, acknowledgement{0, sim.clock.Now()})
			sim.restartAt = map[int]time.Time{}
			return true
		}
		sim.pause(time.Second)
	}
	return false
}

// step advances the simulation by 100 ms: it processes or submits orders, injects or
// heals faults, and probes one node.
func (sim *simulation) step() {
	sim.pause(100 * time.Millisecond)
	sim.processOrders()
	sim.injectFaults()
	sim.probe()
}

func (sim *simulation) processOrders() {
	if sim.pendingOrders == nil {
		if sim.random.IntN(6) == 0 {
			sim.submitOrders()
		}
		return
	}
	open, winners := 0, 0
	for _, order := range sim.pendingOrders {
		if order.finalStatus == 0 {
			sim.handleResponse(order)
		}
		switch order.finalStatus {
		case 0:
			open++
		case http.StatusOK:
			winners++
		}
	}
	if winners > 1 {
		sim.recordViolation("%d racing orders were acknowledged on base %d", winners, sim.base)
	}
	if open > 0 {
		return
	}
	if winners == 0 {
		sim.recordViolation("no order was acknowledged on base %d", sim.base)
	}
	sim.pendingOrders = nil
	sim.base = sim.nextBase
}

// submitOrders sends one order, or two that race on the same base.
func (sim *simulation) submitOrders() {
	n := 1
	if sim.random.IntN(5) == 0 {
		n = 2
	}
	for range n {
		sim.newestKey++
		order := &keyOrder{key: sim.newestKey}
		sim.pendingOrders = append(sim.pendingOrders, order)
		sim.send(order)
	}
}

// handleResponse processes the response to an order, if it has arrived. An order that
// was neither acknowledged nor rejected for its base is sent again.
func (sim *simulation) handleResponse(order *keyOrder) {
	select {
	case response := <-order.responses:
		switch {
		case response.Status == http.StatusOK && response.InForce:
			order.finalStatus = response.Status
			sim.report.Acknowledged++
			sim.nextBase = response.SheetVersion
			sim.acknowledged = append(sim.acknowledged, acknowledgement{order.key, sim.clock.Now()})
		case response.Status == http.StatusConflict && response.Code == apierror.BaseConflict:
			order.finalStatus = response.Status
			sim.rejectedKeys[order.key] = true
		default:
			sim.report.Resent++
			sim.send(order)
		}
	default:
	}
}

// send sends an order, or retries it, through a random running node.
func (sim *simulation) send(order *keyOrder) {
	i := sim.random.IntN(sim.nodeCount)
	for range sim.nodeCount {
		if sim.fleet.Running(i) {
			break
		}
		i = (i + 1) % sim.nodeCount
	}
	responses, base := make(chan Response, 1), sim.base
	order.responses = responses
	go func() {
		response := sim.fleet.ReplaceKey(i, order.key, base)
		if response.Status != http.StatusOK {
			<-sim.clock.After(300 * time.Millisecond)
		}
		responses <- response
	}()
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.report.Violations = append(sim.report.Violations, sim.elapsed()+" "+fmt.Sprintf(format, args...))
}

func (sim *simulation) recordFault(format string, args ...any) {
	sim.report.Faults = append(sim.report.Faults, sim.elapsed()+" "+fmt.Sprintf(format, args...))
}

// enforcementDelay is the time after an acknowledgement from which no node may accept
// an older key.
const enforcementDelay = 2500 * time.Millisecond

// probe sends requests to one node with the newest key, with a key that was superseded
// more than enforcementDelay ago, and with the other key of a race.
func (sim *simulation) probe() {
	i := sim.random.IntN(sim.nodeCount)
	if !sim.fleet.Running(i) {
		return
	}
	newest, older := -1, -1
	for _, a := range sim.acknowledged {
		if sim.clock.Now().Sub(a.time) > enforcementDelay {
			newest, older = a.key, newest
		}
	}
	keys := []int{sim.newestKey, older}
	if len(sim.pendingOrders) == 2 || sim.rejectedKeys[sim.newestKey] {
		keys = append(keys, sim.newestKey-1)
	}
	for _, k := range keys {
		if k >= 0 {
			sim.probeKey(i, k, newest)
		}
	}
}

// probeKey sends a request with key k to node i and checks whether the node may accept
// it. newest is the newest key that every node must already apply.
func (sim *simulation) probeKey(i, k, newest int) {
	sim.report.Probed++
	if sim.fleet.Call(i, k).Status != http.StatusOK {
		return
	}
	sim.report.Accepted++
	if sim.rejectedKeys[k] {
		sim.recordViolation("node %d accepted key %d of a rejected order", i, k)
	}
	if k < newest {
		sim.recordViolation("node %d accepted key %d although key %d was acknowledged more than 2.5 s earlier", i, k, newest)
	}
	if k < sim.newestAccepted[i] {
		sim.recordViolation("node %d went from key %d back to the older key %d", i, sim.newestAccepted[i], k)
	}
	sim.newestAccepted[i] = max(sim.newestAccepted[i], k)
}

// finish heals all faults, waits for the pending orders, and checks that the last
// acknowledged key is read back.
func (sim *simulation) finish() {
	if sim.partitionedSide != nil {
		sim.fleet.SetPartitioned(sim.partitionedSide, false)
	}
	for range 40 {
		sim.pause(500 * time.Millisecond)
		sim.handleExits(sim.clock.Now())
		sim.restartAll()
		if sim.pendingOrders != nil {
			sim.processOrders()
			continue
		}
		last := sim.acknowledged[len(sim.acknowledged)-1].key
		response := sim.fleet.ReadSheet(sim.random.IntN(sim.nodeCount))
		if response.Status != http.StatusOK {
			continue
		}
		if !response.HasKey(last) {
			sim.recordViolation("the sheet read back at version %d lacks the acknowledged key %d", response.Version, last)
		}
		return
	}
	sim.report.Violations = append(sim.report.Violations, fmt.Sprintf("20 s after the last fault: orders pending: %v, no sheet could be read back", sim.pendingOrders != nil))
}

// restartAll restarts the nodes that are not running.
func (sim *simulation) restartAll() {
	for i := range sim.restartAt {
		if sim.fleet.Running(i) {
			continue
		}
		if err := sim.fleet.StartNode(i); err != nil {
			sim.recordViolation("node %d failed to start: %v", i, err)
		}
	}
}
