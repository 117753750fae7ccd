package paxos

import (
	"slices"

	"stepwick/internal/decision/paxos"
)

// call is one request from a core to another and its answer. Either may be lost,
// duplicated or delayed.
type call[A any] struct {
	sim                *sim
	from, to           *core
	processIncarnation int // of the caller
	handle             func(*core) ([]paxos.Record, A)
	answered           func(A)
}

// rpc calls one core. The answer leaves once all that the callee has appended is
// synced, and is lost if the caller has crashed by then.
func rpc[A any](from, to *core, handle func(*core) ([]paxos.Record, A), answered func(A)) {
	s := from.sim
	c := &call[A]{sim: s, from: from, to: to, processIncarnation: from.processIncarnation, handle: handle, answered: answered}
	if c.lost() {
		return
	}
	s.after(s.latency(from, to), c.deliver)
	if from != to && s.chance(s.faults.Duplicate) {
		s.after(s.latency(from, to)+s.between(0, 3000), c.deliver)
	}
}

// lost draws whether a message of a call over the network is lost.
func (c *call[A]) lost() bool {
	return c.from != c.to && c.sim.chance(c.sim.faults.Loss) && c.sim.faultsActive()
}

func (c *call[A]) deliver() {
	receiver := c.sim.receiver(c.from, c.to)
	if !receiver.up || c.sim.partitioned[c.from.index][receiver.index] {
		return
	}
	records, answer := c.handle(receiver)
	receiver.commit(records)
	receiver.whenSynced(func() { c.answer(receiver, answer) })
}

func (c *call[A]) answer(receiver *core, answer A) {
	s := c.sim
	if c.from != receiver && (s.chance(s.faults.Loss) && s.faultsActive() || s.partitioned[receiver.index][c.from.index]) {
		return
	}
	s.after(s.latency(c.from, receiver), func() {
		if c.from.processIncarnation == c.processIncarnation && c.from.up {
			c.answered(answer)
		}
	})
}

// firstAnswer returns handlers that pass on only the first answer of each core.
func firstAnswer[A any](handle func(core string, answer A)) func(core string) func(A) {
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

func (c *core) others() []*core {
	return slices.DeleteFunc(c.voters(), func(other *core) bool { return other == c })
}
