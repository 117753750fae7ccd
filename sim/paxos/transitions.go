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

// modelFormation is the ID of the only formation of the model.
const modelFormation = "f"

// openBallot lets a core open a ballot in the slot.
func (w world) openBallot(i int, visit func(step, world) bool) bool {
	proposing := w.cores[i]
	if proposing.remainingProposals == 0 || proposing.state.Incarnation() == 0 || proposing.state.HighestLearnedSlot() >= modelSlot {
		return false
	}
	proposing.proposalNumber++
	proposing.remainingProposals--
	value := fmt.Appendf(nil, "%s%d", modelCoreNames[i], proposing.proposalNumber)
	proposer, request := paxos.NewProposer(proposing.state, modelSlot, proposing.state.NextBallotNumber(modelSlot), value)
	proposing.proposer = &proposer
	w.cores[i] = proposing.withHash()
	for to := range w.cores {
		msg := message{from: i, to: to, processIncarnation: proposing.processIncarnation, proposalNumber: proposing.proposalNumber, prepareRequest: request}
		w = w.send(msg.withHash())
	}
	return visit(step{description: fmt.Sprintf("ballot %d opened by", proposer.Ballot.Number), core: i}, w)
}

// startRecovery lets a core that lost its disk announce its next disk incarnation. The
// preceding probes are answered immediately.
func (w world) startRecovery(i int, visit func(step, world) bool) bool {
	wiped := w.cores[i]
	if wiped.state.Incarnation() != 0 || wiped.recovery != nil || w.bounds.Recoveries == 0 {
		return false
	}
	probes := map[string]*wire.RecoverResponse{}
	for j, other := range w.cores {
		if j != i {
			_, probes[modelCoreNames[j]] = other.state.Recover(&wire.RecoverRequest{Core: modelCoreNames[i], Probe: true})
		}
	}
	incarnation, missing := wiped.state.NextIncarnation(probes, 0)
	if missing != "" {
		return false
	}
	w.bounds.Recoveries--
	wiped.recovery = &recovery{incarnation: incarnation}
	wiped.state = paxos.IncarnationRecorded{Core: modelCoreNames[i], Incarnation: incarnation}.Apply(wiped.state)
	w.cores[i] = wiped.withHash()
	request := &wire.RecoverRequest{Formation: modelFormation, Core: modelCoreNames[i], Life: incarnation}
	for to := range w.cores {
		if to != i {
			msg := message{from: i, to: to, processIncarnation: wiped.processIncarnation, recoverRequest: request}
			w = w.send(msg.withHash())
		}
	}
	return visit(step{description: fmt.Sprintf("disk incarnation %d announced by", incarnation), core: i}, w)
}

// wipe lets a core lose its disk, unless neither of the other two votes.
func (w world) wipe(i int, visit func(step, world) bool) bool {
	if w.bounds.Wipes == 0 || w.bounds.WipeableCores != "" && !strings.Contains(w.bounds.WipeableCores, modelCoreNames[i]) {
		return false
	}
	if w.cores[(i+1)%3].state.Incarnation() == 0 && w.cores[(i+2)%3].state.Incarnation() == 0 {
		return false
	}
	w.bounds.Wipes--
	wiped := w.cores[i]
	state := paxos.FormationJoined{Formation: modelFormation, Voters: modelCoreNames}.Apply(paxos.BlankState(modelCoreNames[i]))
	if w.bounds.Flaw == VoteWithoutRecovery {
		state = paxos.RecoveryCompleted{Incarnations: wiped.state.Incarnations}.Apply(state)
	}
	w.cores[i] = wiped.restarted(state)
	return visit(step{description: "wipe", core: i}, w)
}

// crash restarts a core that runs a ballot or a recovery, with the state on its disk.
func (w world) crash(i int, visit func(step, world) bool) bool {
	crashed := w.cores[i]
	if w.bounds.Crashes == 0 || crashed.proposer == nil && crashed.recovery == nil {
		return false
	}
	w.bounds.Crashes--
	w.cores[i] = crashed.restarted(crashed.state)
	return visit(step{description: "crash", core: i}, w)
}

// restarted returns the core as its next process, which starts from the given state.
func (c modelCore) restarted(state paxos.State) modelCore {
	return modelCore{state: state, processIncarnation: c.processIncarnation + 1, proposalNumber: c.proposalNumber, remainingProposals: c.remainingProposals}.withHash()
}

// deliver delivers message i, with and without a duplicate that remains in flight.
func (w world) deliver(i int, msg *message, visit func(step, world) bool) bool {
	if w.bounds.Duplicates > 0 && !msg.isAnswer() && !msg.deliveredOnce {
		duplicated := w
		duplicated.bounds.Duplicates--
		remaining := *msg
		remaining.deliveredOnce = true
		duplicated.network = slices.Clone(w.network)
		duplicated.network[i] = &remaining
		if duplicated.handleDelivery(msg, visit) {
			return true
		}
	}
	w.network = slices.Delete(slices.Clone(w.network), i, i+1)
	return w.handleDelivery(msg, visit)
}

func (w world) handleDelivery(msg *message, visit func(step, world) bool) bool {
	if msg.isAnswer() {
		return visit(step{message: msg}, w.handleAnswer(msg))
	}
	key := handlerKey{coreHash: w.cores[msg.to].hash, messageHash: msg.hash}
	result, cached := w.cache.requests[key]
	if !cached {
		result = w.handleRequest(msg)
		w.cache.requests[key] = result
	}
	w.cores[msg.to] = result.core
	if result.answer == nil {
		return result.changed && visit(step{message: msg}, w)
	}
	if !w.bounds.ImmediateAnswers {
		return visit(step{message: msg}, w.send(result.answer))
	}
	if visit(step{message: msg}, w.handleAnswer(result.answer)) {
		return true
	}
	return result.changed && visit(step{message: msg, description: "(answer lost)"}, w)
}

// handleRequest lets a core answer a request. The result has no answer if the core
// refuses.
func (w world) handleRequest(msg *message) requestResult {
	answer := &message{from: msg.to, to: msg.from, processIncarnation: msg.processIncarnation, proposalNumber: msg.proposalNumber}
	receiver := w.cores[msg.to]
	var records []paxos.Record
	switch {
	case msg.prepareRequest != nil:
		records, answer.prepareAnswer = receiver.state.Prepare(msg.prepareRequest)
		w.applyPrepareFlaw(receiver.state, msg.prepareRequest, answer.prepareAnswer)
	case msg.acceptRequest != nil:
		records, answer.acceptAnswer = receiver.state.Accept(msg.acceptRequest)
		if w.bounds.Flaw == IncarnationsOmitted {
			answer.acceptAnswer.Lives = firstIncarnations
		}
	case msg.recoverRequest != nil:
		records, answer.recoverAnswer = receiver.state.Recover(msg.recoverRequest)
		if w.bounds.Flaw == IncarnationForgotten {
			records = nil
		}
	}
	receiver.state = applyAll(receiver.state, records)
	result := requestResult{core: receiver.withHash(), changed: len(records) > 0}
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

// applyPrepareFlaw changes an answer according to the flaw under test.
func (w world) applyPrepareFlaw(state paxos.State, req *wire.PrepareRequest, resp *wire.PrepareResponse) {
	switch w.bounds.Flaw {
	case IncarnationsOmitted:
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

// handleAnswer delivers an answer to the process that sent the request. It is dropped
// if that process or its proposer has ended.
func (w world) handleAnswer(msg *message) world {
	receiver := w.cores[msg.to]
	if receiver.processIncarnation != msg.processIncarnation {
		return w
	}
	key := handlerKey{coreHash: receiver.hash, messageHash: msg.hash}
	result, cached := w.cache.answers[key]
	if !cached {
		switch {
		case msg.recoverAnswer != nil:
			result = answerResult{core: w.handleRecoverAnswer(receiver, msg)}
		case receiver.proposer == nil || receiver.proposalNumber != msg.proposalNumber:
			result = answerResult{core: receiver}
		default:
			result = w.handleProposerAnswer(receiver, msg)
		}
		w.cache.answers[key] = result
	}
	w.cores[msg.to] = result.core
	if result.chosenValue != nil && w.chosenValue == nil {
		w.chosenValue = result.chosenValue
	}
	for _, sent := range result.messages {
		w = w.send(sent)
	}
	return w
}

// handleProposerAnswer lets a core's proposer handle an answer.
func (w world) handleProposerAnswer(receiver modelCore, msg *message) answerResult {
	var proposer paxos.Proposer
	var next paxos.Step
	if msg.prepareAnswer != nil {
		proposer, next = receiver.proposer.HandlePrepare(msg.prepareAnswer)
	} else {
		proposer, next = receiver.proposer.HandleAccept(msg.acceptAnswer)
	}
	receiver.proposer = &proposer
	if proposer.Phase == paxos.Ended {
		receiver.proposer = nil
	}
	var result answerResult
	switch next.Action {
	case paxos.AwaitAnswers, paxos.FetchChosen, paxos.BallotLost:
	case paxos.ValueChosen:
		learn := &wire.LearnRequest{Formation: modelFormation, Chosen: []*wire.Chosen{{Epoch: modelSlot, Command: next.Value}}}
		records, _, _ := receiver.state.Learn(learn)
		receiver.state = applyAll(receiver.state, records)
		result.chosenValue = next.Value
	case paxos.SendAccept:
		if w.bounds.Flaw == IncarnationsOmitted {
			next.Accept.PromisedLives = nil
		}
		for to := range w.cores {
			accept := message{from: msg.to, to: to, processIncarnation: receiver.processIncarnation, proposalNumber: receiver.proposalNumber, acceptRequest: next.Accept}
			result.messages = append(result.messages, accept.withHash())
		}
	}
	result.core = receiver.withHash()
	return result
}

// handleRecoverAnswer lets a recovering core handle an answer.
func (w world) handleRecoverAnswer(receiver modelCore, msg *message) modelCore {
	if receiver.recovery == nil || receiver.state.Incarnation() != 0 || !msg.recoverAnswer.Ok {
		return receiver
	}
	answers := maps.Clone(receiver.recovery.answers)
	if answers == nil {
		answers = map[string]*wire.RecoverResponse{}
	}
	answers[modelCoreNames[msg.from]] = msg.recoverAnswer
	receiver.recovery = &recovery{incarnation: receiver.recovery.incarnation, answers: answers}
	if w.bounds.Flaw == PartialRecovery {
		for _, other := range receiver.state.OtherVoters() {
			if answers[other] == nil {
				answers[other] = &wire.RecoverResponse{Ok: true, Formation: modelFormation, Lives: msg.recoverAnswer.Lives}
			}
		}
	}
	record, missing := receiver.state.CompleteRecovery(receiver.recovery.incarnation, answers)
	if missing == "" {
		receiver.state = record.Apply(receiver.state)
		receiver.recovery = nil
	}
	return receiver.withHash()
}

// send adds a message to the network. Equal messages in flight are kept as one. An
// answer for which the receiver no longer waits is dropped.
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

// waitsFor reports whether the proposer or the recovery that sent the request of an
// answer is still active in the same process.
func (c modelCore) waitsFor(answer *message) bool {
	if c.processIncarnation != answer.processIncarnation {
		return false
	}
	if answer.recoverAnswer != nil {
		return c.recovery != nil
	}
	return c.proposer != nil && c.proposalNumber == answer.proposalNumber
}
