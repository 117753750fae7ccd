package paxos

import (
	"slices"

	"stepwick/internal/decision/paxos"
)

// call is a request from one core to another and its answer. Both may be lost or
// delayed; the request may also be duplicated.
type call[A any] struct {
	sim                *simulation
	from, to           *core
	processIncarnation int // of the caller
	handle             func(*core) ([]paxos.Record, A)
	onAnswer           func(A)
}

// rpc calls a core. The callee sends its answer once its log is synced. The answer is
// dropped if the caller has crashed in the meantime.
func rpc[A any](from, to *core, handle func(*core) ([]paxos.Record, A), answered func(A)) {
	s := from.sim
	c := &call[A]{sim: s, from: from, to: to, processIncarnation: from.processIncarnation, handle: handle, onAnswer: answered}
	if c.drawLoss() {
		return
	}
	s.scheduleAfter(s.latency(from, to), c.deliver)
	if from != to && s.chance(s.faults.DuplicateProbability) {
		s.scheduleAfter(s.latency(from, to)+s.randomBetween(0, 3000), c.deliver)
	}
}

// drawLoss reports whether the request is lost. Calls of a core to itself are not.
func (c *call[A]) drawLoss() bool {
	return c.from != c.to && c.sim.chance(c.sim.faults.LossProbability) && c.sim.faultsActive()
}

func (c *call[A]) deliver() {
	receiver := c.sim.receiver(c.from, c.to)
	if !receiver.running || c.sim.partitioned[c.from.index][receiver.index] {
		return
	}
	records, answer := c.handle(receiver)
	receiver.appendRecords(records)
	receiver.whenSynced(func() { c.sendAnswer(receiver, answer) })
}

func (c *call[A]) sendAnswer(receiver *core, answer A) {
	s := c.sim
	if c.from != receiver && (s.chance(s.faults.LossProbability) && s.faultsActive() || s.partitioned[receiver.index][c.from.index]) {
		return
	}
	s.scheduleAfter(s.latency(c.from, receiver), func() {
		if c.from.processIncarnation == c.processIncarnation && c.from.running {
			c.onAnswer(answer)
		}
	})
}

// firstAnswerOnly returns a function that returns the answer handler for a core. The
// handler ignores all answers of that core but the first.
func firstAnswerOnly[A any](handle func(core string, answer A)) func(core string) func(A) {
	answered := map[string]bool{}
	return func(core string) func(A) {
		return func(answer A) {
			if !answered[core] {
				answered[core] = true
				handle(core, answer)
			}
		}
	}
}

// otherCores returns the voters other than this core.
func (c *core) otherCores() []*core {
	return slices.DeleteFunc(c.voters(), func(other *core) bool { return other == c })
}
