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
		w = w.send(message{from: i, to: to, incarnation: n.incarnation, run: n.run, prepare: req}.summed())
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
	diskLife, waiting := n.state.NextIncarnation(probes, 0)
	if waiting != "" {
		return false
	}
	w.bounds.Rebuilds--
	n.rebuild = &rebuild{diskLife: diskLife}
	n.state = paxos.IncarnationRecorded{Core: names[i], Incarnation: diskLife}.Apply(n.state)
	w.cores[i] = n.hashed()
	for to := range w.cores {
		if to != i {
			w = w.send(message{from: i, to: to, incarnation: n.incarnation, recover: &wire.RecoverRequest{Formation: "f", Core: names[i], Life: diskLife}}.summed())
		}
	}
	return visit(step{what: fmt.Sprintf("life %d announced by", diskLife), core: i}, w)
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
	w.cores[i] = node{state: state, incarnation: n.incarnation + 1, run: n.run, proposals: n.proposals}.hashed()
	return visit(step{what: "wipe", core: i}, w)
}

func (w world) crash(i int, visit func(step, world) bool) bool {
	n := w.cores[i]
	if w.bounds.Crashes == 0 || n.proposer == nil && n.rebuild == nil {
		return false
	}
	w.bounds.Crashes--
	w.cores[i] = node{state: n.state, incarnation: n.incarnation + 1, run: n.run, proposals: n.proposals}.hashed()
	return visit(step{what: "crash", core: i}, w)
}

// deliver delivers message i, with and without a duplicate that stays in flight.
func (w world) deliver(i int, msg *message, visit func(step, world) bool) bool {
	if w.bounds.Duplicates > 0 && !msg.answer() && !msg.deliveredOnce {
		again := w
		again.bounds.Duplicates--
		once := *msg
		once.deliveredOnce = true
		again.network = slices.Clone(w.network)
		again.network[i] = &once
		if again.deliverNow(msg, visit) {
			return true
		}
	}
	w.network = slices.Delete(slices.Clone(w.network), i, i+1)
	return w.deliverNow(msg, visit)
}

func (w world) deliverNow(msg *message, visit func(step, world) bool) bool {
	if msg.answer() {
		return visit(step{message: msg}, w.handleAnswer(msg))
	}
	key := handling{node: w.cores[msg.to].hash, message: msg.hash}
	given, known := w.cache.requests[key]
	if !known {
		given = w.handleRequest(msg)
		w.cache.requests[key] = given
	}
	w.cores[msg.to] = given.node
	if given.answer == nil {
		return given.changed && visit(step{message: msg}, w)
	}
	if !w.bounds.Eager {
		return visit(step{message: msg}, w.send(given.answer))
	}
	return visit(step{message: msg}, w.handleAnswer(given.answer)) || given.changed && visit(step{message: msg, what: "(answer lost)"}, w)
}

// handleRequest has a core answer a request; a refusal that changes nothing is
// omitted.
func (w world) handleRequest(msg *message) requestResult {
	answer := &message{from: msg.to, to: msg.from, incarnation: msg.incarnation, run: msg.run}
	n := w.cores[msg.to]
	var records []paxos.Record
	switch {
	case msg.prepare != nil:
		records, answer.prepared = n.state.Prepare(msg.prepare)
		w.bendPrepared(n.state, msg.prepare, answer.prepared)
	case msg.accept != nil:
		records, answer.accepted = n.state.Accept(msg.accept)
		if w.bounds.Flaw == LivesHidden {
			answer.accepted.Lives = firstLives
		}
	case msg.recover != nil:
		records, answer.recovered = n.state.Recover(msg.recover)
		if w.bounds.Flaw == LifeForgotten {
			records = nil
		}
	}
	for _, record := range records {
		n.state = record.Apply(n.state)
	}
	given := requestResult{node: n.hashed(), changed: len(records) > 0}
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

// handleAnswer gives an answer to the process that waits for it, if it still does.
func (w world) handleAnswer(msg *message) world {
	n := w.cores[msg.to]
	if n.incarnation != msg.incarnation {
		return w
	}
	key := handling{node: n.hash, message: msg.hash}
	got, known := w.cache.answers[key]
	if !known {
		switch {
		case msg.recovered != nil:
			got = answerResult{node: w.rebuilt(n, msg)}
		case n.proposer == nil || n.run != msg.run:
			got = answerResult{node: n}
		default:
			got = w.proposed(n, msg)
		}
		w.cache.answers[key] = got
	}
	w.cores[msg.to] = got.node
	if got.decided != nil && w.decided == nil {
		w.decided = got.decided
	}
	for _, message := range got.messages {
		w = w.send(message)
	}
	return w
}

func (w world) proposed(n node, msg *message) answerResult {
	var p paxos.Proposer
	var next paxos.Step
	if msg.prepared != nil {
		p, next = n.proposer.HandlePrepare(msg.prepared)
	} else {
		p, next = n.proposer.HandleAccept(msg.accepted)
	}
	n.proposer = &p
	if p.Phase == paxos.Ended {
		n.proposer = nil
	}
	got := answerResult{}
	if next.Action == paxos.ValueChosen {
		records, _, _ := n.state.Learn(&wire.LearnRequest{Formation: "f", Chosen: []*wire.Chosen{{Epoch: slot, Command: next.Value}}})
		for _, record := range records {
			n.state = record.Apply(n.state)
		}
		got.decided = next.Value
	}
	if next.Action == paxos.SendAccept {
		if w.bounds.Flaw == LivesHidden {
			next.Accept.PromisedLives = nil
		}
		for to := range w.cores {
			got.messages = append(got.messages, message{from: msg.to, to: to, incarnation: n.incarnation, run: n.run, accept: next.Accept}.summed())
		}
	}
	got.node = n.hashed()
	return got
}

func (w world) rebuilt(n node, msg *message) node {
	if n.rebuild == nil || n.state.Incarnation() != 0 || !msg.recovered.Ok {
		return n
	}
	answers := maps.Clone(n.rebuild.answers)
	if answers == nil {
		answers = map[string]*wire.RecoverResponse{}
	}
	answers[names[msg.from]] = msg.recovered
	n.rebuild = &rebuild{diskLife: n.rebuild.diskLife, answers: answers}
	if w.bounds.Flaw == PartialRebuild {
		for _, other := range n.state.Others() {
			if answers[other] == nil {
				answers[other] = &wire.RecoverResponse{Ok: true, Formation: "f", Lives: msg.recovered.Lives}
			}
		}
	}
	if record, waiting := n.state.CompleteRecovery(n.rebuild.diskLife, answers); waiting == "" {
		n.state = record.Apply(n.state)
		n.rebuild = nil
	}
	return n.hashed()
}

// send adds a message to the network; an equal one in flight represents both. An
// answer to a process or proposer that is gone is dropped.
func (w world) send(msg *message) world {
	if msg.answer() {
		n := w.cores[msg.to]
		if n.incarnation != msg.incarnation || msg.recovered == nil && (n.proposer == nil || n.run != msg.run) || msg.recovered != nil && n.rebuild == nil {
			return w
		}
	}
	at, there := slices.BinarySearchFunc(w.network, msg.hash, func(msg *message, hash uint64) int { return cmp.Compare(msg.hash, hash) })
	if !there {
		w.network = slices.Insert(slices.Clone(w.network), at, msg)
	}
	return w
}
