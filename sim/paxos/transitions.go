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

// modelFormation is the id of the one formation of the model.
const modelFormation = "f"

// openBallot has a core open a ballot in the slot.
func (w world) openBallot(i int, visit func(step, world) bool) bool {
	proposing := w.cores[i]
	if proposing.proposals == 0 || proposing.state.Incarnation() == 0 || proposing.state.HighestLearnedSlot() >= slot {
		return false
	}
	proposing.run++
	proposing.proposals--
	value := fmt.Appendf(nil, "%s%d", names[i], proposing.run)
	proposer, request := paxos.NewProposer(proposing.state, slot, proposing.state.NextBallotNumber(slot), value)
	proposing.proposer = &proposer
	w.cores[i] = proposing.hashed()
	for to := range w.cores {
		msg := message{from: i, to: to, processIncarnation: proposing.processIncarnation, run: proposing.run, prepare: request}
		w = w.send(msg.withHash())
	}
	return visit(step{description: fmt.Sprintf("ballot %d opened by", proposer.Ballot.Number), core: i}, w)
}

// startRecovery has a wiped core announce its next disk incarnation. The probes
// before it are answered at once.
func (w world) startRecovery(i int, visit func(step, world) bool) bool {
	wiped := w.cores[i]
	if wiped.state.Incarnation() != 0 || wiped.recovery != nil || w.bounds.Recoveries == 0 {
		return false
	}
	probes := map[string]*wire.RecoverResponse{}
	for j, other := range w.cores {
		if j != i {
			_, probes[names[j]] = other.state.Recover(&wire.RecoverRequest{Core: names[i], Probe: true})
		}
	}
	incarnation, missing := wiped.state.NextIncarnation(probes, 0)
	if missing != "" {
		return false
	}
	w.bounds.Recoveries--
	wiped.recovery = &recovery{incarnation: incarnation}
	wiped.state = paxos.IncarnationRecorded{Core: names[i], Incarnation: incarnation}.Apply(wiped.state)
	w.cores[i] = wiped.hashed()
	request := &wire.RecoverRequest{Formation: modelFormation, Core: names[i], Life: incarnation}
	for to := range w.cores {
		if to != i {
			msg := message{from: i, to: to, processIncarnation: wiped.processIncarnation, recover: request}
			w = w.send(msg.withHash())
		}
	}
	return visit(step{description: fmt.Sprintf("life %d announced by", incarnation), core: i}, w)
}

// wipe has a core lose its disk, unless both others have lost theirs.
func (w world) wipe(i int, visit func(step, world) bool) bool {
	if w.bounds.Wipes == 0 || w.bounds.Wiped != "" && !strings.Contains(w.bounds.Wiped, names[i]) {
		return false
	}
	if w.cores[(i+1)%3].state.Incarnation() == 0 && w.cores[(i+2)%3].state.Incarnation() == 0 {
		return false
	}
	w.bounds.Wipes--
	wiped := w.cores[i]
	state := paxos.FormationJoined{Formation: modelFormation, Voters: names}.Apply(paxos.BlankState(names[i]))
	if w.bounds.Flaw == VoteWithoutRecovery {
		state = paxos.RecoveryCompleted{Incarnations: wiped.state.Incarnations}.Apply(state)
	}
	w.cores[i] = wiped.restarted(state)
	return visit(step{description: "wipe", core: i}, w)
}

// crash has a core that is doing something restart from its disk.
func (w world) crash(i int, visit func(step, world) bool) bool {
	crashed := w.cores[i]
	if w.bounds.Crashes == 0 || crashed.proposer == nil && crashed.recovery == nil {
		return false
	}
	w.bounds.Crashes--
	w.cores[i] = crashed.restarted(crashed.state)
	return visit(step{description: "crash", core: i}, w)
}

// restarted returns the node as its next process, with what is on its disk.
func (n node) restarted(state paxos.State) node {
	return node{state: state, processIncarnation: n.processIncarnation + 1, run: n.run, proposals: n.proposals}.hashed()
}

// deliver delivers message i, with and without a duplicate that stays in flight.
func (w world) deliver(i int, msg *message, visit func(step, world) bool) bool {
	if w.bounds.Duplicates > 0 && !msg.isAnswer() && !msg.deliveredOnce {
		duplicated := w
		duplicated.bounds.Duplicates--
		remaining := *msg
		remaining.deliveredOnce = true
		duplicated.network = slices.Clone(w.network)
		duplicated.network[i] = &remaining
		if duplicated.deliverNow(msg, visit) {
			return true
		}
	}
	w.network = slices.Delete(slices.Clone(w.network), i, i+1)
	return w.deliverNow(msg, visit)
}

func (w world) deliverNow(msg *message, visit func(step, world) bool) bool {
	if msg.isAnswer() {
		return visit(step{message: msg}, w.handleAnswer(msg))
	}
	key := handling{node: w.cores[msg.to].hash, message: msg.hash}
	result, cached := w.cache.requests[key]
	if !cached {
		result = w.handleRequest(msg)
		w.cache.requests[key] = result
	}
	w.cores[msg.to] = result.node
	if result.answer == nil {
		return result.changed && visit(step{message: msg}, w)
	}
	if !w.bounds.Eager {
		return visit(step{message: msg}, w.send(result.answer))
	}
	if visit(step{message: msg}, w.handleAnswer(result.answer)) {
		return true
	}
	return result.changed && visit(step{message: msg, description: "(answer lost)"}, w)
}

// handleRequest has a core answer a request; a refusal that changes nothing is
// omitted.
func (w world) handleRequest(msg *message) requestResult {
	answer := &message{from: msg.to, to: msg.from, processIncarnation: msg.processIncarnation, run: msg.run}
	receiver := w.cores[msg.to]
	var records []paxos.Record
	switch {
	case msg.prepare != nil:
		records, answer.prepared = receiver.state.Prepare(msg.prepare)
		w.applyPrepareFlaw(receiver.state, msg.prepare, answer.prepared)
	case msg.accept != nil:
		records, answer.accepted = receiver.state.Accept(msg.accept)
		if w.bounds.Flaw == IncarnationsHidden {
			answer.accepted.Lives = firstIncarnations
		}
	case msg.recover != nil:
		records, answer.recovered = receiver.state.Recover(msg.recover)
		if w.bounds.Flaw == IncarnationForgotten {
			records = nil
		}
	}
	receiver.state = applyAll(receiver.state, records)
	result := requestResult{node: receiver.hashed(), changed: len(records) > 0}
	if !answer.isRefusal() {
		answer.hash = answer.computeHash()
		result.answer = answer
	}
	return result
}

func applyAll(state paxos.State, records []paxos.Record) paxos.State {
	for _, record := range records {
		state = record.Apply(state)
	}
	return state
}

// applyPrepareFlaw changes an answer as the flaw under test would.
func (w world) applyPrepareFlaw(state paxos.State, req *wire.PrepareRequest, resp *wire.PrepareResponse) {
	switch w.bounds.Flaw {
	case IncarnationsHidden:
		resp.Lives = firstIncarnations
	case PromiseTwice:
		open := state.OpenSlots[req.Slot]
		refused := !resp.Promised && resp.Refusal == 0 && !resp.Chosen
		if refused && open.Promised == paxos.BallotFromWire(req.Ballot) {
			resp.Promised = true
			resp.AcceptedBallot = open.Accepted.ToWire()
			resp.AcceptedValue = open.Value
		}
	}
}

// handleAnswer gives an answer to the process that waits for it, if it still does.
func (w world) handleAnswer(msg *message) world {
	receiver := w.cores[msg.to]
	if receiver.processIncarnation != msg.processIncarnation {
		return w
	}
	key := handling{node: receiver.hash, message: msg.hash}
	result, cached := w.cache.answers[key]
	if !cached {
		switch {
		case msg.recovered != nil:
			result = answerResult{node: w.withRecovery(receiver, msg)}
		case receiver.proposer == nil || receiver.run != msg.run:
			result = answerResult{node: receiver}
		default:
			result = w.withProposerStep(receiver, msg)
		}
		w.cache.answers[key] = result
	}
	w.cores[msg.to] = result.node
	if result.decided != nil && w.decided == nil {
		w.decided = result.decided
	}
	for _, sent := range result.messages {
		w = w.send(sent)
	}
	return w
}

// withProposerStep has a core's proposer take an answer.
func (w world) withProposerStep(receiver node, msg *message) answerResult {
	var proposer paxos.Proposer
	var next paxos.Step
	if msg.prepared != nil {
		proposer, next = receiver.proposer.HandlePrepare(msg.prepared)
	} else {
		proposer, next = receiver.proposer.HandleAccept(msg.accepted)
	}
	receiver.proposer = &proposer
	if proposer.Phase == paxos.Ended {
		receiver.proposer = nil
	}
	var result answerResult
	switch next.Action {
	case paxos.AwaitAnswers, paxos.FetchChosen, paxos.BallotLost:
	case paxos.ValueChosen:
		learn := &wire.LearnRequest{Formation: modelFormation, Chosen: []*wire.Chosen{{Epoch: slot, Command: next.Value}}}
		records, _, _ := receiver.state.Learn(learn)
		receiver.state = applyAll(receiver.state, records)
		result.decided = next.Value
	case paxos.SendAccept:
		if w.bounds.Flaw == IncarnationsHidden {
			next.Accept.PromisedLives = nil
		}
		for to := range w.cores {
			accept := message{from: msg.to, to: to, processIncarnation: receiver.processIncarnation, run: receiver.run, accept: next.Accept}
			result.messages = append(result.messages, accept.withHash())
		}
	}
	result.node = receiver.hashed()
	return result
}

// withRecovery has a recovering core take an answer.
func (w world) withRecovery(receiver node, msg *message) node {
	if receiver.recovery == nil || receiver.state.Incarnation() != 0 || !msg.recovered.Ok {
		return receiver
	}
	answers := maps.Clone(receiver.recovery.answers)
	if answers == nil {
		answers = map[string]*wire.RecoverResponse{}
	}
	answers[names[msg.from]] = msg.recovered
	receiver.recovery = &recovery{incarnation: receiver.recovery.incarnation, answers: answers}
	if w.bounds.Flaw == PartialRecovery {
		for _, other := range receiver.state.OtherVoters() {
			if answers[other] == nil {
				answers[other] = &wire.RecoverResponse{Ok: true, Formation: modelFormation, Lives: msg.recovered.Lives}
			}
		}
	}
	record, missing := receiver.state.CompleteRecovery(receiver.recovery.incarnation, answers)
	if missing == "" {
		receiver.state = record.Apply(receiver.state)
		receiver.recovery = nil
	}
	return receiver.hashed()
}

// send adds a message to the network; an equal one in flight represents both. An
// answer that its receiver no longer waits for is dropped.
func (w world) send(msg *message) world {
	if msg.isAnswer() && !w.cores[msg.to].waitsFor(msg) {
		return w
	}
	index, found := slices.BinarySearchFunc(w.network, msg.hash, func(other *message, hash uint64) int {
		return cmp.Compare(other.hash, hash)
	})
	if !found {
		w.network = slices.Insert(slices.Clone(w.network), index, msg)
	}
	return w
}

// waitsFor reports whether the process and proposer, or the recovery, that sent
// the request of an answer are still there.
func (n node) waitsFor(answer *message) bool {
	if n.processIncarnation != answer.processIncarnation {
		return false
	}
	if answer.recovered != nil {
		return n.recovery != nil
	}
	return n.proposer != nil && n.run == answer.run
}
