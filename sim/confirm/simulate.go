package confirm

import (
	"fmt"
	"slices"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
)

// Simulate runs one seed to its end or to the first violation.
func Simulate(seed uint64, config Config) Outcome {
	w := newWorld(seed, config)
	for w.now < int64(config.Seconds)*1000 && w.found == nil {
		w.step(w.fault)
	}
	return w.end()
}

func (w *world) end() Outcome {
	w.outcome.Violation = w.found
	if w.samples > 0 {
		w.outcome.Ruling = float64(w.ruling) / float64(w.samples)
	}
	return w.outcome
}

func (w *world) step(fault func()) {
	w.tick++
	w.now += tickMS
	fault()
	for _, n := range w.nodes {
		if n.process == nil && w.now >= n.downUntil {
			w.start(n)
		}
		if w.running(n) && len(n.process.mailbox) > 0 {
			w.check(n)
			steps := n.process.mailbox
			n.process.mailbox = nil
			for _, step := range steps {
				step()
			}
		}
	}
	due := w.events[w.tick]
	delete(w.events, w.tick)
	for _, event := range due {
		event()
	}
	for _, n := range w.nodes {
		if w.running(n) {
			w.act(n.process)
		}
	}
	w.raise()
	for _, n := range w.nodes {
		if w.running(n) {
			w.check(n)
		}
	}
}

// raise moves the floors: the highest version acknowledged so long ago that none
// below it may rule, and the one below which none may rule by a lease.
func (w *world) raise() {
	kept := w.acked[:0]
	for _, a := range w.acked {
		if w.now > a.at+slack && a.version > w.strict.version {
			w.strict = a
		}
		if w.now <= a.at+allowed {
			kept = append(kept, a)
		} else if a.version > w.floor.version {
			w.floor = a
		}
	}
	w.acked = kept
}

// check checks what a node would decide now, by its state alone.
func (w *world) check(n *node) {
	p := n.process
	version, sample := p.state.Version, w.tick%10 == 0
	if version == n.ruled && version >= w.strict.version && !sample {
		return
	}
	verdict := p.holder.Authority(w.clock(n))
	if sample {
		w.samples++
	}
	if !verdict.Granted {
		return
	}
	if sample {
		w.ruling++
	}
	switch {
	case version < w.floor.version:
		w.violated(n, "rules by an older epoch than was acknowledged", w.floor, verdict.Source)
	case version < w.strict.version && verdict.Source == lease.SourceLease:
		w.violated(n, "holds a lease at an older epoch than was acknowledged", w.strict, verdict.Source)
	case version < n.ruled:
		w.violated(n, "went back to an older epoch", ack{version: n.ruled}, verdict.Source)
	}
	n.ruled = max(n.ruled, version)
}

func (w *world) violated(n *node, why string, newer ack, by lease.Source) {
	if w.found == nil {
		w.found = &Violation{Seed: w.seed, AtMS: w.now, Node: n.name, Why: why, Version: n.process.state.Version, Newer: newer.version,
			AckMS: newer.at, By: by, Mix: w.config.Name, Faults: w.faults}
	}
}

func (w *world) note(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%d ms ", w.now)+fmt.Sprintf(format, args...))
	if len(w.faults) > 12 {
		w.faults = w.faults[1:]
	}
}

func (w *world) heal() {
	for _, row := range w.partitioned {
		clear(row)
	}
}

// split partitions the fleet: messages between the sides are dropped.
func (w *world) split(side func(n *node) bool) {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			w.partitioned[a.id][b.id] = side(a) != side(b)
		}
	}
}

func (w *world) fault() {
	draw := w.random.Float64()
	if draw >= w.config.Faults+w.config.Heals {
		return
	}
	if draw >= w.config.Faults {
		w.heal()
		w.note("heal")
		return
	}
	one := w.nodes[w.random.IntN(len(w.nodes))]
	switch w.draw() {
	case 0:
		down := w.downtime()
		w.kill(one, down)
		w.note("kill %s for %d", one.name, down)
	case 1:
		count := 2 + w.random.IntN(4)
		for _, i := range w.random.Perm(len(w.nodes))[:count] {
			w.kill(w.nodes[i], w.downtime())
		}
		w.note("kill %d", count)
	case 2:
		if one.process != nil {
			span := []int64{1000, 3000, 8000, 20000}[w.random.IntN(4)]
			one.process.frozenUntil = w.now + span
			w.note("freeze %s for %d", one.name, span)
		}
	case 3:
		mask := w.random.Uint64()
		w.split(func(n *node) bool { return mask>>n.id&1 == 1 })
		w.note("cut %b", mask&(1<<len(w.nodes)-1))
	case 4:
		w.split(func(n *node) bool { return n == one })
		w.note("isolate %s", one.name)
	case 5:
		for range 1 + w.random.IntN(12) {
			a, b := w.random.IntN(len(w.nodes)), w.random.IntN(len(w.nodes))
			w.partitioned[a][b], w.partitioned[b][a] = true, true
		}
		w.note("cut some links")
	case 6:
		n := w.nodes[w.random.IntN(w.config.Cores)]
		w.kill(n, 100+int64(w.random.IntN(2000)))
		w.note("restart core %s", n.name)
	case 7:
		w.removeByName()
	}
}

func (w *world) draw() int {
	weights := w.config.Weights
	row := []int{weights.Kill, weights.KillMany, weights.Freeze, weights.Split, weights.Isolate, weights.Links, weights.Core, weights.Remove}
	sum := 0
	for _, weight := range row {
		sum += weight
	}
	at := w.random.IntN(sum)
	for i, weight := range row {
		if at < weight {
			return i
		}
		at -= weight
	}
	return 0
}

func (w *world) downtime() int64 {
	return w.config.Down[w.random.IntN(len(w.config.Down))]
}

// removeByName is the operator's verb: machines that are off for good, which
// is what the operator vouches for, are taken off by name.
func (w *world) removeByName() {
	var names []string
	for _, n := range w.nodes {
		if n.process == nil && n.downUntil > forever/2 && n.id >= w.config.Cores {
			names = append(names, n.name)
		}
	}
	if len(names) == 0 {
		return
	}
	for _, n := range w.nodes[:w.config.Cores] {
		if !w.running(n) {
			continue
		}
		order := sheet.Order{Operator: "ops", OrderID: fmt.Sprintf("remove-%d", w.now)}
		if _, ok := w.propose(n, sheet.RemoveMembers{Order: order, Names: slices.Clone(names), By: "ops"}); ok {
			w.note("operator removes %v", names)
			return
		}
	}
}
