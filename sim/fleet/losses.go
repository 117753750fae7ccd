package fleet

import (
	"context"
	"net/http"
	"time"

	"stepwick/internal/clock"
	"stepwick/internal/events"
)

// sixCoreConfig is a large deployment: six cores, of which five vote and one is a
// standby. It tolerates the simultaneous loss of two disks.
func sixCoreConfig(seeds []int) Config {
	return Config{Nodes: 12, Cores: 6, Voters: 5, Join: true, Seeds: seeds}
}

// recoveryTimeout is the time after the restart of the last node within which an
// acknowledged configuration must be readable again.
const recoveryTimeout = 10 * time.Second

// SimulatePowerLosses simulates large power failures. In two of three runs, all cores
// lose power simultaneously and restart. Then, shortly after an order is sent, all
// nodes lose power and two cores also lose their disks. If the order was
// acknowledged, its key must be read back. The seed nodes, the cores that lose their
// disks and the restart times are random.
func SimulatePowerLosses(ctx context.Context, seed uint64, dataDir string, log func(node int) events.Log) (report Report, err error) {
	report.Seed = seed
	random := NewRandom(seed)
	cores := random.Perm(6)
	config := sixCoreConfig(cores[:3])
	config.Log = log
	f, err := Start(ctx, config, dataDir)
	if err != nil {
		return report, err
	}
	defer f.Close()
	sim := &simulation{fleet: f, random: random, clock: clock.System(), report: &report, nodeCount: config.Nodes}
	sim.start = sim.clock.Now()
	sim.recordFault("seeds %v", config.Seeds)
	if !sim.submitFirstSheet() {
		sim.recordViolation("no first sheet in force within 30 s: %s", sim.fleet.describeFormation())
		return report, nil
	}
	sim.pause(3 * time.Second)
	if random.IntN(3) > 0 {
		sim.powerCycleCores(config)
	}
	sim.powerCycleAllDuringOrder(config)
	return report, nil
}

// powerCycleCores powers off all cores simultaneously and restarts each after 3 to 5 s.
func (sim *simulation) powerCycleCores(config Config) {
	cores := firstNodes(config.Cores)
	sim.fleet.PowerOff(cores...)
	sim.recordFault("all cores lost power")
	sim.restartStaggered(cores, 3*time.Second, 2*time.Second)
	sim.pause(8 * time.Second)
}

// powerCycleAllDuringOrder sends an order, powers off all nodes 5 to 404 ms later,
// wipes the disks of two cores, restarts all nodes and reads the sheet back.
func (sim *simulation) powerCycleAllDuringOrder(config Config) {
	sim.newestKey++
	order := &keyOrder{key: sim.newestKey}
	sim.send(order)
	sim.pause(time.Duration(5+sim.random.IntN(400)) * time.Millisecond)
	sim.fleet.PowerOff(firstNodes(config.Nodes)...)
	wiped := sim.random.Perm(config.Cores)[:2]
	sim.recordFault("all nodes lost power, disks wiped of cores %v", wiped)
	for _, i := range wiped {
		if err := sim.fleet.WipeDisk(i); err != nil {
			sim.recordViolation("%v", err)
		}
	}
	sim.restartStaggered(firstNodes(config.Nodes), 300*time.Millisecond, time.Second)
	acknowledged := false
	select {
	case response := <-order.responses:
		acknowledged = response.Status == http.StatusOK && response.InForce
	default:
	}
	sim.verifyReadBack(acknowledged)
}

// verifyReadBack reads the sheet, with retries until recoveryTimeout, and checks its
// key: the key of the last order if that was acknowledged, else that key or key 0.
func (sim *simulation) verifyReadBack(acknowledged bool) {
	deadline := sim.clock.Now().Add(recoveryTimeout)
	for sim.clock.Now().Before(deadline) {
		response := sim.fleet.ReadSheet(sim.random.IntN(sim.nodeCount))
		if response.Status != http.StatusOK {
			sim.pause(200 * time.Millisecond)
			continue
		}
		if acknowledged && !response.HasKey(sim.newestKey) {
			sim.recordViolation("the sheet read back lacks the acknowledged key %d", sim.newestKey)
		}
		if !response.HasKey(sim.newestKey) && !response.HasKey(0) {
			sim.recordViolation("the sheet read back has a key that was never sent")
		}
		return
	}
	sim.recordViolation("no sheet could be read back within %v of the last restart", recoveryTimeout)
}

// restartStaggered restarts nodes, each after minDelay plus a random delay below
// spread.
func (sim *simulation) restartStaggered(nodes []int, minDelay, spread time.Duration) {
	sim.pause(minDelay)
	delays := make(map[int]time.Duration, len(nodes))
	for _, i := range nodes {
		delays[i] = time.Duration(sim.random.Int64N(int64(spread)))
	}
	for elapsed := time.Duration(0); len(delays) > 0; elapsed += restartStep {
		sim.startNodesDue(delays, elapsed)
		sim.pause(restartStep)
	}
}

const restartStep = 10 * time.Millisecond

func (sim *simulation) startNodesDue(delays map[int]time.Duration, elapsed time.Duration) {
	for i := range sim.nodeCount {
		delay, scheduled := delays[i]
		if !scheduled || delay > elapsed {
			continue
		}
		delete(delays, i)
		if err := sim.fleet.StartNode(i); err != nil {
			sim.recordViolation("node %d failed to start: %v", i, err)
		}
	}
}

func firstNodes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
