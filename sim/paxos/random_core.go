package paxos

import (
	"bytes"
	"encoding/binary"
	"slices"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

// core is one process. Its state runs ahead of its disk: base and the first
// synced records of log are what a crash leaves, and perhaps some more.
type core struct {
	sim       *sim
	index     int
	up        bool
	life      int
	base      paxos.State
	log       []paxos.Record
	synced    int
	state     paxos.State
	waiting   []held
	slow      int64
	proposals int
	proposing int // number of the ballot under way, 0 is none
	seen      uint64
	entering  bool
	round     int // of entering; answers to an earlier one come too late
}

type held struct {
	place int
	then  func()
}

// voters returns the cores as one of them calls them: itself for its own name.
func (c *core) voters() []*core {
	all := slices.Clone(c.sim.cores)
	all[c.index] = c
	return all
}

func (c *core) durable() paxos.State {
	state := c.base
	for _, record := range c.log[:c.synced] {
		state = record.Apply(state)
	}
	return state
}

func (s *sim) boot(c *core) {
	if c.base.Self == "" {
		c.base = paxos.Blank(s.names[c.index])
	}
	c.up = true
	c.state = c.base
	for _, record := range c.log {
		encoded, err := paxos.DecodeRecord(paxos.EncodeRecord(record))
		if err != nil {
			s.violate("a record can't be read back: %v", err)
			return
		}
		c.state = encoded.Apply(c.state)
	}
	c.synced, c.waiting, c.proposing, c.entering, c.seen, c.slow = len(c.log), nil, 0, false, 0, 0
	if s.faults.Flaw == RebuildWithout && c.state.Formation == "" && len(s.chosen) > 0 {
		other := s.cores[(c.index+1)%len(s.cores)].state
		joined := paxos.FormationJoined{Formation: other.Formation, Voters: s.names}.Apply(c.state)
		c.base = paxos.RecoveryCompleted{Incarnations: other.Incarnations}.Apply(joined)
		c.state = c.base
	}
	c.tick(c.life)
}

func (c *core) tick(life int) {
	if c.life != life || !c.up {
		return
	}
	switch c.state.Standing() {
	case wire.Standing_STANDING_BLANK:
		c.seek()
	case wire.Standing_STANDING_AMNESIAC:
		c.enter()
	default:
		c.look()
		if c.proposing == 0 {
			c.propose()
		}
	}
	c.sim.after(c.sim.between(40, 160), func() { c.tick(life) })
}

// commit appends records and folds them; a sync follows.
func (c *core) commit(records []paxos.Record) {
	if len(records) == 0 {
		return
	}
	before := c.state
	for _, record := range records {
		c.log = append(c.log, record)
		c.state = record.Apply(c.state)
	}
	c.check(before)
	life := c.life
	c.sim.after(c.sim.between(1, 8)+c.slow, func() {
		if c.life == life {
			c.sync()
		}
	})
	if len(c.state.Chosen) > compactEvery && c.state.Incarnation() != 0 {
		version := c.state.SnapshotSlot + uint64(c.sim.random.IntN(len(c.state.Chosen))) + 1
		c.sim.outcome.Snapshots++
		c.state = c.state.Compacted(version, binary.LittleEndian.AppendUint64(nil, c.sim.digest(version)))
	}
}

func (c *core) sync() {
	c.synced = len(c.log)
	for len(c.waiting) > 0 && c.waiting[0].place <= c.synced {
		then := c.waiting[0].then
		c.waiting = c.waiting[1:]
		then()
	}
	if c.synced > 40 && c.waiting == nil || c.synced > 200 {
		whole, err := paxos.DecodeState(c.state.Encode())
		if err != nil {
			c.sim.violate("a state can't be read back: %v", err)
		}
		if c.state.Incarnation() != 0 && len(c.waiting) == 0 {
			c.base, c.log, c.synced = whole, nil, 0
		}
	}
}

func (c *core) whenSynced(then func()) {
	if len(c.log) <= c.synced {
		then()
		return
	}
	c.waiting = append(c.waiting, held{place: len(c.log), then: then})
}

// check judges what the core has newly learned.
func (c *core) check(before paxos.State) {
	if c.state.SnapshotSlot > before.Learned() {
		version := c.state.SnapshotSlot
		if version > uint64(len(c.sim.rolling)) || !bytes.Equal(c.state.Snapshot, binary.LittleEndian.AppendUint64(nil, c.sim.digest(version))) {
			c.sim.violate("%s took a snapshot of epoch %d that is not the agreed one", c.state.Self, version)
		}
	}
	for _, chosen := range c.state.Chosen {
		if chosen.Epoch > before.Learned() {
			c.sim.decide(c.state.Self, chosen.Epoch, chosen.Command)
		}
	}
}

// rpc calls one core: lost, doubled, late. The answer leaves when all that the
// answerer has appended is synced, and is lost when the caller has crashed.
func rpc[A any](from, to *core, handle func(*core) ([]paxos.Record, A), got func(A)) {
	s, life := from.sim, from.life
	named := to
	deliver := func() {
		to := s.reached(from, named)
		if !to.up || s.cut[from.index][to.index] {
			return
		}
		records, answer := handle(to)
		to.commit(records)
		to.whenSynced(func() {
			if from != to && (s.chance(s.faults.Loss) && s.troubled() || s.cut[to.index][from.index]) {
				return
			}
			s.after(s.latency(from, to), func() {
				if from.life == life && from.up {
					got(answer)
				}
			})
		})
	}
	if from != to && s.chance(s.faults.Loss) && s.troubled() {
		return
	}
	s.after(s.latency(from, to), deliver)
	if from != to && s.chance(s.faults.Duplicate) {
		s.after(s.latency(from, to)+s.between(0, 3000), deliver)
	}
}

// once lets only the first of several answers of a core count.
func once[A any](do func(string, A)) func(string) func(A) {
	heard := map[string]bool{}
	return func(name string) func(A) {
		return func(answer A) {
			if !heard[name] {
				heard[name] = true
				do(name, answer)
			}
		}
	}
}

func (c *core) others() []*core {
	return slices.DeleteFunc(c.voters(), func(o *core) bool { return o == c })
}
