package paxos

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/wire"
)

func (w world) open(i int, visit func(step, world) bool) bool {
	n := w.cores[i]
	if n.proposals == 0 || n.state.Incarnation() == 0 || n.state.Learned() >= slot {
		return false
	}
	p, req := paxos.NewProposer(n.state, slot, n.state.NextBallotNumber(slot), fmt.Appendf(nil, "%s%d", names[i], n.run+1))
	n.proposer, n.proposals = &p, n.proposals-1
	n.run++
	w.cores[i] = n.hashed()
	for to := range w.cores {
		w = w.send(letter{from: i, to: to, life: n.life, run: n.run, prepare: req}.summed())
	}
	return visit(step{what: fmt.Sprintf("ballot %d opened by", p.Ballot.Number), core: i}, w)
}

func (w world) startRebuild(i int, visit func(step, world) bool) bool {
	n := w.cores[i]
	if n.state.Incarnation() != 0 || n.rebuild != nil || w.bounds.Rebuilds == 0 {
		return false
	}
	probes := map[string]*wire.RecoverResponse{}
	for j, other := range w.cores {
		if j != i {
			_, probes[names[j]] = other.state.Recover(&wire.RecoverRequest{Core: names[i], Probe: true})
		}
	}
	life, waiting := n.state.NextIncarnation(probes, 0)
	if waiting != "" {
		return false
	}
	w.bounds.Rebuilds--
	n.rebuild = &rebuild{life: life}
	n.state = paxos.IncarnationRecorded{Core: names[i], Incarnation: life}.Apply(n.state)
	w.cores[i] = n.hashed()
	for to := range w.cores {
		if to != i {
			w = w.send(letter{from: i, to: to, life: n.life, recover: &wire.RecoverRequest{Formation: "f", Core: names[i], Life: life}}.summed())
		}
	}
	return visit(step{what: fmt.Sprintf("life %d announced by", life), core: i}, w)
}

func (w world) wipe(i int, visit func(step, world) bool) bool {
	if w.bounds.Wipes == 0 || w.bounds.Wiped != "" && !strings.Contains(w.bounds.Wiped, names[i]) {
		return false
	}
	if w.cores[(i+1)%3].state.Incarnation() == 0 && w.cores[(i+2)%3].state.Incarnation() == 0 {
		return false
	}
	w.bounds.Wipes--
	n := w.cores[i]
	state := paxos.FormationJoined{Formation: "f", Voters: names}.Apply(paxos.Blank(names[i]))
	if w.bounds.Flaw == RebuildWithout {
		state = paxos.RecoveryCompleted{Incarnations: n.state.Incarnations}.Apply(state)
	}
	w.cores[i] = node{state: state, life: n.life + 1, run: n.run, proposals: n.proposals}.hashed()
	return visit(step{what: "wipe", core: i}, w)
}

func (w world) crash(i int, visit func(step, world) bool) bool {
	n := w.cores[i]
	if w.bounds.Crashes == 0 || n.proposer == nil && n.rebuild == nil {
		return false
	}
	w.bounds.Crashes--
	w.cores[i] = node{state: n.state, life: n.life + 1, run: n.run, proposals: n.proposals}.hashed()
	return visit(step{what: "crash", core: i}, w)
}

// deliver hands letter i over: once, or leaving a duplicate under way.
func (w world) deliver(i int, l *letter, visit func(step, world) bool) bool {
	if w.bounds.Duplicates > 0 && !l.answer() && !l.deliveredOnce {
		again := w
		again.bounds.Duplicates--
		once := *l
		once.deliveredOnce = true
		again.network = slices.Clone(w.network)
		again.network[i] = &once
		if again.hand(l, visit) {
			return true
		}
	}
	w.network = slices.Delete(slices.Clone(w.network), i, i+1)
	return w.hand(l, visit)
}

func (w world) hand(l *letter, visit func(step, world) bool) bool {
	if l.answer() {
		return visit(step{letter: l}, w.take(l))
	}
	key := [2]uint64{w.cores[l.to].hash, l.hash}
	given, known := w.memory.handed[key]
	if !known {
		given = w.decide(l)
		w.memory.handed[key] = given
	}
	w.cores[l.to] = given.node
	if given.answer == nil {
		return given.changed && visit(step{letter: l}, w)
	}
	if !w.bounds.Eager {
		return visit(step{letter: l}, w.send(given.answer))
	}
	return visit(step{letter: l}, w.take(given.answer)) || given.changed && visit(step{letter: l, what: "(answer lost)"}, w)
}

// decide has a core answer a letter; an answer that nobody needs is left out.
func (w world) decide(l *letter) handed {
	answer := &letter{from: l.to, to: l.from, life: l.life, run: l.run}
	n := w.cores[l.to]
	var records []paxos.Record
	switch {
	case l.prepare != nil:
		records, answer.prepared = n.state.Prepare(l.prepare)
		w.bendPrepared(n.state, l.prepare, answer.prepared)
	case l.accept != nil:
		records, answer.accepted = n.state.Accept(l.accept)
		if w.bounds.Flaw == LivesHidden {
			answer.accepted.Lives = firstLives
		}
	case l.recover != nil:
		records, answer.recovered = n.state.Recover(l.recover)
		if w.bounds.Flaw == LifeForgotten {
			records = nil
		}
	}
	for _, record := range records {
		n.state = record.Apply(n.state)
	}
	given := handed{node: n.hashed(), changed: len(records) > 0}
	if !answer.refusal() {
		answer.hash = answer.sum()
		given.answer = answer
	}
	return given
}

func (w world) bendPrepared(s paxos.State, req *wire.PrepareRequest, resp *wire.PrepareResponse) {
	switch w.bounds.Flaw {
	case LivesHidden:
		resp.Lives = firstLives
	case PromiseTwice:
		if vote := s.OpenSlots[req.Slot]; !resp.Promised && resp.Refusal == 0 && !resp.Chosen && vote.Promised == paxos.BallotFromWire(req.Ballot) {
			resp.Promised, resp.AcceptedBallot, resp.AcceptedValue = true, vote.Accepted.ToWire(), vote.Value
		}
	}
}

// take gives an answer to whom it was meant for, if that one still waits.
func (w world) take(l *letter) world {
	n := w.cores[l.to]
	if n.life != l.life {
		return w
	}
	key := [2]uint64{n.hash, l.hash}
	got, known := w.memory.taken[key]
	if !known {
		switch {
		case l.recovered != nil:
			got = taken{node: w.rebuilt(n, l)}
		case n.proposer == nil || n.run != l.run:
			got = taken{node: n}
		default:
			got = w.proposed(n, l)
		}
		w.memory.taken[key] = got
	}
	w.cores[l.to] = got.node
	if got.decided != nil && w.decided == nil {
		w.decided = got.decided
	}
	for _, letter := range got.letters {
		w = w.send(letter)
	}
	return w
}

func (w world) proposed(n node, l *letter) taken {
	var p paxos.Proposer
	var next paxos.Step
	if l.prepared != nil {
		p, next = n.proposer.HandlePrepare(l.prepared)
	} else {
		p, next = n.proposer.HandleAccept(l.accepted)
	}
	n.proposer = &p
	if p.Phase == paxos.Ended {
		n.proposer = nil
	}
	got := taken{}
	if next.Action == paxos.ValueChosen {
		records, _, _ := n.state.Learn(&wire.LearnRequest{Formation: "f", Chosen: []*wire.Chosen{{Epoch: slot, Command: next.Value}}})
		for _, record := range records {
			n.state = record.Apply(n.state)
		}
		got.decided = next.Value
	}
	if next.Accept != nil {
		if w.bounds.Flaw == LivesHidden {
			next.Accept.PromisedLives = nil
		}
		for to := range w.cores {
			got.letters = append(got.letters, letter{from: l.to, to: to, life: n.life, run: n.run, accept: next.Accept}.summed())
		}
	}
	got.node = n.hashed()
	return got
}

func (w world) rebuilt(n node, l *letter) node {
	if n.rebuild == nil || n.state.Incarnation() != 0 || !l.recovered.Ok {
		return n
	}
	answers := maps.Clone(n.rebuild.answers)
	if answers == nil {
		answers = map[string]*wire.RecoverResponse{}
	}
	answers[names[l.from]] = l.recovered
	n.rebuild = &rebuild{life: n.rebuild.life, answers: answers}
	if w.bounds.Flaw == PartialRebuild {
		for _, other := range n.state.Others() {
			if answers[other] == nil {
				answers[other] = &wire.RecoverResponse{Ok: true, Formation: "f", Lives: l.recovered.Lives}
			}
		}
	}
	if record, waiting := n.state.CompleteRecovery(n.rebuild.life, answers); waiting == "" {
		n.state = record.Apply(n.state)
		n.rebuild = nil
	}
	return n.hashed()
}

// send puts a letter under way; an equal one already there stands for both.
// An answer to a process or proposer that is gone is lost at once.
func (w world) send(l *letter) world {
	if l.answer() {
		n := w.cores[l.to]
		if n.life != l.life || l.recovered == nil && (n.proposer == nil || n.run != l.run) || l.recovered != nil && n.rebuild == nil {
			return w
		}
	}
	at, there := slices.BinarySearchFunc(w.network, l.hash, func(l *letter, hash uint64) int { return cmp.Compare(l.hash, hash) })
	if !there {
		w.network = slices.Insert(slices.Clone(w.network), at, l)
	}
	return w
}
