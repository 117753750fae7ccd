package confirm

import (
	"fmt"
	"slices"

	"stepwick/internal/decision/statemachine"
)

// maxLoggedFaults is the number of most recent faults that a violation lists.
const maxLoggedFaults = 12

// faultKind is a kind of random fault.
type faultKind int

// Kinds of random faults, in the order of FaultWeights' fields.
const (
	killNode faultKind = iota
	killSeveral
	freezeProcess
	partitionFleet
	isolateNode
	partitionLinks
	restartCore
	removeMembers
	leaveFleet
	changeRefusals
)

// byFaultKind returns the weights, indexed by faultKind.
func (f FaultWeights) byFaultKind() []int {
	return []int{f.Kill, f.KillSeveral, f.Freeze, f.Partition, f.Isolate, f.PartitionLinks, f.RestartCore, f.RemoveMembers, f.Leave, f.ChangeRefusals}
}

// injectFault injects a random fault with FaultChance or heals all partitions with
// HealChance.
func (w *world) injectFault() {
	draw := w.random.Float64()
	if draw >= w.config.FaultChance+w.config.HealChance {
		return
	}
	if draw >= w.config.FaultChance {
		w.healPartitions()
		w.logFault("heal")
		return
	}
	target := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.drawFaultKind() {
	case killNode:
		w.killAndLog(target)
	case killSeveral:
		w.killSeveral()
	case freezeProcess:
		w.freeze(target)
	case partitionFleet:
		w.partitionAtRandom()
	case isolateNode:
		w.partitionNodes(func(node *nodeState) bool { return node == target })
		w.drawRefusals()
		w.logFault("isolate %s", target.name)
	case partitionLinks:
		w.partitionLinks()
	case restartCore:
		w.restartCore()
	case removeMembers:
		w.removeMembers()
	case leaveFleet:
		w.leave(target)
	case changeRefusals:
		w.drawRefusals()
	}
}

func (w *world) drawFaultKind() faultKind {
	weights := w.config.FaultWeights.byFaultKind()
	sum := 0
	for _, weight := range weights {
		sum += weight
	}
	drawn := w.random.IntN(sum)
	for kind, weight := range weights {
		if drawn < weight {
			return faultKind(kind)
		}
		drawn -= weight
	}
	return killNode
}

func (w *world) drawDowntime() int64 {
	return w.config.DowntimesMS[w.random.IntN(len(w.config.DowntimesMS))]
}

// killAndLog kills the process of a node for a random downtime.
func (w *world) killAndLog(node *nodeState) {
	downtime := w.drawDowntime()
	w.kill(node, downtime)
	w.logFault("kill %s for %d ms", node.name, downtime)
}

// killSeveral kills the processes of two to five random nodes.
func (w *world) killSeveral() {
	count := 2 + w.random.IntN(4)
	for _, i := range w.random.Perm(len(w.nodes))[:count] {
		w.kill(w.nodes[i], w.drawDowntime())
	}
	w.logFault("kill %d processes", count)
}

// freeze suspends the process of a node for a random duration.
func (w *world) freeze(node *nodeState) {
	if node.process == nil {
		return
	}
	durationMS := []int64{1000, 3000, 8000, 20000}[w.random.IntN(4)]
	node.process.frozenUntil = w.now + durationMS
	w.logFault("freeze %s for %d ms", node.name, durationMS)
}

// partitionAtRandom partitions the fleet into two random sides.
func (w *world) partitionAtRandom() {
	mask := w.random.Uint64()
	w.partitionNodes(func(node *nodeState) bool { return mask>>node.id&1 == 1 })
	w.drawRefusals()
	w.logFault("partition %b", mask&(1<<len(w.nodes)-1))
}

// partitionLinks partitions up to twelve random links.
func (w *world) partitionLinks() {
	for range 1 + w.random.IntN(12) {
		a := w.random.IntN(len(w.nodes))
		b := w.random.IntN(len(w.nodes))
		w.partitioned[a][b] = true
		w.partitioned[b][a] = true
	}
	w.drawRefusals()
	w.logFault("partition some links")
}

// drawRefusals draws how the links answer while they are partitioned: all silent, all
// refuse, or each direction of a link by itself.
func (w *world) drawRefusals() {
	mode := w.random.IntN(3)
	for _, links := range w.refused {
		for to := range links {
			links[to] = mode == 1 || mode == 2 && w.random.IntN(2) == 0
		}
	}
	w.logFault("partitioned links answer in mode %d (silent, refuse, mixed)", mode)
}

// leave ends the process of a node, which releases its lease at the cores that it
// reaches, for a random downtime.
func (w *world) leave(node *nodeState) {
	if !w.running(node) || node.process.core != nil {
		return
	}
	incarnation := node.process.incarnation
	for _, core := range w.nodes[:w.config.Cores] {
		w.schedule(w.latency(), func() {
			if proc := core.process; proc != nil && w.connected(node, core) {
				w.deliver(proc, func() { proc.core.leases.Release(node.name, incarnation, w.clock(core)) })
			}
		})
	}
	downtime := w.drawDowntime()
	w.kill(node, downtime)
	w.logFault("%s leaves for %d ms", node.name, downtime)
}

func (w *world) restartCore() {
	node := w.nodes[w.random.IntN(w.config.Cores)]
	w.kill(node, 100+int64(w.random.IntN(2000)))
	w.logFault("restart core %s", node.name)
}

// removeMembers submits an operator's order to remove members by name. The operator
// vouches that their machines are down permanently.
func (w *world) removeMembers() {
	var names []string
	for _, node := range w.nodes {
		if node.process == nil && node.downUntil > foreverMS/2 && node.id >= w.config.Cores {
			names = append(names, node.name)
		}
	}
	if len(names) == 0 {
		return
	}
	for _, node := range w.nodes[:w.config.Cores] {
		if !w.running(node) {
			continue
		}
		order := statemachine.Order{Operator: "ops", OrderID: fmt.Sprintf("remove-%d", w.now)}
		if _, chosen := w.propose(node, statemachine.RemoveMembers{Order: order, Names: slices.Clone(names), ProposedBy: "ops"}); chosen {
			w.logFault("operator removes %v", names)
			return
		}
	}
}

// healPartitions ends all partitions.
func (w *world) healPartitions() {
	for _, links := range w.partitioned {
		clear(links)
	}
}

// partitionNodes partitions the fleet into two sides; messages between them are
// dropped.
func (w *world) partitionNodes(side func(node *nodeState) bool) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			w.partitioned[a.id][b.id] = side(a) != side(b)
		}
	}
}

func (w *world) logFault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d ms ", w.now)+fmt.Sprintf(format, args...))
	if len(w.faults) > maxLoggedFaults {
		w.faults = w.faults[1:]
	}
}
