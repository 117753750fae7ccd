package confirm

import (
	"fmt"
	"slices"

	"stepwick/internal/decision/statemachine"
)

// maxLoggedFaults is how many of the last faults a violation lists.
const maxLoggedFaults = 12

// faultKind is a kind of random fault.
type faultKind int

// Kinds of random faults, in the order of FaultWeights' fields.
const (
	killOne faultKind = iota
	killMany
	freezeOne
	splitFleet
	isolateOne
	cutLinks
	restartCore
	removeMembers
)

// inOrder returns the weights by faultKind.
func (f FaultWeights) inOrder() []int {
	return []int{f.Kill, f.KillMany, f.Freeze, f.Split, f.Isolate, f.Links, f.Core, f.Remove}
}

// injectFault causes a fault or heals all partitions, each with its chance.
func (w *world) injectFault() {
	draw := w.random.Float64()
	if draw >= w.config.FaultChance+w.config.HealChance {
		return
	}
	if draw >= w.config.FaultChance {
		w.heal()
		w.logFault("heal")
		return
	}
	one := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.drawFaultKind() {
	case killOne:
		w.killOne(one)
	case killMany:
		w.killMany()
	case freezeOne:
		w.freeze(one)
	case splitFleet:
		w.splitAtRandom()
	case isolateOne:
		w.split(func(node *nodeState) bool { return node == one })
		w.logFault("isolate %s", one.name)
	case cutLinks:
		w.cutLinks()
	case restartCore:
		w.restartCore()
	case removeMembers:
		w.removeMembers()
	}
}

func (w *world) drawFaultKind() faultKind {
	weights := w.config.FaultWeights.inOrder()
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
	return killOne
}

func (w *world) drawDowntime() int64 {
	return w.config.DowntimesMS[w.random.IntN(len(w.config.DowntimesMS))]
}

func (w *world) killOne(node *nodeState) {
	downtime := w.drawDowntime()
	w.kill(node, downtime)
	w.logFault("kill %s for %d", node.name, downtime)
}

func (w *world) killMany() {
	count := 2 + w.random.IntN(4)
	for _, i := range w.random.Perm(len(w.nodes))[:count] {
		w.kill(w.nodes[i], w.drawDowntime())
	}
	w.logFault("kill %d", count)
}

func (w *world) freeze(node *nodeState) {
	if node.process == nil {
		return
	}
	span := []int64{1000, 3000, 8000, 20000}[w.random.IntN(4)]
	node.process.frozenUntil = w.now + span
	w.logFault("freeze %s for %d", node.name, span)
}

func (w *world) splitAtRandom() {
	mask := w.random.Uint64()
	w.split(func(node *nodeState) bool { return mask>>node.id&1 == 1 })
	w.logFault("cut %b", mask&(1<<len(w.nodes)-1))
}

func (w *world) cutLinks() {
	for range 1 + w.random.IntN(12) {
		a := w.random.IntN(len(w.nodes))
		b := w.random.IntN(len(w.nodes))
		w.partitioned[a][b] = true
		w.partitioned[b][a] = true
	}
	w.logFault("cut some links")
}

func (w *world) restartCore() {
	node := w.nodes[w.random.IntN(w.config.Cores)]
	w.kill(node, 100+int64(w.random.IntN(2000)))
	w.logFault("restart core %s", node.name)
}

// removeMembers is the operator's order to remove members by name: machines that are
// off for good, which is what the operator vouches for.
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

// heal ends all partitions.
func (w *world) heal() {
	for _, links := range w.partitioned {
		clear(links)
	}
}

// split partitions the fleet: messages between the sides are dropped.
func (w *world) split(side func(node *nodeState) bool) {
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
